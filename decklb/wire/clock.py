"""The reactor as the core's clock."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from decklb.core.ports import Timer


def steady(reactor: Any) -> Any:
    """The reactor with its calls on the monotonic clock. Twisted counts them on the wall clock: one that is set an hour
    back holds every deadline, beat and time-out of the process back for that hour."""
    reactor.seconds = time.monotonic
    return reactor


class ReactorClock:
    """Time from the system's monotonic clock, calls from the reactor."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def now(self) -> float:
        """Milliseconds since some moment in the past."""
        return time.monotonic() * 1000.0

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Make the call once, after that many milliseconds."""
        timer: Timer = self._reactor.callLater(max(0.0, delay) / 1000.0, call)
        return timer
