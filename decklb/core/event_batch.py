"""Batches events, so that the policy decides at most once per tick on all events since the last tick."""

from __future__ import annotations

from collections.abc import Callable

from decklb.core.ports import Clock, Timer
from decklb.core.timers import call_after_reading
from decklb.interface import Event


class EventBatch:
    """Events for the next decision of the policy; `decide` gets the time in ms and the events in order of posting."""

    __slots__ = ("_clock", "_tick_ms", "_decide", "_events", "_timer", "_last_tick_ms")

    def __init__(self, clock: Clock, tick_ms: float, decide: Callable[[float, list[Event]], None]) -> None:
        self._clock, self._tick_ms, self._decide = clock, tick_ms, decide
        self._events: list[Event] = []
        self._timer: Timer | None = None
        self._last_tick_ms = clock.now() - tick_ms

    def post(self, event: Event) -> None:
        """Add an event to the batch of the next tick."""
        self._events.append(event)
        if self._timer is None:
            wait_ms = max(0.0, self._last_tick_ms + self._tick_ms - self._clock.now())
            self._timer = call_after_reading(self._clock, wait_ms, self._tick)

    def _tick(self) -> None:
        self._timer = None
        events, self._events = self._events, []
        self._last_tick_ms = self._clock.now()
        self._decide(self._last_tick_ms, events)
