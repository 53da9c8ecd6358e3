"""Health checks of the engines in the plan: which engines to check now, and which are unreachable.

A machine that is out or has just returned receives few requests or none, so only checks show its state. Owns the number
of consecutive failures of each engine and the checks in flight. Does no I/O. Called by `runtime.py`, which carries out
the checks.
"""

from __future__ import annotations

from collections.abc import Collection

UNREACHABLE_AFTER_FAILURES = 2  # consecutive failed checks


class PlanHealthChecks:
    """The state of the health checks of engines in the plan."""

    def __init__(self) -> None:
        self._failures: dict[str, int] = {}  # number of consecutive failures by engine
        self._in_flight: set[str] = set()

    def retain(self, engines: Collection[str]) -> None:
        """Forget all engines except these."""
        self._failures = {name: count for name, count in self._failures.items() if name in engines}

    def unreachable(self) -> set[str]:
        """Return the engines whose last checks failed."""
        return {name for name, count in self._failures.items() if count >= UNREACHABLE_AFTER_FAILURES}

    def due(self, engines: frozenset[str]) -> frozenset[str]:
        """Return those of the engines that have no check in flight."""
        return engines - self._in_flight

    def started(self, engine: str) -> None:
        """Record that a check was sent."""
        self._in_flight.add(engine)

    def ended(self, engine: str, answered: bool) -> None:
        """Record the result of a check."""
        self._in_flight.discard(engine)
        self._failures[engine] = 0 if answered else self._failures.get(engine, 0) + 1
