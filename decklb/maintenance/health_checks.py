"""Health checks of the engines in the plan: which to check now, and which count as unreachable.

A machine that is out or just back takes no or few requests, so its state shows by checks alone. Owns the failures in a
row of each engine and the checks in flight. Called by `runtime.py`, which makes the checks; free of I/O.
"""

from __future__ import annotations

from collections.abc import Collection

UNREACHABLE_AFTER_FAILURES = 2  # checks in a row


class PlanHealthChecks:
    """The engines in the plan."""

    def __init__(self) -> None:
        self._failures: dict[str, int] = {}  # in a row, by engine
        self._in_flight: set[str] = set()

    def retain(self, engines: Collection[str]) -> None:
        """Forget engines that are in the plan no more."""
        self._failures = {name: count for name, count in self._failures.items() if name in engines}

    def unreachable(self) -> set[str]:
        """Engines whose last checks failed."""
        return {name for name, count in self._failures.items() if count >= UNREACHABLE_AFTER_FAILURES}

    def due(self, engines: frozenset[str]) -> frozenset[str]:
        """Those of the engines that no check is in flight for."""
        return engines - self._in_flight

    def started(self, engine: str) -> None:
        """A check was sent."""
        self._in_flight.add(engine)

    def ended(self, engine: str, answered: bool) -> None:
        """A check came to its end."""
        self._in_flight.discard(engine)
        self._failures[engine] = 0 if answered else self._failures.get(engine, 0) + 1
