"""The connections of clients: how many there may be, which has to go, and whose session a CancelRequest names.

One registry belongs to `decklb.pg.listener.PgListener`; connections enter and leave it themselves. Owns the set of
connections, the keys of their sessions, and whether the program drains.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.pg.messages import BackendKey
from decklb.wire.connection_end import has_unread_bytes

MAX_PROCESS_ID = 0x7FFFFFFF  # positive also to clients that read a signed number
SECRET_KEY_BOUND = 1 << 32  # four octets in BackendKeyData


class Connection(Protocol):
    """What the registry asks of a connection."""

    transport: Any
    write_paused: bool

    def cancel_running(self) -> None:
        """End the statement that runs, as a CancelRequest asks."""

    def end_if_draining(self) -> None:
        """End, if nothing is under way."""

    def close(self, reason: str) -> None:
        """End, for this reason in the log."""


class ConnectionRegistry:
    """All connections of one listener."""

    def __init__(self, max_connections: int, draw: Callable[[int], int]) -> None:
        """`draw` gives a random number from 0 up to its argument; secret keys are made of it."""
        self.draining = False
        self._max_connections, self._draw = max_connections, draw
        self._connections: set[Connection] = set()
        self._in_startup: dict[Connection, None] = {}  # without a session yet, oldest first
        self._sessions: dict[BackendKey, Connection] = {}
        self._session_count = 0

    def add(self, connection: Connection) -> None:
        """A new connection. If there are too many, the oldest that has sent nothing makes room."""
        if len(self._connections) >= self._max_connections:
            silent = next((other for other in self._in_startup if not has_unread_bytes(other.transport)), None)
            if silent is not None:
                silent.close("evicted-silent")
                self._connections.discard(silent)
        self._connections.add(connection)
        self._in_startup[connection] = None

    def check_admission(self) -> None:
        """Raises a fatal PgError if no session may begin now."""
        if self.draining:
            raise PgError(sqlstate.CANNOT_CONNECT_NOW, "the workload manager is shutting down", fatal=True)
        if len(self._connections) > self._max_connections:
            raise PgError(sqlstate.TOO_MANY_CONNECTIONS, "too many clients already", fatal=True)

    def register_session(self, connection: Connection) -> BackendKey:
        """A session begins; returns the key by which a CancelRequest names it."""
        self.startup_ended(connection)
        self._session_count += 1
        key = BackendKey(self._session_count & MAX_PROCESS_ID, self._draw(SECRET_KEY_BOUND))
        self._sessions[key] = connection
        return key

    def startup_ended(self, connection: Connection) -> None:
        """It has a session now, or is closing."""
        self._in_startup.pop(connection, None)

    def remove(self, connection: Connection, key: BackendKey | None) -> None:
        """It has ended; `key` is that of its session, if it had one."""
        self._connections.discard(connection)
        self.startup_ended(connection)
        if key is not None:
            self._sessions.pop(key, None)

    def cancel(self, key: BackendKey) -> None:
        """Carry out a CancelRequest; one that names no session is ignored, as PostgreSQL does."""
        if connection := self._sessions.get(key):
            connection.cancel_running()

    def drain(self) -> None:
        """Begin no session any more, and end each as soon as nothing is under way on it."""
        self.draining = True
        for connection in list(self._connections):
            connection.end_if_draining()

    @property
    def any_write_paused(self) -> bool:
        """Whether some client has not read yet all that it was sent."""
        return any(connection.write_paused for connection in self._connections)
