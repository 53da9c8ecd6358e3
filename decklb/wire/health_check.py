"""Active health checks of engines, over one dedicated connection per engine that is kept between checks.

The protocols implement the check itself (`net.health_check`, `pg.health_check`). A check ends exactly once: by a reply,
by the end of its connection or by its time-out. Unused connections close after an idle time-out, so that none
remains to an engine whose health checks are now done by another member.

State: the connections by engine. Called by the members that do health checks (`cluster`, `locality`, `maintenance`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from decklb.core.ports import Clock, Timer

Address = tuple[str, int]  # host and port of an engine
CheckCallback = Callable[[bool], None]  # called once, with whether the engine replied

PEER_CLOSED = "peer-closed"  # reason code: the connection was not ended by us


class HealthCheckConnection(Protocol):
    """A connection to an engine for health checks only. The protocols implement `send_check` and `dataReceived`."""

    transport: Any  # the type checker does not understand zope interfaces

    def __init__(self, checker: HealthChecker, engine: str, address: Address) -> None:
        self.checker, self.engine, self.address = checker, engine, address
        self.ready = False  # checks may be sent
        self.closed = False
        self._callback: CheckCallback | None = None  # of the pending check
        self._timer: Timer | None = None  # time-out of the pending check, or idle time-out after it
        self._end_reason = PEER_CLOSED

    # Implemented by the protocols.

    def start_session(self) -> None:
        """Called when the connection is established. By default checks may be sent immediately."""
        self.session_ready()

    def send_check(self) -> None:
        """Send one check."""
        raise NotImplementedError

    # Called by the protocols.

    @property
    def check_pending(self) -> bool:
        """Whether a check has not ended yet."""
        return self._callback is not None

    def session_ready(self) -> None:
        """Checks may be sent from now on."""
        self.ready = True
        if self.check_pending:
            self.send_check()

    def check_succeeded(self) -> None:
        """The engine has replied."""
        self._finish_check(True)

    def fail(self, reason: str) -> None:
        """The engine sent something invalid or refused the session: end the connection and the check."""
        self._abort(reason)

    # Called by the health checker.

    def check(self, timeout_ms: float, callback: CheckCallback) -> None:
        """Check the engine, as soon as the session is ready."""
        self._cancel_timer()
        self._callback = callback
        self._timer = self.checker.clock.call_later(timeout_ms, lambda: self._abort("check-timeout"))
        if self.ready:
            self.send_check()

    def connect_failed(self, reason: Failure) -> None:
        """The connection was not established."""
        if self._end_reason == PEER_CLOSED:
            self._end_reason = f"connect-failed ({reason.type.__name__ if reason.type else 'unknown'})"
        self._ended()

    def close(self) -> None:
        """End the connection, because the process stops or the engine has moved."""
        if not self.closed:
            self._abort("stopping")

    # Called by Twisted.

    def connectionMade(self) -> None:
        """The connection is established."""
        self.transport.setTcpNoDelay(True)
        self.start_session()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The connection has ended, for whatever reason: log it."""
        self._ended()

    def _ended(self) -> None:
        self.closed = True  # already set if it was ended by `_abort`
        self.checker.discard(self)
        logger.info(
            "health check connection ended: {reason} engine={engine} address={address}",
            event="health-check-connection-ended",
            reason=self._end_reason,
            engine=self.engine,
            address="{}:{}".format(*self.address),
        )
        self._finish_check(False)

    def _finish_check(self, healthy: bool) -> None:
        self._cancel_timer()
        callback, self._callback = self._callback, None
        if healthy and not self.closed:
            idle_ms = self.checker.idle_timeout_ms
            self._timer = self.checker.clock.call_later(idle_ms, lambda: self._abort("idle-timeout"))
        if callback is not None:
            callback(healthy)

    def _abort(self, reason: str) -> None:
        self._timer = None
        self.closed, self._end_reason = True, reason
        self.checker.discard(self)  # the next check opens a new connection
        if self.transport is not None:
            self.transport.abortConnection()
        self._finish_check(False)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class HealthChecker:
    """Checks engines on request, over one protocol."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        make_connection: Callable[[HealthChecker, str, Address], HealthCheckConnection],
        idle_timeout_ms: float,
    ) -> None:
        """A checker without connections.

        Args:
            reactor: opens connections.
            clock: measures time-outs.
            make_connection: makes a connection of the protocol from checker, engine and address.
            idle_timeout_ms: time without a check after which a connection closes.
        """
        self.reactor, self.clock, self.idle_timeout_ms = reactor, clock, idle_timeout_ms
        self._make_connection = make_connection
        self._connections: dict[str, HealthCheckConnection] = {}  # by engine id

    def check(self, engine: str, address: Address, timeout_ms: float, callback: CheckCallback) -> None:
        """Check one engine; `callback` is called once, within the time-out."""
        connection = self._connections.get(engine)
        if connection is not None and connection.address != address:  # the engine has moved
            connection.close()
            connection = None
        if connection is not None:
            connection.check(timeout_ms, callback)
            return
        connection = self._connections[engine] = self._make_connection(self, engine, address)
        connection.check(timeout_ms, callback)
        self._connect(connection, timeout_ms)

    def _connect(self, connection: HealthCheckConnection, timeout_ms: float) -> None:
        factory: Any = Factory.forProtocol(lambda: connection)
        factory.noisy = False
        host, port = connection.address
        endpoint = TCP4ClientEndpoint(self.reactor, host, port, timeout_ms / 1000)
        endpoint.connect(factory).addErrback(connection.connect_failed)

    def discard(self, connection: HealthCheckConnection) -> None:
        """Stop using a connection."""
        if self._connections.get(connection.engine) is connection:
            del self._connections[connection.engine]

    def close(self) -> None:
        """End all connections."""
        for connection in list(self._connections.values()):
            connection.close()
