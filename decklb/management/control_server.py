"""Server of the control socket: answers operators' queries and commands on a local Unix socket.

Only the owner of the socket may open it. Queries are answered at once; commands change state and are answered once the
change is complete. The daemon opens the socket if the settings name one. Connections keep no state between requests.
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

MAX_REQUEST_BYTES = 4096  # a request has a name and few arguments
MAX_CONNECTIONS = 8  # operators need only a few; the other file descriptors are for clients and engines
SOCKET_MODE = 0o600  # any user who can open the socket can take machines out of service

Query = Callable[[], Any]
# Gets the whole request. A ValueError, raised or as a failure of the Deferred, rejects the command.
Command = Callable[[dict[str, Any]], Deferred[Any]]

PEER_CLOSED = "peer-closed"
TOO_MANY = "too-many"
TOO_LONG = "too-long"


class ControlConnection(LineOnlyReceiver):
    """Connection of one operator."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_REQUEST_BYTES
    transport: Any

    def __init__(self, server: ControlServer) -> None:
        self.server = server
        self.request_count = 0
        self.end_reason = PEER_CLOSED

    def connectionMade(self) -> None:
        """Close the connection if there are too many."""
        self.server.connections += 1
        if self.server.connections > MAX_CONNECTIONS:
            self.end_reason = TOO_MANY
            self.transport.loseConnection()

    def lineReceived(self, line: bytes) -> None:
        """Execute one request and send the response."""
        self.request_count += 1
        response = self.server.respond(line)
        if isinstance(response, Deferred):
            response.addCallback(self._send)
        else:
            self._send(response)

    def _send(self, response: dict[str, Any]) -> None:
        if self.end_reason == PEER_CLOSED:  # the default; any other reason: this side has closed the connection
            self.transport.write(protocol.encode_line(response))

    def lineLengthExceeded(self, line: bytes) -> Any:
        """Close the connection, as no valid request is that long."""
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
    """Executes the queries and commands of one process; counts the open connections."""

    noisy = False

    def __init__(self, queries: dict[str, Query], commands: dict[str, Command] | None = None) -> None:
        self.queries = queries
        self.commands = commands or {}
        self.connections = 0

    def buildProtocol(self, addr: Any) -> ControlConnection:
        """Create the protocol of a new connection."""
        return ControlConnection(self)

    def respond(self, line: bytes) -> dict[str, Any] | Deferred[dict[str, Any]]:
        """Return the response to a request line, deferred for commands. Errors become responses; none is raised."""
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
    """Return the response to a failed command. ValueError rejects it; any other exception is a bug and is logged."""
    if not isinstance(reason.value, ValueError):
        logger.error("command failed: {error}", event="control-command-failed", error=reason.getTraceback())
    return protocol.failure(reason.getErrorMessage())


def listen(reactor: Any, path: str, queries: dict[str, Query], commands: dict[str, Command] | None = None) -> Any:
    """Open the socket and return its port. A socket left behind by a process that has ended is replaced.

    Raises:
        OSError: Another process listens at that path, or the socket can't be created.
    """
    if os.path.exists(path):
        with socket.socket(socket.AF_UNIX) as probe:
            if probe.connect_ex(path) == 0:
                raise OSError(f"{path}: another process answers there")
        os.unlink(path)
    return reactor.listenUNIX(path, ControlServer(queries, commands), mode=SOCKET_MODE)
