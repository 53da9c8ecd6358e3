"""Connection pools of an engine client, one per engine, common to all protocols.

The protocols have their own pools and connections (`net.engines`, `pg.engines`), based on this module and
`engine_connection`. State: the pools by engine id and the connections of each. Called by the dispatcher, which starts
attempts, and by the service, which passes the endpoint list.
"""

from __future__ import annotations

from typing import Any, Generic, TypeVar

from decklb.core.attempts import Attempt
from decklb.core.ports import Clock
from decklb.interface import Outcome
from decklb.wire.engine_connection import EngineConnection

ConnectionT = TypeVar("ConnectionT", bound=EngineConnection)


class EnginePool(Generic[ConnectionT]):
    """The connections to one engine at one address."""

    client: Any  # the engine client of the protocol

    def __init__(self, client: Any, engine: str, address: tuple[str, int]) -> None:
        """`engine` is its id in the directory, `address` its host and port."""
        self.client, self.engine, self.address = client, engine, address
        self.connections: set[ConnectionT] = set()

    def make_connection(self) -> ConnectionT:
        """Return a new connection of this protocol that is not dialed yet."""
        raise NotImplementedError

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on a connection of this pool."""
        raise NotImplementedError

    def retire(self) -> None:
        """The engine was removed or has moved: take no new attempts, and close when the open ones have ended."""
        raise NotImplementedError

    def connect(self) -> ConnectionT:
        """Open another connection."""
        connection = self.make_connection()
        self.connections.add(connection)
        connection.dial(self.client.connect_timeout_ms)
        return connection


PoolT = TypeVar("PoolT", bound="EnginePool[Any]")


class PooledEngines(Generic[PoolT]):
    """Keeps one pool per engine of the endpoint list.

    An engine that has moved gets a new pool, because another engine may get its old address.
    """

    def __init__(self, reactor: Any, clock: Clock, connect_timeout_ms: float) -> None:
        self.reactor, self.clock = reactor, clock
        self.connect_timeout_ms = connect_timeout_ms
        self.pools: dict[str, PoolT] = {}  # by engine id

    def make_pool(self, engine: str, address: tuple[str, int]) -> PoolT:
        """Return a pool for an engine that is new or has moved."""
        raise NotImplementedError

    def update_endpoints(self, endpoints: dict[str, tuple[str, int]]) -> None:
        """Apply a new endpoint list, given as addresses by engine id."""
        for engine, pool in list(self.pools.items()):
            if endpoints.get(engine) != pool.address:
                pool.retire()
                del self.pools[engine]
        for engine, address in endpoints.items():
            if engine not in self.pools:
                self.pools[engine] = self.make_pool(engine, address)

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; its end is reported by `attempt.end`."""
        pool = self.pools.get(attempt.engine_id)
        if pool is None:  # removed since the policy selected it
            attempt.end(Outcome.UNREACHABLE)
        else:
            pool.start(attempt)

    def close(self) -> None:
        """Close every connection once its open attempts have ended."""
        for pool in self.pools.values():
            pool.retire()
