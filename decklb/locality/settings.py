"""Settings of locality: the regions, how zones' states are decided, and when requests leave their zone.

Made from the `<locality>` element by `config.sections.locality`, which translates its attributes; read by all of
this package. Names ending in `_ms` are milliseconds; fractions are from 0 to 1.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class DecisionMode(StrEnum):
    """Who decides the states of zones. The values are those of the XML attribute `judge`."""

    COMMON = "common"  # a quorum of all members
    ALONE = "alone"  # each member for itself


@dataclass(frozen=True, slots=True)
class LocalitySettings:
    """Regions and zones, thresholds of zones' states, voting, spillover and the recovery ramp."""

    home_zone: str = ""  # this member's own: its callers are there
    regions: tuple[tuple[str, tuple[str, ...]], ...] = ()  # name and zones of each
    member_count: int = 1  # managers in the whole fleet at the least: a side that knows fewer decides nothing
    decision_mode: DecisionMode = DecisionMode.COMMON
    tick_ms: float = 250.0  # between two ticks of a member
    health_check_interval_ms: float = 500.0  # between two checks of an engine that sent no answer meanwhile
    health_check_timeout_ms: float = 250.0
    unhealthy_threshold: int = 2  # failures in a row after which an engine counts as unreachable
    observation_ttl_ms: float = 3000.0  # for which a member's observation of a zone, and its vote, count
    stabilization_ms: float = 500.0  # for which a member must observe the same before it votes for it
    min_state_duration_ms: float = 5000.0  # between two changes of one zone's state
    vote_timeout_ms: float = 1500.0  # after which a term without a majority is given up for the next
    isolation_grace_ms: float = 15_000.0  # for which a member without a quorum goes by the last common decision
    recovery_ramp_ms: float = 10_000.0  # from a zone's return until it takes its whole share again
    recovery_min_fraction: float = 0.05  # of its share at the moment of its return
    out_threshold: float = 0.7  # fraction of a zone's capacity down, or attempts failed, from which it is out
    degraded_threshold: float = 0.3  # likewise, from which it is degraded
    degraded_latency_ratio: float = 4.0  # to the usual latency, from which a zone is degraded
    max_utilization: float = 0.85  # of a zone's capacity that its own callers may fill before they spill over
    panic_threshold: float = 0.4  # of all capacity healthy, below which every zone is used alike: errors, not a flood

    def __post_init__(self) -> None:
        """Raises ValueError, which names the attributes of the XML element."""
        self._check_durations()
        self._check_thresholds()
        self._check_zones()

    @property
    def region_of(self) -> Mapping[str, str]:
        """The region of each zone."""
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
            raise ValueError("timeout must be above 0, at most look")
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
            raise ValueError("ramp-floor and full are shares above 0, panic one below 100%, slow is above 1")
        if self.member_count < 1 or self.unhealthy_threshold < 1:
            raise ValueError("members and misses must be at least 1")

    def _check_zones(self) -> None:
        if self.regions and self.home_zone not in self.region_of:
            raise ValueError(
                f"zone {self.home_zone!r} stands in no region; one of {', '.join(self.region_of)} would be right"
            )
        if len(self.region_of) != sum(len(zones) for _, zones in self.regions):
            raise ValueError("each zone may stand in one region only")
