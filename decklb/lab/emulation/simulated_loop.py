"""A discrete-event loop on simpy: a simulated clock that advances from call to call and implements `core.ports.Clock`.

Everything in an emulated run is scheduled on this loop; nothing waits in real time. Measured with 3 managers and 8
engines, simpy takes about a fifth of the run time (`decklb lab bench --profile`; docs/lab.md), so a scheduler of our
own would gain little.
"""

from __future__ import annotations

from collections.abc import Callable

import simpy


class ScheduledCall:
    """A scheduled call that can be cancelled; a cancelled call has no `callback`."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the call."""
        self.callback = None


class Loop:
    """A simulated clock in ms with scheduled calls; calls that are due at the same time run in order of scheduling.

    Attributes:
        calls_made: Number of calls made so far.
    """

    def __init__(self) -> None:
        self._environment = simpy.Environment()
        self.calls_made = 0

    def now(self) -> float:
        """Return the simulated time in ms."""
        return float(self._environment.now)

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> ScheduledCall:
        """Schedule one call of `callback` after `delay_ms`."""
        scheduled_call = ScheduledCall(callback)

        def make_call(_event: object) -> None:
            if scheduled_call.callback is not None:
                self.calls_made += 1
                scheduled_call.callback()

        self._environment.timeout(max(0.0, delay_ms)).callbacks.append(make_call)
        return scheduled_call

    def run(self, until: float) -> None:
        """Make all calls that are due before a simulated time in ms and advance the clock to that time."""
        if until > self._environment.now:
            self._environment.run(until=until)
