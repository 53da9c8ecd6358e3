"""The engine client over PostgreSQL: a connection pool for each engine, one attempt at a time on each connection.

See `decklb.core.ports.EngineClient` for who calls it and `decklb.wire.engine_pool` for the pools. A connection's
life is in `pg.engine_connection`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.python.failure import Failure

from decklb.core.dispatcher import Attempt
from decklb.core.ports import Clock
from decklb.interface import Outcome
from decklb.pg.cancel_request import CancelRequest
from decklb.pg.engine_connection import KEY_FORMAT, PgConnection
from decklb.pg.messages import BackendKey
from decklb.pg.settings import PgSettings
from decklb.wire.connection_end import end_reason
from decklb.wire.dialing import Dial
from decklb.wire.engine_pool import EnginePool, PooledEngines

CONNECT_TIMEOUT_MS = 1000.0  # for a connection to come up


class PgPool(EnginePool[PgConnection]):
    """The connections to one engine."""

    client: PgEngines

    def __init__(self, client: PgEngines, engine: str, address: tuple[str, int]) -> None:
        super().__init__(client, engine, address)
        self.retired = False  # the engine has gone, or has moved

    def make_connection(self) -> PgConnection:
        """A connection that is not dialled yet."""
        return PgConnection(self)

    def start(self, attempt: Attempt) -> None:
        """Run on an available connection, else on a new one."""
        available = [connection for connection in self.connections if connection.available]
        # One that is ready comes before one that is still coming up.
        connection = max(available, key=lambda one: one.ready, default=None)
        if connection is None and len(self.connections) >= self.client.settings.max_connections_per_engine:
            attempt.end(Outcome.OVERLOADED)
            return
        connection = connection or self.connect()
        attempt.sent = False
        attempt.handle = connection
        connection.run(attempt)

    def reserve(self, attempt: Attempt) -> bytes:
        """Keep a ready connection for an attempt and return its cancel key; "" where there is none."""
        for connection in self.connections:
            if connection.ready and connection.cancel_key and connection.available:
                attempt.handle = connection
                connection.reserve(attempt)
                return connection.cancel_key
        return b""

    def cancel(self, key: BackendKey, done: Callable[[], None] | None = None) -> None:
        """Ask the engine to cancel what runs in that session; `done` is called once it has, or can't be asked."""

        def undelivered(reason: Failure) -> None:
            logger.info(
                "cancel request did not reach {engine}: {reason}",
                event="cancel-request-undelivered",
                engine=self.engine,
                reason=end_reason(reason),
            )
            if done is not None:
                done()

        client = self.client
        request = CancelRequest(key, client.clock, done)
        Dial(client.reactor, client.clock, self.address, request, client.connect_timeout_ms, undelivered)

    def retire(self) -> None:
        """The engine has gone, or has moved."""
        self.retired = True
        for connection in list(self.connections):
            connection.retire()


class PgEngines(PooledEngines[PgPool]):
    """The core's engine client behind the PostgreSQL listener."""

    def __init__(self, reactor: Any, clock: Clock, settings: PgSettings) -> None:
        super().__init__(reactor, clock, CONNECT_TIMEOUT_MS)
        self.settings = settings

    def make_pool(self, engine: str, address: tuple[str, int]) -> PgPool:
        """A pool for an engine that is new, or has moved."""
        return PgPool(self, engine, address)

    def reserve(self, attempt: Attempt) -> bytes:
        """Keep a ready connection for an attempt that is yet to be started.

        Returns:
            The key by which other managers can cancel the attempt; "" where no connection could be kept.
        """
        pool = self.pools.get(attempt.engine_id)
        return pool.reserve(attempt) if pool is not None else b""

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, on the connection that is reserved for it if there is one."""
        connection = attempt.handle
        if isinstance(connection, PgConnection) and connection.attempt is attempt and connection.reserved:
            connection.run_reserved()
        else:
            super().start(attempt)

    def cancel_by_token(self, engine: str, cancel_token: bytes, done: Callable[[], None]) -> None:
        """Cancel what another manager has running, by the token that it told; `done` is called once, later."""
        pool = self.pools.get(engine)
        if pool is None or len(cancel_token) != KEY_FORMAT.size:
            self.clock.call_later(0, done)
        else:
            pool.cancel(BackendKey(*KEY_FORMAT.unpack(cancel_token)), done)

    def abandon(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel an attempt on its engine; `freed` is called when it is no longer out."""
        connection = attempt.handle
        if isinstance(connection, PgConnection) and connection.attempt is attempt:
            connection.give_up(freed)
        else:
            self.clock.call_later(0, freed)
