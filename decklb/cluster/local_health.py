"""Lifeguard's local health: how far this instance distrusts its own failure detector.

Dadgar, Phillips, Currey: "Lifeguard: SWIM-ing with Situational Awareness" (2017), section 3.1. An instance whose own
probes and refutations go wrong slows its probing down before it accuses others. Owned by `membership`; written by the
failure detector and by refutations, read by the failure detector.
"""

from __future__ import annotations

# The paper has 8. With that, a side of a few members, which can't reach most that it probes, takes a minute and more to
# see that it is partitioned.
MAX_HEALTH_SCORE = 4


class LocalHealth:
    """The health score: 0 for healthy, up to `MAX_HEALTH_SCORE`."""

    def __init__(self) -> None:
        self.score = 0

    def record_success(self) -> None:
        """A probe of ours was answered."""
        self.score = max(0, self.score - 1)

    def record_failure(self, count: int = 1) -> None:
        """This process was stalled, had to refute, or relays did not answer it."""
        self.score = min(MAX_HEALTH_SCORE, self.score + count)

    @property
    def timeout_multiplier(self) -> int:
        """Factor by which the failure detector stretches its interval and timeout."""
        return self.score + 1
