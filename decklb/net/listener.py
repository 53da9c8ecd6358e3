"""The listener of the client protocol: takes connections, and shuts down gracefully. It decides nothing.

A connection's life is in `client_connection`, the bounds on all of them in `connection_limits`, the bytes in `frames`.
State: the open requests by their clients' ids, and whether the process is draining. Called by the daemon's service.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory

from decklb.core.dispatcher import Dispatcher, Request
from decklb.net import frames
from decklb.net.client_connection import ClientConnection
from decklb.net.connection_limits import ConnectionLimits

# ms after which a client that the listener itself rejects had better retry, where the settings allow as much.
OVERLOAD_RETRY_AFTER_MS = 500.0


class FrameListener(ServerFactory):
    """Makes a ClientConnection for each connection that comes in."""

    noisy = False

    def __init__(
        self,
        dispatcher: Dispatcher,
        ready: Callable[[], bool],
        max_clients: int,
        spare_clients: int,
        max_buffered_bytes: int,
    ) -> None:
        """A listener without a port.

        Args:
            dispatcher: takes the requests.
            ready: whether the process is ready, for clients that ask.
            max_clients: connections that may stay open.
            spare_clients: further connections while room is made.
            max_buffered_bytes: of what all clients leave unread or have sent in part.
        """
        self.dispatcher, self.ready = dispatcher, ready
        self.limits = ConnectionLimits(dispatcher.clock, max_clients, spare_clients, max_buffered_bytes)
        settings = dispatcher.settings
        retry_after_ms = min(OVERLOAD_RETRY_AFTER_MS, settings.max_retry_after_ms) if settings.retry_after else 0.0
        # Fields of the answer to a request that the listener itself rejects.
        self.overload_fields = frames.rejection_fields(retry_after_ms)
        self.requests: dict[str, Request] = {}  # open ones by their clients' ids
        self.draining = False

    def attach_port(self, port: Any) -> None:
        """Where connections come in."""
        self.limits.attach_port(port)

    def buildProtocol(self, addr: object) -> ClientConnection:
        """One object for a connection."""
        return ClientConnection(self)

    def announce_drain(self) -> None:
        """Tell every client to send nothing new, and still take what comes."""
        for client in list(self.limits.clients):
            client.go_away()

    def drain(self) -> None:
        """Take nothing new; connections end with their last answer."""
        self.draining = True
        self.limits.detach_port()
        for client in list(self.limits.clients):
            client.go_away()

    @property
    def has_pending_clients(self) -> bool:
        """Whether some client still waits for something."""
        return any(client.has_work_pending for client in self.limits.clients)
