"""Calls at a later time, on a clock that the caller moves."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush


class Timer:
    """A call that is still to come."""

    __slots__ = ("when", "call")

    def __init__(self, when: float, call: Callable[[float], None]) -> None:
        self.when = when
        self.call: Callable[[float], None] | None = call

    def cancel(self) -> None:
        """Forget the call."""
        self.call = None


class Timers:
    """A heap of calls. Nothing happens by itself: `run` makes what is due."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._count = 0

    def at(self, when: float, call: Callable[[float], None]) -> Timer:
        """Make the call, with the time, at or after `when` (ms)."""
        timer = Timer(when, call)
        self._count += 1  # calls due together come in the order they were asked for
        heappush(self._heap, (when, self._count, timer))
        return timer

    def next(self) -> float:
        """When the next call is due; infinity for none."""
        while self._heap and self._heap[0][2].call is None:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else float("inf")

    def run(self, now: float) -> None:
        """Make the calls that are due. What they ask for meanwhile waits for the next run, if it is due at once."""
        due = []
        while self.next() <= now:
            due.append(heappop(self._heap)[2])
        for timer in due:
            if timer.call is not None:
                timer.call(now)
