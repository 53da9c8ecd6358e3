"""Lays the plan over the endpoint list: unavailable engines drain, those just back start slowly.

Owns what the plan was last seen to say, and since when each engine warms on this member's clock (the plan's times are
other members' wall clocks). Called by `runtime.py`; free of I/O.
"""

from __future__ import annotations

from dataclasses import replace

from decklb.interface import Endpoint, Phase
from decklb.maintenance.plan import Plan, Stage


class EndpointOverlay:
    """One member's endpoint list under the plan."""

    def __init__(self) -> None:
        self._seen: tuple[frozenset[str], frozenset[str]] = frozenset(), frozenset()  # unavailable, warming
        self._warming_since: dict[str, float] = {}  # ms, by engine

    def follow(self, now: float, plan: Plan, unavailable: frozenset[str]) -> bool:
        """Take over the plan; returns whether the endpoint list has to be applied again."""
        warming = frozenset(machine.name for machine in plan.machines_in((Stage.WARMING,)))
        self._warming_since = {name: self._warming_since.get(name, now) for name in warming}
        previous, self._seen = self._seen, (unavailable, warming)
        return self._seen != previous

    def apply(self, entries: list[Endpoint], unavailable: frozenset[str]) -> list[Endpoint]:
        """The endpoint list as the plan lets it be used."""
        return [self._apply_to(entry, unavailable) for entry in entries]

    def _apply_to(self, entry: Endpoint, unavailable: frozenset[str]) -> Endpoint:
        if entry.engine_id in unavailable and entry.phase is Phase.UP:
            return replace(entry, phase=Phase.DRAINING)
        if entry.engine_id in self._warming_since:
            return replace(entry, started_at_ms=self._warming_since[entry.engine_id])
        return entry
