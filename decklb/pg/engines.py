"""The engine client for PostgreSQL: a connection pool per engine, one attempt at a time on each connection.

See `decklb.core.engine_client.EngineClient` for its interface and `decklb.wire.engine_pool` for the pools. The
lifecycle of a connection is in `pg.engine_connection`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from decklb.core.attempts import Attempt
from decklb.core.memory_account import UNLIMITED_BYTES, MemoryAccount
from decklb.core.ports import Clock
from decklb.interface import Outcome
from decklb.pg.cancel_request import CancelEnd, CancelRequest
from decklb.pg.engine_connection import BACKEND_KEY_FORMAT, PgConnection
from decklb.pg.messages import BackendKey
from decklb.pg.settings import PgSettings
from decklb.wire.engine_pool import EnginePool, PooledEngines

CONNECT_TIMEOUT_MS = 1000.0  # for establishing a connection


class PgPool(EnginePool[PgConnection]):
    """The connections to one engine."""

    client: PgEngines

    def __init__(self, client: PgEngines, engine: str, address: tuple[str, int]) -> None:
        super().__init__(client, engine, address)
        self.retired = False  # the engine was removed or has moved

    def make_connection(self) -> PgConnection:
        """Return a connection that has not been dialled yet."""
        return PgConnection(self)

    def start(self, attempt: Attempt) -> None:
        """Run the attempt on an available connection, otherwise on a new one."""
        available = [connection for connection in self.connections if connection.available]
        # Prefers a ready connection to one that is still being established.
        connection = max(available, key=lambda candidate: candidate.ready, default=None)
        if connection is None and len(self.connections) >= self.client.settings.max_connections_per_engine:
            attempt.end(Outcome.OVERLOADED)
            return
        connection = connection or self.connect()
        attempt.sent = False
        attempt.handle = connection
        connection.run(attempt)

    def reserve(self, attempt: Attempt) -> bytes:
        """Reserve a ready connection for an attempt and return its cancel key; empty if there is none."""
        for connection in self.connections:
            if connection.ready and connection.cancel_key and connection.available:
                attempt.handle = connection
                connection.reserve(attempt)
                return connection.cancel_key
        return b""

    def cancel(self, key: BackendKey, on_end: Callable[[CancelEnd], None]) -> CancelRequest:
        """Send a CancelRequest for the session with this key; `on_end` is called once, when it has ended."""
        request = CancelRequest(self.engine, key, self.client.clock, on_end)
        request.send(self.client.reactor, self.address, self.client.connect_timeout_ms)
        return request

    def retire(self) -> None:
        """The engine was removed or has moved: close the connections."""
        self.retired = True
        for connection in list(self.connections):
            connection.retire()


class PgEngines(PooledEngines[PgPool]):
    """The engine client that the core uses with the PostgreSQL listener."""

    def __init__(self, reactor: Any, clock: Clock, settings: PgSettings, account: MemoryAccount | None = None) -> None:
        """`account` counts what the connections hold."""
        super().__init__(reactor, clock, CONNECT_TIMEOUT_MS)
        self.settings = settings
        self.account = account or MemoryAccount(UNLIMITED_BYTES)

    def make_pool(self, engine: str, address: tuple[str, int]) -> PgPool:
        """Return a pool for an engine that is new or has moved."""
        return PgPool(self, engine, address)

    def reserve(self, attempt: Attempt) -> bytes:
        """Reserve a ready connection for an attempt that has not started yet.

        Returns:
            The key with which other managers can cancel the attempt; empty if no connection could be reserved.
        """
        pool = self.pools.get(attempt.engine_id)
        return pool.reserve(attempt) if pool is not None else b""

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, on its reserved connection if it has one."""
        connection = attempt.handle
        if isinstance(connection, PgConnection) and connection.attempt is attempt and connection.reserved:
            connection.run_reserved()
        else:
            super().start(attempt)

    def cancel_by_token(self, engine: str, cancel_token: bytes, done: Callable[[], None]) -> None:
        """Cancel a statement of another manager by its cancel token; `done` is called once, asynchronously."""
        pool = self.pools.get(engine)
        if pool is None or len(cancel_token) != BACKEND_KEY_FORMAT.size:
            self.clock.call_later(0, done)
        else:
            pool.cancel(BackendKey(*BACKEND_KEY_FORMAT.unpack(cancel_token)), lambda _end: done())

    def abandon(self, attempt: Attempt, on_released: Callable[[], None]) -> None:
        """Cancel an attempt at its engine; `on_released` is called once it is no longer in flight."""
        connection = attempt.handle
        if isinstance(connection, PgConnection) and connection.attempt is attempt:
            connection.cancel_attempt(on_released)
        else:
            self.clock.call_later(0, on_released)
