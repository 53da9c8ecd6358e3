"""Applies the plan to the endpoint list: unavailable engines are draining, returned engines are in slow start.

Owns the sets of unavailable and warming machines last seen in the plan, and since when each engine is warming on this
member's clock (the times in the plan are from the wall clocks of other members). Does no I/O. Called by `runtime.py`.
"""

from __future__ import annotations

from dataclasses import replace

from decklb.interface import Endpoint, Phase
from decklb.maintenance.plan import Plan, Stage


class EndpointOverlay:
    """Changes that the plan makes to one member's endpoint list."""

    def __init__(self) -> None:
        self._last_seen: tuple[frozenset[str], frozenset[str]] = frozenset(), frozenset()  # unavailable, warming
        self._warming_since: dict[str, float] = {}  # ms, by engine

    def update_plan(self, now: float, plan: Plan, unavailable: frozenset[str]) -> bool:
        """Update to a plan, and return whether the endpoint list has to be applied again."""
        warming = frozenset(machine.name for machine in plan.machines_in((Stage.WARMING,)))
        self._warming_since = {name: self._warming_since.get(name, now) for name in warming}
        previous, self._last_seen = self._last_seen, (unavailable, warming)
        return self._last_seen != previous

    def apply(self, endpoints: list[Endpoint], unavailable: frozenset[str]) -> list[Endpoint]:
        """Return the endpoint list with the changes of the plan."""
        return [self._apply_to(endpoint, unavailable) for endpoint in endpoints]

    def _apply_to(self, endpoint: Endpoint, unavailable: frozenset[str]) -> Endpoint:
        if endpoint.engine_id in unavailable and endpoint.phase is Phase.UP:
            return replace(endpoint, phase=Phase.DRAINING)
        if endpoint.engine_id in self._warming_since:
            return replace(endpoint, started_at_ms=self._warming_since[endpoint.engine_id])
        return endpoint
