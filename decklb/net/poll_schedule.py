"""Decides when the directory is polled: at a steady interval while it answers, with backoff while it does not.

Jitter spreads the queries of gateways that were started together. Backoff reduces the load on a directory that is
overloaded or loses answers; without it, a fleet that polls as often as before, and again after each lost or invalid
answer, adds to the overload. The longest wait stays below 1.5 s, since a change of the list is binding 1.5 s after it
happened, whether or not the gateway has received it.

State: the number of consecutive failures. Owned by `directory_client`, which runs the timers.
"""

from __future__ import annotations

from collections.abc import Callable

POLL_INTERVAL_MS = 250.0  # from an answer to the next query
QUERY_TIMEOUT_MS = 400.0  # time-out of a query when the one before was answered
BACKOFF_FACTOR = 1.5  # growth of the time-out with each consecutive failure
MAX_BACKOFF_STEPS = 10  # bound of the exponent, since a directory may be down for days
MAX_WAIT_MS = 1000.0  # longest wait, including jitter
# Longest wait as a fraction of the drain grace: a directory that is back after an outage may list drains that began
# some time ago.
DRAIN_GRACE_FRACTION = 0.25
JITTER_FRACTION = 0.2  # largest deviation from a wait, as a fraction of it
JITTER_STEPS = 1 << 16  # resolution of the random factor


class PollSchedule:
    """Counts consecutive failures and computes the waits."""

    def __init__(self, random_below: Callable[[int], int], drain_grace_ms: float = 0.0) -> None:
        """Create a schedule without failures.

        Args:
            random_below: `random_below(n)` returns a random integer from 0 to n - 1.
            drain_grace_ms: ms after a drain notice in which an attempt may still start; 0: unspecified.
        """
        self._random_below = random_below
        self._max_wait_ms = MAX_WAIT_MS
        if drain_grace_ms > 0:
            self._max_wait_ms = min(MAX_WAIT_MS, max(QUERY_TIMEOUT_MS, DRAIN_GRACE_FRACTION * drain_grace_ms))
        self.failures = 0  # consecutive queries without a complete answer

    def next_query_delay(self) -> float:
        """Record a complete answer; returns the ms until the next query."""
        self.failures = 0
        return self._with_jitter(POLL_INTERVAL_MS)

    def query_timeout(self) -> float:
        """Return the time-out in ms of a query that is sent now, after which it has failed."""
        backoff_ms = QUERY_TIMEOUT_MS * BACKOFF_FACTOR ** min(self.failures, MAX_BACKOFF_STEPS)
        return self._with_jitter(min(self._max_wait_ms, backoff_ms))

    def query_failed(self) -> None:
        """Record that a query failed."""
        self.failures += 1

    def _with_jitter(self, wait_ms: float) -> float:
        factor = 1.0 + JITTER_FRACTION * (2.0 * self._random_below(JITTER_STEPS) / JITTER_STEPS - 1.0)
        return min(self._max_wait_ms, wait_ms * factor)
