"""The engine client over RESP: a connection pool for each engine, many attempts on each connection.

See `decklb.core.ports.EngineClient` for who calls it and `decklb.wire.engine_pool` for the pools. A connection's
life is in `net.engine_connection`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from decklb.core.dispatcher import Attempt
from decklb.core.ports import Clock
from decklb.net.engine_connection import CANCEL_SETTLE_MS, RespConnection
from decklb.net.resp_call import RespCall
from decklb.wire.engine_pool import EnginePool, PooledEngines

# Where the settings say nothing.
DEFAULT_STREAMS_PER_CONNECTION = 100
DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_ENGINE_IDLE_TIMEOUT_MS = 15_000.0

IDLE_FRACTION = 0.7  # of the time after which the engine closes: our close comes first, so no send crosses it
SWEEP_INTERVAL_MS = 100.0  # between looks for replies that stay away; see `engine_connection.MAX_STALLED_SWEEPS`
FINAL_CANCEL_SETTLE_MS = 5.0  # as CANCEL_SETTLE_MS, at the request's own deadline or end, when no retry can follow


class RespPool(EnginePool[RespConnection]):
    """The connections to one engine."""

    client: RespEngines

    def make_connection(self) -> RespConnection:
        """A connection that the client sweeps until its end."""
        connection = RespConnection(self)
        self.client.watch(connection)
        return connection

    def start(self, attempt: Attempt) -> None:
        """Send on a connection that can take it, else on a new one."""
        request_id = attempt.request.incoming.client_request_id.encode()
        connection = next((one for one in self.connections if one.accepts(request_id)), None) or self.connect()
        attempt.sent = False
        attempt.handle = call = RespCall(attempt, connection)
        connection.add(call)

    def retire(self) -> None:
        """The engine has gone, or has moved."""
        for connection in list(self.connections):
            connection.retire()


class RespEngines(PooledEngines[RespPool]):
    """The core's engine client on the platform."""

    def __init__(self, reactor: Any, clock: Clock, limits: dict[str, Any]) -> None:
        """`limits`: the section of that name in the platform's settings."""
        super().__init__(reactor, clock, float(limits.get("connect_timeout", DEFAULT_CONNECT_TIMEOUT_MS)))
        self.streams_per_connection = int(limits.get("streams_per_conn", DEFAULT_STREAMS_PER_CONNECTION))
        self.idle_timeout_ms = IDLE_FRACTION * float(limits.get("conn_idle", DEFAULT_ENGINE_IDLE_TIMEOUT_MS))
        self.connections: set[RespConnection] = set()  # of all pools, also of those that have gone
        self._sweeping = False

    def watch(self, connection: RespConnection) -> None:
        """Sweep a connection until its end."""
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
        """A pool for an engine that is new, or has moved."""
        return RespPool(self, engine, address)

    def abandon(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel an attempt; `freed` is called when its engine surely knows."""
        if isinstance(attempt.handle, RespCall):
            attempt.handle.connection.cancel(attempt.handle)
        if not attempt.sent:
            settle_ms = 0.0
        elif attempt.request.answered or self.clock.now() >= attempt.request.deadline_ms:
            settle_ms = FINAL_CANCEL_SETTLE_MS
        else:
            settle_ms = CANCEL_SETTLE_MS
        self.clock.call_later(settle_ms, freed)
