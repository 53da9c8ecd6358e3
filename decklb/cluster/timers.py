"""A timer queue whose clock is advanced by the caller. It neither waits nor runs by itself, so time can be simulated.

All components of a node share one queue: `node` runs it, and membership and the duty schedulers add timers to it.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

Callback = Callable[[float], None]  # called with the current time in ms


class Timer:
    """A scheduled callback."""

    __slots__ = ("due_ms", "callback")

    def __init__(self, due_ms: float, callback: Callback) -> None:
        self.due_ms = due_ms
        self.callback: Callback | None = callback

    def cancel(self) -> None:
        """Cancel the callback; has no effect if it has already run."""
        self.callback = None


class TimerQueue:
    """A heap of timers, earliest first; timers due at the same time run in the order in which they were added.

    Attributes:
        now: time of the event that is being handled, monotonic ms; set by the caller that runs the queue.
    """

    def __init__(self, now: float = 0.0) -> None:
        self.now = now
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = 0

    def call_at(self, due_ms: float, callback: Callback) -> Timer:
        """Schedule the callback for the first call of `run_due` at or after `due_ms`."""
        timer = Timer(due_ms, callback)
        self._count += 1
        heappush(self._heap, (due_ms, self._count, timer))
        return timer

    def next_due(self) -> float:
        """Return when the next timer is due; infinity if there is none."""
        while self._heap and self._heap[0][2].callback is None:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else float("inf")

    def run_due(self, now: float) -> None:
        """Run the callbacks that are due. A timer added by one of them waits for the next call, even if already due."""
        due = []
        while self.next_due() <= now:
            due.append(heappop(self._heap)[2])
        for timer in due:
            if timer.callback is not None:
                timer.callback(now)
