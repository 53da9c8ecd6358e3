"""The engines of the endpoint list, and their order by rendezvous hash for each table group.

The order is rendezvous (highest random weight) hashing after Thaler and Ravishankar, the same at every
gateway. The gateway owns the registry and updates it from the endpoint list; routing reads the order.
"""

from __future__ import annotations

from dataclasses import replace

from decklb.interface import Endpoint, Phase
from decklb.policy.constants import LONG_AGO
from decklb.policy.records import Engine

MAX_CACHED_HASHES = 40_000  # rendezvous hashes of all engines that are kept
MIN_CACHED_GROUPS = 64  # table groups whose hashes are kept, however many engines there are


class EngineRegistry:
    """All known engines.

    Attributes:
        by_id: Engines by id.
        by_short_id: Engines that are up, by 16-bit identifier.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, Engine] = {}
        self.by_short_id: dict[int, Engine] = {}
        self._up: list[Engine] = []
        self._orders: dict[int, list[Engine]] = {}  # engines that are up, by table group
        self._cached_groups: dict[int, None] = {}  # table groups with cached hashes, oldest first

    def up(self) -> list[Engine]:
        """Return the engines whose phase in the endpoint list is `UP`."""
        return self._up

    def update(self, endpoints: list[Endpoint], complete: bool, now: float, cores: dict[str, int]) -> None:
        """Apply an update of the endpoint list.

        Engines that a complete list does not contain are removed, once their attempts have ended.

        Args:
            endpoints: The new and changed entries, or all entries.
            complete: Whether these are all entries.
            now: Current time in ms.
            cores: Number of cores of an engine, by kind of engine.
        """
        for endpoint in endpoints:
            engine = self.by_id.get(endpoint.engine_id)
            if engine is None:
                engine = self.by_id[endpoint.engine_id] = Engine(
                    endpoint, float(max(1, cores.get(endpoint.kind, 1))), now
                )
            engine.endpoint = endpoint
            engine.started_at = max(engine.started_at, endpoint.started_at_ms or LONG_AGO)
        listed_ids = {endpoint.engine_id for endpoint in endpoints}
        for engine_id, engine in list(self.by_id.items()):
            if complete and engine_id not in listed_ids:
                engine.endpoint = replace(engine.endpoint, phase=Phase.REMOVED)
            if engine.endpoint.phase is Phase.REMOVED and not engine.attempts:
                del self.by_id[engine_id]
        up = [engine for engine in self.by_id.values() if engine.endpoint.phase is Phase.UP]
        if up != self._up:
            self._up, self.by_short_id = up, {engine.short_id(): engine for engine in up}
            self._orders.clear()

    def order(self, table_group: int) -> list[Engine]:
        """Return the engines that are up, in hash order of the table group but preferred engines first."""
        if table_group not in self._orders:
            self._limit_cache(table_group)
            self._orders[table_group] = sorted(
                self._up,
                key=lambda engine: (
                    not engine.preferred,
                    engine.hash_for(table_group),
                    engine.endpoint.engine_id,
                ),
            )
        return self._orders[table_group]

    def _limit_cache(self, table_group: int) -> None:
        """Make room for the hashes of a table group: clients choose the groups that their statements name."""
        self._cached_groups.setdefault(table_group)
        max_groups = max(MIN_CACHED_GROUPS, MAX_CACHED_HASHES // max(1, len(self._up)))
        while len(self._cached_groups) > max_groups:
            evicted = next(iter(self._cached_groups))
            del self._cached_groups[evicted]
            self._orders.pop(evicted, None)
            for engine in self.by_id.values():
                engine.hashes.pop(evicted, None)
