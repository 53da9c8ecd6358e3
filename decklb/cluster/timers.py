"""A queue of timers on a clock that the caller moves. It never waits or calls by itself, so a run can be simulated.

One queue serves all parts of a node. `node` moves it; membership and duties schedule on it.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

Callback = Callable[[float], None]  # called with the time of the run, ms


class Timer:
    """A callback that is still to be made."""

    __slots__ = ("due_ms", "callback")

    def __init__(self, due_ms: float, callback: Callback) -> None:
        self.due_ms = due_ms
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Never make the callback. Harmless when it has been made."""
        self.callback = None


class TimerQueue:
    """A heap of timers, earliest first; timers due at one moment run in the order in which they were made.

    Attributes:
        now: time of the event that is being handled, monotonic ms; set by whoever drives the queue.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = 0

    def call_at(self, due_ms: float, callback: Callback) -> Timer:
        """Make the callback in the first run at or after `due_ms`."""
        timer = Timer(due_ms, callback)
        self._count += 1
        heappush(self._heap, (due_ms, self._count, timer))
        return timer

    def next_due(self) -> float:
        """When the next timer is due; infinity for none."""
        while self._heap and self._heap[0][2].callback is None:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else float("inf")

    def run_due(self, now: float) -> None:
        """Make the callbacks that are due. A timer made meanwhile waits for the next run, even if it is due at once."""
        due = []
        while self.next_due() <= now:
            due.append(heappop(self._heap)[2])
        for timer in due:
            if timer.callback is not None:
                timer.callback(now)
