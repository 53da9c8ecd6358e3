"""The application's event loop as the dispatcher's clock (`decklb.core.ports.Clock`)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from decklb.core.ports import Timer

MS_PER_S = 1000.0


class EventLoopClock:
    """Monotonic time and timers of one asyncio event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def now(self) -> float:
        """Return the current time of the loop in ms."""
        return self._loop.time() * MS_PER_S

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule one call of `callback` after `delay_ms`."""
        return self._loop.call_later(max(0.0, delay_ms) / MS_PER_S, callback)
