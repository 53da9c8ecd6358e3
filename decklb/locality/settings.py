"""Settings of locality: the regions, how the states of zones are decided, and when requests leave their zone.

`config.sections.locality` creates them from the attributes of the `<locality>` element; all modules of this package
read them. Names ending in `_ms` are milliseconds; fractions are from 0 to 1.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class DecisionMode(StrEnum):
    """Who decides the states of zones. The values are those of the XML attribute `judge`."""

    COMMON = "common"  # a quorum of all members
    ALONE = "alone"  # each member on its own


@dataclass(frozen=True, slots=True)
class LocalitySettings:
    """Regions and zones, thresholds for the states of zones, voting, spillover and the recovery ramp.

    Raises:
        ValueError: A value is out of range; the message names the attributes of the XML element.
    """

    home_zone: str = ""  # zone of this member and of its callers
    regions: tuple[tuple[str, tuple[str, ...]], ...] = ()  # name and zones of each region
    member_count: int = 1  # minimum number of managers in the fleet; without a majority of them nothing is decided
    decision_mode: DecisionMode = DecisionMode.COMMON
    tick_ms: float = 250.0  # ms between two ticks of a member
    health_check_interval_ms: float = 500.0  # ms between two checks of an engine that has not answered in between
    health_check_timeout_ms: float = 250.0
    unhealthy_threshold: int = 2  # consecutive failures after which an engine counts as unreachable
    observation_ttl_ms: float = 3000.0  # ms for which observations and votes of a member are valid
    stabilization_ms: float = 500.0  # ms for which a member must observe a state before it votes for it
    min_state_duration_ms: float = 5000.0  # minimum ms between two changes of a zone's state
    vote_timeout_ms: float = 1500.0  # ms after which a term without a majority is abandoned for the next
    isolation_grace_ms: float = 15_000.0  # ms for which a member without a quorum keeps the last common decision
    recovery_ramp_ms: float = 10_000.0  # ms from a zone's return until it receives its whole share again
    recovery_min_fraction: float = 0.05  # fraction of its share that a zone receives at the moment of its return
    out_threshold: float = 0.7  # fraction of capacity unreachable, or of attempts failed, from which a zone is out
    degraded_threshold: float = 0.3  # the same fraction, from which a zone is degraded
    degraded_latency_ratio: float = 4.0  # ratio of a zone's latency to the best zone's, from which it is degraded
    max_utilization: float = 0.85  # fraction of a zone's capacity that its callers may use before they spill over
    # If a smaller fraction of the total capacity is usable, all zones are used regardless of their state: some requests
    # fail then, but the remaining healthy zones are not overloaded.
    panic_threshold: float = 0.4

    def __post_init__(self) -> None:
        self._check_durations()
        self._check_thresholds()
        self._check_zones()

    @property
    def region_of(self) -> Mapping[str, str]:
        """The region of each zone, by zone name."""
        return {zone: name for name, zones in self.regions for zone in zones}

    def _check_durations(self) -> None:
        durations = (
            self.observation_ttl_ms,
            self.stabilization_ms,
            self.min_state_duration_ms,
            self.vote_timeout_ms,
            self.isolation_grace_ms,
            self.recovery_ramp_ms,
            self.tick_ms,
            self.health_check_interval_ms,
        )
        if min(durations) <= 0:
            raise ValueError("fresh, settle, hold, retry, keep, ramp, tick and look must be above 0")
        if not 0 < self.health_check_timeout_ms <= self.health_check_interval_ms:
            raise ValueError("timeout must be above 0 and at most look")
        if self.observation_ttl_ms < 3 * max(self.tick_ms, self.health_check_interval_ms):
            raise ValueError("fresh must be at least three times tick and look, or one lost word would blind a member")

    def _check_thresholds(self) -> None:
        if not 0 < self.degraded_threshold < self.out_threshold <= 1:
            raise ValueError("degraded must be above 0 and below out, out at most 100%")
        if not (
            0 < self.recovery_min_fraction <= 1
            and 0 < self.max_utilization <= 1
            and 0 <= self.panic_threshold < 1
            and self.degraded_latency_ratio > 1
        ):
            raise ValueError(
                "ramp-floor and full must be above 0 and at most 100%, panic at least 0 and below 100%, slow above 1"
            )
        if self.member_count < 1 or self.unhealthy_threshold < 1:
            raise ValueError("members and misses must be at least 1")

    def _check_zones(self) -> None:
        if self.regions and self.home_zone not in self.region_of:
            raise ValueError(
                f"zone {self.home_zone!r} stands in no region; one of {', '.join(self.region_of)} would be right"
            )
        if len(self.region_of) != sum(len(zones) for _, zones in self.regions):
            raise ValueError("each zone may stand in one region only")
