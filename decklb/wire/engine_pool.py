"""Connection pools of an engine client, one for each engine, on whatever wire.

A wire makes its own pools and connections (`net.engines`, `pg.engines`); what they share is here and in
`engine_connection`. State: the pools by engine id and the connections of each. Called by the dispatcher, which starts
attempts, and by the service, which passes on the endpoint list.
"""

from __future__ import annotations

from typing import Any, Generic, TypeVar

from decklb.core.dispatcher import Attempt
from decklb.core.ports import Clock
from decklb.interface import Outcome
from decklb.wire.engine_connection import EngineConnection

ConnectionT = TypeVar("ConnectionT", bound=EngineConnection)


class EnginePool(Generic[ConnectionT]):
    """The connections to one engine at one address."""

    client: Any  # the engine client of the wire

    def __init__(self, client: Any, engine: str, address: tuple[str, int]) -> None:
        """`engine`: its id in the directory; `address`: host and port."""
        self.client, self.engine, self.address = client, engine, address
        self.connections: set[ConnectionT] = set()

    def make_connection(self) -> ConnectionT:
        """A connection of this wire that is not dialled yet."""
        raise NotImplementedError

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on a connection of this pool."""
        raise NotImplementedError

    def retire(self) -> None:
        """The engine has gone, or has moved: no new attempt, and an end with what is out."""
        raise NotImplementedError

    def connect(self) -> ConnectionT:
        """Open a further connection."""
        connection = self.make_connection()
        self.connections.add(connection)
        connection.dial(self.client.connect_timeout_ms)
        return connection


PoolT = TypeVar("PoolT", bound="EnginePool[Any]")


class PooledEngines(Generic[PoolT]):
    """The pools by engine, following the endpoint list.

    An engine that has moved gets a new pool: its old address may come to belong to another engine.
    """

    def __init__(self, reactor: Any, clock: Clock, connect_timeout_ms: float) -> None:
        self.reactor, self.clock = reactor, clock
        self.connect_timeout_ms = connect_timeout_ms
        self.pools: dict[str, PoolT] = {}  # by engine id

    def make_pool(self, engine: str, address: tuple[str, int]) -> PoolT:
        """A pool for an engine that is new, or has moved."""
        raise NotImplementedError

    def update_endpoints(self, endpoints: dict[str, tuple[str, int]]) -> None:
        """The engines by id, and where each listens now."""
        for engine, pool in list(self.pools.items()):
            if endpoints.get(engine) != pool.address:
                pool.retire()
                del self.pools[engine]
        for engine, address in endpoints.items():
            if engine not in self.pools:
                self.pools[engine] = self.make_pool(engine, address)

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; its end is told by `attempt.end`."""
        pool = self.pools.get(attempt.engine_id)
        if pool is None:  # gone since the decision
            attempt.end(Outcome.UNREACHABLE)
        else:
            pool.start(attempt)

    def close(self) -> None:
        """Close every connection once what is out on it has ended."""
        for pool in self.pools.values():
            pool.retire()
