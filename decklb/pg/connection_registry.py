"""Registry of client connections: limits their number, evicts silent ones and finds the session of a CancelRequest.

`decklb.pg.listener.PgListener` owns one registry; connections add and remove themselves. The registry holds the set of
connections, the backend keys of their sessions, and whether the program is draining.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.pg.messages import BackendKey
from decklb.wire.connection_end import has_unread_bytes

MAX_PROCESS_ID = 0x7FFFFFFF  # also positive for clients that read it as a signed number
SECRET_KEY_BOUND = 1 << 32  # four octets in BackendKeyData


class Connection(Protocol):
    """The methods of a connection that the registry calls."""

    transport: Any
    write_paused: bool

    def cancel_running(self) -> None:
        """Cancel the running statement, as a CancelRequest demands."""

    def end_if_draining(self) -> None:
        """If the program is draining and no statement runs or waits, end the session."""

    def close(self, reason: str) -> None:
        """Close the connection; `reason` is logged."""


class ConnectionRegistry:
    """All connections of one listener."""

    def __init__(self, max_connections: int, random_below: Callable[[int], int]) -> None:
        """`random_below(n)` returns a random number from 0 to n - 1; secret keys are drawn from it."""
        self.draining = False
        self._max_connections, self._random_below = max_connections, random_below
        self._connections: set[Connection] = set()
        self._in_startup: dict[Connection, None] = {}  # connections without a session yet, oldest first
        self._sessions: dict[BackendKey, Connection] = {}
        self._session_count = 0

    def add(self, connection: Connection) -> None:
        """Add a new connection. At the limit, the oldest connection that has sent nothing is evicted."""
        if len(self._connections) >= self._max_connections:
            silent = next((other for other in self._in_startup if not has_unread_bytes(other.transport)), None)
            if silent is not None:
                silent.close("evicted-silent")
                self._connections.discard(silent)
        self._connections.add(connection)
        self._in_startup[connection] = None

    def check_admission(self) -> None:
        """Raise a fatal PgError if no session may start now."""
        if self.draining:
            raise PgError(sqlstate.CANNOT_CONNECT_NOW, "the workload manager is shutting down", fatal=True)
        if len(self._connections) > self._max_connections:
            raise PgError(sqlstate.TOO_MANY_CONNECTIONS, "too many clients already", fatal=True)

    def register_session(self, connection: Connection) -> BackendKey:
        """Register a new session and return the key that identifies it in a CancelRequest."""
        self.startup_ended(connection)
        self._session_count += 1
        key = BackendKey(self._session_count & MAX_PROCESS_ID, self._random_below(SECRET_KEY_BOUND))
        self._sessions[key] = connection
        return key

    def startup_ended(self, connection: Connection) -> None:
        """The connection has started a session or is closing, so it can no longer be evicted."""
        self._in_startup.pop(connection, None)

    def remove(self, connection: Connection, key: BackendKey | None) -> None:
        """Remove a connection that has ended; `key` is the key of its session, None if it had none."""
        self._connections.discard(connection)
        self.startup_ended(connection)
        if key is not None:
            self._sessions.pop(key, None)

    def cancel(self, key: BackendKey) -> None:
        """Carry out a CancelRequest; an unknown key is ignored, as PostgreSQL does."""
        if connection := self._sessions.get(key):
            connection.cancel_running()

    def drain(self) -> None:
        """Reject new sessions and end each existing session as soon as no statement runs or waits on it."""
        self.draining = True
        for connection in list(self._connections):
            connection.end_if_draining()

    @property
    def any_write_paused(self) -> bool:
        """Whether data for any client is still unsent because the client reads too slowly."""
        return any(connection.write_paused for connection in self._connections)
