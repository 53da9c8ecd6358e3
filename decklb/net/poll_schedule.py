"""When the directory is polled: steadily while it answers, with backoff and jitter while it does not.

A fleet that was started together polls together, and one that polls a directory in trouble as often as ever, and anew
for each answer that was lost or spoilt, is a part of that trouble. But a change of the list binds 1.5 s after it
happened whether its news came or not, so the longest wait stays below that.

State: the failures in a row. Owned by `directory_client`; no clock of its own.
"""

from __future__ import annotations

from collections.abc import Callable

POLL_INTERVAL_MS = 250.0  # between an answer and the next query
QUERY_TIMEOUT_MS = 400.0  # that a first query may go unanswered
BACKOFF_FACTOR = 1.5  # by which the time-out grows with each failure in a row
MAX_BACKOFF_STEPS = 10  # past this the power is not computed: a directory may be away for days
MAX_WAIT_MS = 1000.0  # the longest that a query waits, jitter included
# Part of the grace of a drain that a query waits at most: news that waited for a directory may be old.
DRAIN_GRACE_FRACTION = 0.25
JITTER_FRACTION = 0.2  # of a wait, to either side
JITTER_STEPS = 1 << 16  # resolution of what is drawn


class PollSchedule:
    """Counts failures in a row and gives the waits."""

    def __init__(self, draw: Callable[[int], int], drain_grace_ms: float = 0.0) -> None:
        """A schedule without failures.

        Args:
            draw: `draw(n)` gives a random whole number below n.
            drain_grace_ms: within which the settings want a drain heeded; 0 where they say nothing.
        """
        self._draw = draw
        self._max_wait_ms = MAX_WAIT_MS
        if drain_grace_ms > 0:
            self._max_wait_ms = min(MAX_WAIT_MS, max(QUERY_TIMEOUT_MS, DRAIN_GRACE_FRACTION * drain_grace_ms))
        self.failures = 0  # queries in a row that no whole answer came to

    def next_query_delay(self) -> float:
        """A whole answer came: ms until the next query."""
        self.failures = 0
        return self._with_jitter(POLL_INTERVAL_MS)

    def query_timeout(self) -> float:
        """A query goes out: ms until it counts as failed and another goes."""
        backoff_ms = QUERY_TIMEOUT_MS * BACKOFF_FACTOR ** min(self.failures, MAX_BACKOFF_STEPS)
        return self._with_jitter(min(self._max_wait_ms, backoff_ms))

    def query_failed(self) -> None:
        """The query came to nothing."""
        self.failures += 1

    def _with_jitter(self, wait_ms: float) -> float:
        factor = 1.0 + JITTER_FRACTION * (2.0 * self._draw(JITTER_STEPS) / JITTER_STEPS - 1.0)
        return min(self._max_wait_ms, wait_ms * factor)
