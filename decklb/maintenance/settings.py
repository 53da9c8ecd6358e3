"""Settings of maintenance: the disruption budget, and how the members agree on the plan.

`config.sections.maintenance` creates them from the attributes of the `<maintenance>` element; all modules of this
package read them. Names ending in `_ms` are milliseconds; fractions are from 0 to 1.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """The disruption budget, and the timeouts of the plan and its replicated register.

    Raises:
        ValueError: A value is out of range; the message names the attributes of the XML element.
    """

    member_count: int = 1  # managers in the whole fleet; more than half of them must agree on each change
    max_unavailable: int = 1  # maximum number of machines draining, out or warming at the same time, in all zones
    max_unavailable_per_zone: int = 1  # the same maximum for each zone
    max_unavailable_zone_fraction: float = 0.34  # maximum fraction of a zone's cores that may be unavailable
    max_utilization: float = 0.85  # maximum utilization of the remaining cores, in each zone and in total
    drain_timeout_ms: float = 2000.0  # maximum ms to wait for work in flight on a draining machine
    warm_up_ms: float = 15_000.0  # ms from a machine's return until it no longer counts as disrupted
    default_window_ms: float = 3_600_000.0  # ms for the work on one machine, if the request does not state it
    tick_ms: float = 250.0  # ms between two ticks of a member
    round_timeout_ms: float = 600.0  # ms to wait for a quorum in one round of the register, before jitter and backoff
    report_ttl_ms: float = 3000.0  # ms for which a member's report is valid
    absent_after_ms: float = 10_000.0  # ms without a report after which the plan no longer waits for a member
    retained_jobs: int = 50  # number of finished jobs that the plan keeps
    manager_voting_delay_ms: float = 0.0  # ms after its restart for which a manager does not vote on handoff records
    data_directory: str = ""  # folder for this member's acceptor state; "": the state is kept in memory only

    def __post_init__(self) -> None:
        if min(self.member_count, self.max_unavailable, self.max_unavailable_per_zone, self.retained_jobs) < 1:
            raise ValueError("members, most, most-zone and kept must be at least 1")
        if not (0 < self.max_unavailable_zone_fraction <= 1 and 0 < self.max_utilization <= 1):
            raise ValueError("most-share and reserve must be above 0 and at most 100%")
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
            raise ValueError("fresh must be at least three times tick, or one lost report would stop the plan")
