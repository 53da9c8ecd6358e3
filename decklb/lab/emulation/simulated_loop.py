"""Discrete events: a clock that jumps from call to call, behind the core's `Clock` port, on simpy.

Measured on 3 managers and 8 engines, simpy takes about a fifth of a run (`decklb lab bench --profile`; docs/lab.md), so
no heap of our own stands in for it.
"""

from __future__ import annotations

from collections.abc import Callable

import simpy


class Call:
    """A call that is still to come."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Forget it."""
        self.call = None


class Loop:
    """Times are milliseconds; calls at one moment come in the order they were asked for."""

    def __init__(self) -> None:
        self._env = simpy.Environment()
        self.made = 0  # calls made

    def now(self) -> float:
        """The present moment."""
        return float(self._env.now)

    def call_later(self, delay: float, call: Callable[[], None]) -> Call:
        """Make the call once, after that many ms."""
        made = Call(call)

        def due(event: object) -> None:
            if made.call is not None:
                self.made += 1
                made.call()

        self._env.timeout(max(0.0, delay)).callbacks.append(due)
        return made

    def run(self, until: float) -> None:
        """All calls before a moment, and then that moment."""
        if until > self._env.now:
            self._env.run(until=until)
