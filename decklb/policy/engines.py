"""The engines that endpoint lists have named, and their rendezvous-hash order for each group of tables.

Ordering is rendezvous (highest random weight) hashing of Thaler and Ravishankar, the same at every gateway.
The gateway owns the registry and updates it from the list; routing asks for orders.
"""

from __future__ import annotations

from dataclasses import replace

from decklb.interface import Endpoint, Phase
from decklb.policy.constants import LONG_AGO
from decklb.policy.records import Engine


class EngineRegistry:
    """All known engines, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, Engine] = {}
        self.by_tag: dict[int, Engine] = {}  # those that are up
        self._up: list[Engine] = []
        self._orders: dict[int, list[Engine]] = {}  # by group of tables

    def up(self) -> list[Engine]:
        """Engines that the list calls up."""
        return self._up

    def update(self, entries: list[Endpoint], complete: bool, now: float, cores: dict[str, int]) -> None:
        """Take an update of the endpoint list; whatever a complete list lacks is removed.

        Args:
            entries: the lines that are new or have changed, or all.
            complete: whether these are all.
            now: ms.
            cores: cores of an engine, by kind.
        """
        for entry in entries:
            engine = self.by_id.get(entry.engine_id)
            if engine is None:
                engine = self.by_id[entry.engine_id] = Engine(
                    entry, float(max(1, cores.get(entry.kind, 1))), now
                )
            engine.endpoint = entry
            engine.started_at = max(engine.started_at, entry.started_at_ms or LONG_AGO)
        listed = {entry.engine_id for entry in entries}
        for name, engine in list(self.by_id.items()):
            if complete and name not in listed:
                engine.endpoint = replace(engine.endpoint, phase=Phase.REMOVED)
            if engine.endpoint.phase is Phase.REMOVED and not engine.attempts:
                del self.by_id[name]
        up = [engine for engine in self.by_id.values() if engine.endpoint.phase is Phase.UP]
        if up != self._up:
            self._up, self.by_tag = up, {engine.tag(): engine for engine in up}
            self._orders.clear()

    def order(self, group: int) -> list[Engine]:
        """Engines that are up in a group's hash order, preferred ones first."""
        if group not in self._orders:
            self._orders[group] = sorted(
                self._up,
                key=lambda engine: (not engine.preferred, engine.hash_for(group), engine.endpoint.engine_id),
            )
        return self._orders[group]
