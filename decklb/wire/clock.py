"""The reactor as the core's clock, on the system's monotonic clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from decklb.core.ports import Timer


def use_monotonic_time(reactor: Any) -> Any:
    """Make the reactor schedule its calls on the monotonic clock, and return it.

    Twisted schedules on the wall clock: if that is set back by an hour, every deadline, heartbeat and time-out of the
    process is an hour late.
    """
    reactor.seconds = time.monotonic
    return reactor


class ReactorClock:
    """See `decklb.core.ports.Clock`. Time from the monotonic clock, timers from the reactor."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def now(self) -> float:
        """Milliseconds since some moment in the past."""
        return time.monotonic() * 1000.0

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Make the call once, after `delay` ms."""
        timer: Timer = self._reactor.callLater(max(0.0, delay) / 1000.0, call)
        return timer
