"""A discrete-event loop on simpy: a simulated clock that jumps from call to call, behind the core's `Clock` port.

Everything of an emulated run is scheduled here; nothing waits in real time. Measured on 3 managers and 8 engines, simpy
takes about a fifth of a run (`decklb lab bench --profile`; docs/lab.md), so no heap of our own stands in for it.
"""

from __future__ import annotations

from collections.abc import Callable

import simpy


class Call:
    """A scheduled call that can be cancelled. `call` is None once it is."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Never make the call."""
        self.call = None


class Loop:
    """A simulated clock in ms, and the calls scheduled on it; calls of one moment come in the order of scheduling.

    Attributes:
        made: Calls made so far.
    """

    def __init__(self) -> None:
        self._environment = simpy.Environment()
        self.made = 0

    def now(self) -> float:
        """Return the simulated time, in ms."""
        return float(self._environment.now)

    def call_later(self, delay: float, call: Callable[[], None]) -> Call:
        """Make a call once, after that many ms."""
        scheduled = Call(call)

        def due(_event: object) -> None:
            if scheduled.call is not None:
                self.made += 1
                scheduled.call()

        self._environment.timeout(max(0.0, delay)).callbacks.append(due)
        return scheduled

    def run(self, until: float) -> None:
        """Make all calls before a moment, and set the clock to it."""
        if until > self._environment.now:
            self._environment.run(until=until)
