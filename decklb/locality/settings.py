"""The locality's settings. Times are milliseconds, shares from 0 to 1."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LocalitySettings:
    """How zones are judged and traffic is kept near."""

    fresh: float = 3000.0  # for which what a member saw of a zone counts
    settle: float = 500.0  # for which a member must see the same before it votes for it
    hold: float = 5000.0  # between two changes of one zone's state at the least
    retry: float = 1500.0  # after which a term without a majority is given up for the next
    keep: float = 15_000.0  # for which the last common decision holds for a member that no quorum reaches
    ramp: float = 10_000.0  # from a zone's return until it takes its whole share again
    ramp_floor: float = 0.05  # of its share at the moment of its return
    out: float = 0.7  # share of a zone's capacity down, or of its attempts failed, from which it is out
    degraded: float = 0.3  # likewise, from which it is degraded
    slow: float = 4.0  # times the usual latency from which a zone counts as degraded
    full: float = 0.85  # of a zone's capacity that its own callers may fill before they spill
    panic: float = 0.4  # of all capacity healthy, below which every zone is used alike: better errors than a flood

    def __post_init__(self) -> None:
        if min(self.fresh, self.settle, self.hold, self.retry, self.keep, self.ramp) <= 0:
            raise ValueError("fresh, settle, hold, retry, keep and ramp must be above 0")
        if not 0 < self.degraded < self.out <= 1:
            raise ValueError("degraded must be above 0 and below out, out at most 1")
        if not (0 < self.ramp_floor <= 1 and 0 < self.full <= 1 and 0 <= self.panic < 1 and self.slow > 1):
            raise ValueError("ramp-floor and full are shares above 0, panic one below 1, slow is above 1")
