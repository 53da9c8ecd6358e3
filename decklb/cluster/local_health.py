"""Lifeguard's local health: how unreliable this instance's own failure detector currently is.

Dadgar, Phillips, Currey: "Lifeguard: SWIM-ing with Situational Awareness" (2017), section 3.1. An instance whose probes
fail, or that has to refute suspicions, may itself be slow: it probes with longer intervals and timeouts before it
suspects others. Owned by `membership`; updated by the failure detector, by refutations and after stalls, and read by
the failure detector.
"""

from __future__ import annotations

# The paper uses 8. With 8, a few members on the minority side of a partition, where most probes fail, take more than a
# minute to detect the partition.
MAX_HEALTH_SCORE = 4


class LocalHealth:
    """The health score: 0 when healthy, at most `MAX_HEALTH_SCORE`."""

    def __init__(self) -> None:
        self.score = 0

    def record_success(self) -> None:
        """A probe by this instance was answered."""
        self.score = max(0, self.score - 1)

    def record_failure(self, count: int = 1) -> None:
        """This process was stalled, had to refute a claim, or a probe failed (`count`: relays that did not respond)."""
        self.score = min(MAX_HEALTH_SCORE, self.score + count)

    @property
    def timeout_multiplier(self) -> int:
        """Factor by which the failure detector multiplies its interval and timeout."""
        return self.score + 1
