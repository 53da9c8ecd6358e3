"""The application's event loop as the clock of the dispatcher (`decklb.core.ports.Clock`)."""

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
        """Milliseconds."""
        return self._loop.time() * MS_PER_S

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Make the call once, after that many milliseconds."""
        return self._loop.call_later(max(0.0, delay) / MS_PER_S, call)
