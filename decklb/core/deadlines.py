"""The deadlines of requests and attempts, in one heap that shares one timer.

Two timers of the reactor for each request took a tenth of a busy core.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from decklb.core.ports import Clock
from decklb.core.timers import call_after_reading

# ms between looks at the heap while anything is in it.
CHECK_INTERVAL_MS = 2.0
# Stands for the request itself in place of an attempt's number.
WHOLE_REQUEST = -1


class DeadlineQueue:
    """Deadlines that are still to come, also those of what has ended since: `on_due` passes over them."""

    __slots__ = ("_clock", "_on_due", "_heap", "_timer_set")

    def __init__(self, clock: Clock, on_due: Callable[[str, int], None]) -> None:
        """`on_due` gets the id of a request, and the number of an attempt or WHOLE_REQUEST."""
        self._clock, self._on_due = clock, on_due
        self._heap: list[tuple[float, str, int]] = []  # (deadline in ms, id of the request, number of the attempt)
        self._timer_set = False

    def add(self, deadline_ms: float, request_id: str, attempt_number: int = WHOLE_REQUEST) -> None:
        """Call `on_due` when that time has come."""
        heappush(self._heap, (deadline_ms, request_id, attempt_number))
        if not self._timer_set:
            self._timer_set = True
            call_after_reading(self._clock, CHECK_INTERVAL_MS, self._check)

    def _check(self) -> None:
        now, heap = self._clock.now(), self._heap
        while heap and heap[0][0] <= now:
            _, request_id, attempt_number = heappop(heap)
            self._on_due(request_id, attempt_number)
        self._timer_set = bool(heap)
        if heap:
            call_after_reading(self._clock, CHECK_INTERVAL_MS, self._check)
