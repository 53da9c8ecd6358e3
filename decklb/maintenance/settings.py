"""The settings of maintenance. Times are milliseconds, shares from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MaintenanceSettings:
    """How much may be out at a time, and how the members agree on it."""

    members: int = 1  # of the whole fleet: more than half of them decide
    most: int = 1  # engines out at a time over all zones
    most_zone: int = 1  # and in one zone
    most_share: float = 0.34  # of one zone's capacity out at a time
    reserve: float = 0.85  # of what is left that the load may fill, in each zone and over all
    drain: float = 2000.0  # at most, for the work in hand at an engine that is to go
    warm: float = 15_000.0  # after its return, before the next one goes
    window: float = 3_600_000.0  # for the work on one machine, where the operator says nothing
    tick: float = 250.0  # between a member's looks
    patience: float = 600.0  # for a majority's word on one proposal, before it is made anew
    fresh: float = 3000.0  # for which a member's word on engines and load counts
    absent: float = 10_000.0  # without a word, after which a member is no longer waited for
    kept: int = 50  # ended jobs that are remembered
    memory: float = 0.0  # for which a manager that is back votes on no records of the handoff; the next waits for it
    data: str = ""  # folder in which the member's part of the agreement outlives its process

    def __post_init__(self) -> None:
        if min(self.members, self.most, self.most_zone, self.kept) < 1:
            raise ValueError("members, most, most-zone and kept must be at least 1")
        if not (0 < self.most_share <= 1 and 0 < self.reserve <= 1):
            raise ValueError("most-share and reserve are shares above 0")
        if min(self.drain, self.warm, self.window, self.tick, self.patience, self.fresh) <= 0:
            raise ValueError("drain, warm, window, tick, patience and fresh must be above 0")
        if self.absent < self.fresh:
            raise ValueError("absent must be at least fresh: a member whose word lacks may still send work")
        if self.fresh < 3 * self.tick:
            raise ValueError("fresh must be at least three ticks, or one lost word would stop the plan")
