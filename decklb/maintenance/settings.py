"""Settings of maintenance: the disruption budget, and how the members agree on the plan.

Made from the `<maintenance>` element by `config.sections.maintenance`, which translates its attributes; read by all
of this package. Names ending in `_ms` are milliseconds; fractions are from 0 to 1.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """The disruption budget, timeouts of the plan and of its replicated register."""

    member_count: int = 1  # managers in the whole fleet: more than half of them agree on each change
    max_unavailable: int = 1  # machines draining, out or warming at a time, over all zones
    max_unavailable_per_zone: int = 1  # and in one zone
    max_unavailable_zone_fraction: float = 0.34  # of one zone's cores that may be unavailable at a time
    max_utilization: float = 0.85  # of the cores left that the load may fill, in each zone and over all
    drain_timeout_ms: float = 2000.0  # for work in flight on a machine that is to go
    warm_up_ms: float = 15_000.0  # from a machine's return until the next one may go
    default_window_ms: float = 3_600_000.0  # for the work on one machine, where the request gives none
    tick_ms: float = 250.0  # between two ticks of a member
    round_timeout_ms: float = 600.0  # for a quorum's answers to one round of the register, before backoff
    report_ttl_ms: float = 3000.0  # for which a member's report on machines and load counts
    absent_after_ms: float = 10_000.0  # without a report, after which the plan no longer waits for a member
    retained_jobs: int = 50  # finished jobs that the plan keeps
    manager_voting_delay_ms: float = 0.0  # for which a restarted manager votes on no handoff records
    data_directory: str = ""  # for this member's acceptor state; "" keeps it in memory alone

    def __post_init__(self) -> None:
        """Raises ValueError, which names the attributes of the XML element."""
        if min(self.member_count, self.max_unavailable, self.max_unavailable_per_zone, self.retained_jobs) < 1:
            raise ValueError("members, most, most-zone and kept must be at least 1")
        if not (0 < self.max_unavailable_zone_fraction <= 1 and 0 < self.max_utilization <= 1):
            raise ValueError("most-share and reserve are shares above 0")
        durations = (
            self.drain_timeout_ms,
            self.warm_up_ms,
            self.default_window_ms,
            self.tick_ms,
            self.round_timeout_ms,
            self.report_ttl_ms,
        )
        if min(durations) <= 0:
            raise ValueError("drain, warm, window, tick, patience and fresh must be above 0")
        if self.absent_after_ms < self.report_ttl_ms:
            raise ValueError("absent must be at least fresh: a member whose word lacks may still send work")
        if self.report_ttl_ms < 3 * self.tick_ms:
            raise ValueError("fresh must be at least three ticks, or one lost word would stop the plan")
