"""Deadlines of requests and attempts, in one heap with one shared timer.

Separate reactor timers, two for each request, took a tenth of a busy core.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from decklb.core.ports import Clock
from decklb.core.timers import call_after_reading

# ms between two checks of the heap while it is not empty.
CHECK_INTERVAL_MS = 2.0
# Used as the attempt number for the deadline of the request itself.
WHOLE_REQUEST = -1


class DeadlineQueue:
    """Calls `on_due` for each deadline that has passed, also if the request or attempt has already ended."""

    __slots__ = ("_clock", "_on_due", "_heap", "_timer_set")

    def __init__(self, clock: Clock, on_due: Callable[[str, int], None]) -> None:
        """`on_due` gets a request id and an attempt number, or WHOLE_REQUEST instead of the number."""
        self._clock, self._on_due = clock, on_due
        self._heap: list[tuple[float, str, int]] = []  # (deadline in ms, request id, attempt number)
        self._timer_set = False

    def add(self, deadline_ms: float, request_id: str, attempt_number: int = WHOLE_REQUEST) -> None:
        """Add a deadline."""
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
