"""Detects stalls of the process and how long the input that is read after them may have been unread.

Owned by the reactor, which reports its waits and reads; the dispatcher subtracts the result from the budget of the
requests that it receives. The caller passes the time, so that it can be tested without an event loop.
"""

from __future__ import annotations

from collections import deque

from decklb.core.timers import STALL_THRESHOLD_MS

# Number of read passes after a stall whose input may be old: a connection made during the stall is accepted in the
# first pass and read in the second.
STALE_PASSES = 3


class StallDetector:
    """Detects a stall between the start of a read pass and the next wait for events, or during that wait.

    Times are seconds of the monotonic clock. A stall during a wait is only detected if it outlasts the wait, so waits
    have to be short.
    """

    def __init__(self) -> None:
        self._last_read_at: float | None = None  # when the last read pass began
        self._wait_began_at = 0.0
        self._wait_limit = 0.0  # maximum length of the current wait in s
        # For each of the last read passes: since when its input may have been unread; None if there was no stall.
        self._recent_stalls: deque[float | None] = deque(maxlen=STALE_PASSES)

    def wait_begins(self, now: float, max_wait: float) -> None:
        """All input has been handled; a wait for events of at most `max_wait` seconds begins."""
        self._wait_began_at = now
        self._wait_limit = max_wait

    def reading_begins(self, now: float) -> None:
        """The wait is over and a read pass begins."""
        stalled_since = None
        if self._last_read_at is not None and self._wait_began_at - self._last_read_at > STALL_THRESHOLD_MS / 1000:
            stalled_since = self._last_read_at
        elif now - self._wait_began_at - self._wait_limit > STALL_THRESHOLD_MS / 1000:
            stalled_since = self._wait_began_at
        self._recent_stalls.append(stalled_since)
        self._last_read_at = now

    def unread_for(self, now: float) -> float:
        """Return for how many seconds the input that is read now may have been unread; 0 if there was no stall."""
        return now - min((since for since in self._recent_stalls if since is not None), default=now)
