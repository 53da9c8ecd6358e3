"""The server of the control socket: operators' queries and commands over a local Unix socket.

The socket is readable by its owner alone. Queries are answered at once; commands change something and are answered when
that has settled. The daemon opens the socket where the settings name one; a connection keeps no state between requests.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from typing import Any

import ujson
from loguru import logger
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

from decklb.management import control_protocol as protocol

MAX_REQUEST_BYTES = 4096  # a request names one thing and few arguments
MAX_CONNECTIONS = 8  # operators are few; descriptors are for clients and engines
SOCKET_MODE = 0o600  # whoever may open the socket may take machines out

Query = Callable[[], Any]
# Given the whole request. It raises or fails with ValueError where the command can't be carried out.
Command = Callable[[dict[str, Any]], Deferred[Any]]

PEER_CLOSED = "peer-closed"
TOO_MANY = "too-many"
TOO_LONG = "too-long"


class ControlConnection(LineOnlyReceiver):
    """One operator's connection."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_REQUEST_BYTES
    transport: Any

    def __init__(self, server: ControlServer) -> None:
        self.server = server
        self.request_count = 0
        self.end_reason = PEER_CLOSED

    def connectionMade(self) -> None:
        """Close connections beyond the bound."""
        self.server.connections += 1
        if self.server.connections > MAX_CONNECTIONS:
            self.end_reason = TOO_MANY
            self.transport.loseConnection()

    def lineReceived(self, line: bytes) -> None:
        """Carry out one request."""
        self.request_count += 1
        response = self.server.respond(line)
        if isinstance(response, Deferred):
            response.addCallback(self._send)
        else:
            self._send(response)

    def _send(self, response: dict[str, Any]) -> None:
        if self.end_reason == PEER_CLOSED:  # it may have gone while a command was carried out
            self.transport.write(protocol.encode_line(response))

    def lineLengthExceeded(self, line: bytes) -> Any:
        """Close: no request is so long."""
        self.end_reason = TOO_LONG
        return self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Log the end of the connection."""
        self.server.connections -= 1
        logger.info(
            "control connection ended: {reason} requests={requests}",
            event="control-connection-ended",
            reason=self.end_reason,
            requests=self.request_count,
        )


class ControlServer(ServerFactory):
    """The queries and commands of one process, by name, and the number of open connections."""

    noisy = False

    def __init__(self, queries: dict[str, Query], commands: dict[str, Command] | None = None) -> None:
        self.queries = queries
        self.commands = commands or {}
        self.connections = 0

    def buildProtocol(self, addr: Any) -> ControlConnection:
        """Make the protocol of a new connection."""
        return ControlConnection(self)

    def respond(self, line: bytes) -> dict[str, Any] | Deferred[dict[str, Any]]:
        """The response to one request line, later for commands. Errors become responses and are never raised."""
        try:
            request = ujson.loads(line)
        except ValueError:
            return protocol.failure("not JSON")
        if not isinstance(request, dict) or request.get(protocol.VERSION_KEY) != protocol.VERSION:
            return protocol.failure(f"this program speaks version {protocol.VERSION}")
        name = str(request.get(protocol.NAME_KEY))
        if name in self.commands:
            return maybeDeferred(self.commands[name], request).addCallbacks(protocol.success, _command_failed)
        query = self.queries.get(name)
        if query is None:
            return protocol.failure(f"ask one of {', '.join(sorted([*self.queries, *self.commands]))}")
        return protocol.success(query())


def _command_failed(reason: Failure) -> dict[str, Any]:
    """A command that can't be carried out says so by ValueError; anything else is a bug, and is logged."""
    if not isinstance(reason.value, ValueError):
        logger.error("command failed: {error}", event="control-command-failed", error=reason.getTraceback())
    return protocol.failure(reason.getErrorMessage())


def listen(reactor: Any, path: str, queries: dict[str, Query], commands: dict[str, Command] | None = None) -> Any:
    """Open the socket and return its port. A socket that a dead process left behind is replaced.

    Raises:
        OSError: Another process answers at that path, or the socket can't be made.
    """
    if os.path.exists(path):
        with socket.socket(socket.AF_UNIX) as probe:
            if probe.connect_ex(path) == 0:
                raise OSError(f"{path}: another process answers there")
        os.unlink(path)
    return reactor.listenUNIX(path, ControlServer(queries, commands), mode=SOCKET_MODE)
