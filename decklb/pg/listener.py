"""The listener for PostgreSQL clients: makes a connection object for each client.

`decklb.daemon.assembly` makes it; `decklb.daemon.service` listens with it, and closes it when the program drains.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import ServerFactory

from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import RequestHandler
from decklb.pg.connection import ClientConnection, ConnectionContext
from decklb.pg.connection_registry import ConnectionRegistry
from decklb.pg.session import SessionContext
from decklb.pg.settings import PgSettings

REQUEST_ID_BOUND = 1 << 64


class PgListener(ServerFactory):
    """Makes a ClientConnection for each client. Has the methods of every listener that the daemon calls."""

    noisy = False

    def __init__(
        self, dispatcher: Dispatcher, settings: PgSettings, draw: Callable[[int], int], max_clients: int
    ) -> None:
        """`draw` gives a random number from 0 up to its argument."""
        self._draw = draw
        self._registry = ConnectionRegistry(max_clients, draw)
        self._session_context = SessionContext(dispatcher.settings, settings, self.new_request_id)
        self.context = ConnectionContext(self._session_context, self._registry, dispatcher.clock, dispatcher)

    def enable_handoff(self, request_handler: RequestHandler) -> None:
        """Hand statements to a request handler that keeps answers for clients that come back."""
        self.context.request_handler = request_handler
        self._session_context.handoff_enabled = True

    def new_request_id(self) -> str:
        """A random id of a request, for the log."""
        return f"{self._draw(REQUEST_ID_BOUND):016x}"

    def buildProtocol(self, addr: object) -> ClientConnection:
        """One object for a connection."""
        return ClientConnection(self.context)

    def attach_port(self, port: object) -> None:
        """The socket is open. Clients that are too many are accepted and told so, so the port is not needed."""

    def announce_drain(self) -> None:
        """The program will drain soon. No message of this protocol says that ahead of the end."""

    @property
    def has_pending_clients(self) -> bool:
        """Whether some client has not read yet all that it was sent."""
        return self._registry.any_write_paused

    def drain(self) -> None:
        """Take nothing new; sessions end with what they have under way."""
        self._registry.drain()
