"""The listener of the client protocol: accepts connections and drains them at shutdown.

`client_connection` handles a single connection, `connection_limits` limits them all, and `frames` is the codec. State:
the open requests by the clients' request ids, and whether the process is draining. Called by the daemon's service.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory

from decklb.core.attempts import Request
from decklb.core.dispatcher import Dispatcher
from decklb.core.memory_account import MemoryAccount
from decklb.net import frames
from decklb.net.client_connection import ClientConnection
from decklb.net.connection_limits import ConnectionLimits
from decklb.wire.input_turns import InputTurns
from decklb.wire.memory_log import MemoryLog
from decklb.wire.partial_messages import PartialMessages

# Retry delay in rejections by the listener itself, limited by the settings.
OVERLOAD_RETRY_AFTER_MS = 500.0


class FrameListener(ServerFactory):
    """Makes a ClientConnection for each accepted connection."""

    noisy = False

    def __init__(
        self,
        dispatcher: Dispatcher,
        ready: Callable[[], bool],
        max_clients: int,
        spare_clients: int,
        account: MemoryAccount,
    ) -> None:
        """Create a listener without a port.

        Args:
            dispatcher: receives the requests.
            ready: returns whether the process is ready, for readiness queries of clients.
            max_clients: number of connections that may stay open.
            spare_clients: number of further connections that are accepted while others are evicted.
            account: the memory that connections hold.
        """
        self.dispatcher, self.ready, self.account = dispatcher, ready, account
        self.limits = ConnectionLimits(dispatcher.clock, max_clients, spare_clients)
        self.partial_messages = PartialMessages(account)
        self.turns = InputTurns(dispatcher.clock, account.may_receive_large)
        self.memory_log = MemoryLog(dispatcher.clock)
        settings = dispatcher.settings
        retry_after_ms = min(OVERLOAD_RETRY_AFTER_MS, settings.max_retry_after_ms) if settings.retry_after else 0.0
        # Fields of the answer to a request that a connection rejects itself.
        self.overload_fields = frames.rejection_fields(retry_after_ms)
        self.requests: dict[str, Request] = {}  # open requests by the clients' request ids
        self.draining = False

    def attach_port(self, port: Any) -> None:
        """Set the listening port."""
        self.limits.attach_port(port)

    def buildProtocol(self, addr: object) -> ClientConnection:
        """Return the protocol instance for an accepted connection."""
        return ClientConnection(self)

    def announce_drain(self) -> None:
        """Tell every client to send no new requests, but still accept those that arrive."""
        for client in list(self.limits.clients):
            client.go_away()

    def drain(self) -> None:
        """Accept nothing new; connections close once their open requests are answered."""
        self.draining = True
        self.limits.detach_port()
        for client in list(self.limits.clients):
            client.go_away()

    @property
    def has_pending_clients(self) -> bool:
        """Whether any client still waits for an answer or is sending a message."""
        return any(client.has_work_pending for client in self.limits.clients)
