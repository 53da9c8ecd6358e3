"""The listener for PostgreSQL clients: creates a connection object for each client.

`decklb.daemon.assembly` creates it; `decklb.daemon.service` listens with it and drains it at shutdown.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.internet.protocol import ServerFactory

from decklb.core.dispatcher import Dispatcher
from decklb.core.memory_account import UNLIMITED_BYTES, MemoryAccount
from decklb.core.ports import RequestHandler
from decklb.pg.connection import ClientConnection, ConnectionContext
from decklb.pg.connection_registry import ConnectionRegistry
from decklb.pg.session import SessionContext
from decklb.pg.settings import PgSettings
from decklb.wire.input_turns import InputTurns
from decklb.wire.memory_log import MemoryLog
from decklb.wire.partial_messages import PartialMessages

REQUEST_ID_BOUND = 1 << 64


class PgListener(ServerFactory):
    """Creates a ClientConnection for each client and implements the listener methods that the daemon calls."""

    noisy = False

    def __init__(
        self,
        dispatcher: Dispatcher,
        settings: PgSettings,
        random_below: Callable[[int], int],
        max_clients: int,
        account: MemoryAccount | None = None,
    ) -> None:
        """`random_below(n)` returns a random number from 0 to n - 1; `account` counts what connections hold."""
        account = account or MemoryAccount(UNLIMITED_BYTES)
        self._random_below = random_below
        self._registry = ConnectionRegistry(max_clients, random_below)
        self._session_context = SessionContext(dispatcher.settings, settings, self.new_request_id, account=account)
        self.context = ConnectionContext(
            self._session_context,
            self._registry,
            dispatcher.clock,
            dispatcher,
            account,
            PartialMessages(account),
            MemoryLog(dispatcher.clock),
            InputTurns(dispatcher.clock, account.may_receive_large),
        )

    @property
    def turns(self) -> InputTurns:
        """The turns in which the input of all connections is handled."""
        return self.context.turns

    def enable_handoff(self, request_handler: RequestHandler) -> None:
        """Submit statements to a request handler that retains answers for clients that ask again."""
        self.context.request_handler = request_handler
        self._session_context.handoff_enabled = True

    def new_request_id(self) -> str:
        """Return a random request id for the log."""
        return f"{self._random_below(REQUEST_ID_BOUND):016x}"

    def buildProtocol(self, addr: object) -> ClientConnection:
        """Create the protocol object of a connection."""
        return ClientConnection(self.context)

    def attach_port(self, port: object) -> None:
        """The port is open. It is not needed: clients above the limit are accepted and receive an error."""

    def announce_drain(self) -> None:
        """The program will drain soon. The protocol has no message to announce this to clients."""

    @property
    def has_pending_clients(self) -> bool:
        """Whether data for any client is still unsent because the client reads too slowly."""
        return self._registry.any_write_paused

    def drain(self) -> None:
        """Reject new sessions; existing ones end when their statements have completed."""
        self._registry.drain()
