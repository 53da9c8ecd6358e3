"""The engine client over RESP: one connection pool per engine, many attempts at a time on each connection.

Implements `decklb.core.engine_client.EngineClient` with the pools of `decklb.wire.engine_pool` and the connections of
`net.engine_connection`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from decklb.core.attempts import Attempt
from decklb.core.memory_account import UNLIMITED_BYTES, MemoryAccount
from decklb.core.ports import Clock
from decklb.net.engine_connection import CANCEL_SETTLE_MS, RespConnection
from decklb.net.resp_call import RespCall
from decklb.wire.engine_pool import EnginePool, PooledEngines

# Used where the settings do not specify a value.
DEFAULT_STREAMS_PER_CONNECTION = 100
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_ENGINE_IDLE_TIMEOUT_MS = 15_000.0

IDLE_FRACTION = 0.7  # of the engine's idle time-out: we close first, so that no request crosses its close
SWEEP_INTERVAL_MS = 100.0  # between two checks for stalled replies, see `engine_connection.MAX_STALLED_SWEEPS`
FINAL_CANCEL_SETTLE_MS = 5.0  # instead of CANCEL_SETTLE_MS when the request is over and no retry can follow


class RespPool(EnginePool[RespConnection]):
    """The connections to one engine."""

    client: RespEngines

    def make_connection(self) -> RespConnection:
        """Return a new connection, which the client sweeps until its end."""
        connection = RespConnection(self)
        self.client.watch(connection)
        return connection

    def start(self, attempt: Attempt) -> None:
        """Send on a connection that accepts the attempt, or on a new one."""
        request_id = attempt.request.incoming.client_request_id.encode()
        connection = next((c for c in self.connections if c.accepts(request_id)), None) or self.connect()
        attempt.sent = False
        attempt.handle = call = RespCall(attempt, connection)
        connection.add(call)

    def retire(self) -> None:
        """The engine was removed or has moved: retire all its connections."""
        for connection in list(self.connections):
            connection.retire()


class RespEngines(PooledEngines[RespPool]):
    """The engine client for RESP engines."""

    def __init__(
        self, reactor: Any, clock: Clock, limits: dict[str, Any], account: MemoryAccount | None = None
    ) -> None:
        """`limits` is the section of that name in the settings; `account` counts what the connections hold."""
        super().__init__(reactor, clock, float(limits.get("connect_timeout", DEFAULT_CONNECT_TIMEOUT_MS)))
        self.account = account or MemoryAccount(UNLIMITED_BYTES)
        self.streams_per_connection = int(limits.get("streams_per_conn", DEFAULT_STREAMS_PER_CONNECTION))
        self.idle_timeout_ms = IDLE_FRACTION * float(limits.get("conn_idle", DEFAULT_ENGINE_IDLE_TIMEOUT_MS))
        self.connections: set[RespConnection] = set()  # of all pools, including those of removed engines
        self._sweeping = False

    def watch(self, connection: RespConnection) -> None:
        """Call `sweep` of a connection periodically until its end."""
        self.connections.add(connection)
        if not self._sweeping:
            self._sweeping = True
            self.clock.call_later(SWEEP_INTERVAL_MS, self._sweep)

    def _sweep(self) -> None:
        for connection in list(self.connections):
            connection.sweep()
        self._sweeping = bool(self.connections)
        if self._sweeping:
            self.clock.call_later(SWEEP_INTERVAL_MS, self._sweep)

    def make_pool(self, engine: str, address: tuple[str, int]) -> RespPool:
        """Return a pool for an engine that is new or has moved."""
        return RespPool(self, engine, address)

    def abandon(self, attempt: Attempt, on_released: Callable[[], None]) -> None:
        """Cancel an attempt; `on_released` is called when its engine must have received the cancellation."""
        if isinstance(attempt.handle, RespCall):
            attempt.handle.connection.cancel(attempt.handle)
        if not attempt.sent:
            settle_ms = 0.0
        elif attempt.request.answered or self.clock.now() >= attempt.request.deadline_ms:
            settle_ms = FINAL_CANCEL_SETTLE_MS
        else:
            settle_ms = CANCEL_SETTLE_MS
        self.clock.call_later(settle_ms, on_released)
