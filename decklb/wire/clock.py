"""The core's clock, implemented by the reactor and the system's monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from decklb.core.ports import Timer


def use_monotonic_time(reactor: Any) -> Any:
    """Make the reactor schedule its calls on the monotonic clock and return the reactor.

    Twisted schedules on the wall clock: if that is set back by an hour, every deadline, heartbeat and time-out of the
    process fires an hour late.
    """
    reactor.seconds = time.monotonic
    return reactor


class ReactorClock:
    """Implements `decklb.core.ports.Clock`: time from the monotonic clock, timers from the reactor."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def now(self) -> float:
        """Return the time in ms since an arbitrary moment."""
        return time.monotonic() * 1000.0

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule one call of `callback` after `delay_ms`."""
        timer: Timer = self._reactor.callLater(max(0.0, delay_ms) / 1000.0, callback)
        return timer
