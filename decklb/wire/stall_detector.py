"""Detects that the process was held up, and for how long what it reads now has lain unread.

Owned and fed by the reactor; the dispatcher takes the result off the budget of the requests that it reads. No clock of
its own, so that it can be tested without a loop.
"""

from __future__ import annotations

from collections import deque

from decklb.core.timers import HELD

# Passes of reading after a stall whose input counts as old: a connection is accepted in the first, read in the second.
STALE_PASSES = 3


class StallDetector:
    """Notices a stall by the time between two passes of reading and within the wait for the next.

    Times are seconds of the monotonic clock. A stall within a wait shows only where it outlasts the wait, so waits have
    to be short.
    """

    def __init__(self) -> None:
        self._last_read_at: float | None = None  # when the last pass of reading began
        self._wait_began_at = 0.0
        self._wait_limit = 0.0  # how long the present wait may last
        # For each of the last passes: since when what it read may have lain unread, None if there was no stall.
        self._recent_stalls: deque[float | None] = deque(maxlen=STALE_PASSES)

    def wait_begins(self, now: float, longest: float) -> None:
        """All that was read has been handled; a wait for events of `longest` seconds at most begins."""
        self._wait_began_at = now
        self._wait_limit = longest

    def reading_begins(self, now: float) -> None:
        """The wait is over and a pass of reading begins."""
        stalled_since = None
        if self._last_read_at is not None and self._wait_began_at - self._last_read_at > HELD / 1000:
            stalled_since = self._last_read_at
        elif now - self._wait_began_at - self._wait_limit > HELD / 1000:
            stalled_since = self._wait_began_at
        self._recent_stalls.append(stalled_since)
        self._last_read_at = now

    def unread_for(self, now: float) -> float:
        """Seconds for which what is read now may have lain unread; 0 without a stall."""
        return now - min((since for since in self._recent_stalls if since is not None), default=now)
