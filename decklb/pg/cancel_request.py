"""One CancelRequest to an engine (PostgreSQL protocol 3.0, section 'Canceling Requests in Progress').

A CancelRequest names a session, not a statement: until the engine has read it, it may end whatever runs in that
session. Therefore its sender is notified when and how it has ended. The engine reads the request, sends no reply and
closes the connection. Created by a pool of `pg.engines`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from decklb.core.ports import Clock, Timer
from decklb.pg import messages as pg
from decklb.pg.messages import BackendKey
from decklb.wire.connection_end import end_reason
from decklb.wire.dialing import Dial

CANCEL_TIMEOUT_MS = 500.0  # for the engine to read a cancel request, and to become ready again after it


class CancelEnd(Enum):
    """How a CancelRequest has ended."""

    NOT_SENT = "not-sent"  # no byte of it was sent
    READ = "read"  # the engine has read it and closed its connection: it has no effect later than this
    UNKNOWN = "unknown"  # the engine may still read it


class CancelRequest:
    """Sends one CancelRequest, and reports once how it has ended."""

    def __init__(self, engine: str, key: BackendKey, clock: Clock, on_end: Callable[[CancelEnd], None]) -> None:
        """Create a request that is not sent yet.

        Args:
            engine: Id of the engine, for the log.
            key: Identifies the session at the engine.
            clock: Measures the timeouts.
            on_end: Called once; by `withdraw` itself if that keeps the request from being sent.
        """
        self.key, self._engine, self._clock, self._on_end = key, engine, clock, on_end
        self._dial: Dial | None = None
        self._withdrawn = False

    def send(self, reactor: Any, address: tuple[str, int], connect_timeout_ms: float) -> None:
        """Start connecting to the engine; the request is sent once the connection is established."""
        connection = _CancelConnection(self, self._clock)
        self._dial = Dial(reactor, self._clock, address, connection, connect_timeout_ms, self._connect_failed)

    def withdraw(self) -> None:
        """The statement has ended: do not send the request any more. Without effect once it was sent."""
        self._withdrawn = True
        if self._dial is not None:
            self._dial.cancel()

    def _connect_failed(self, reason: Failure) -> None:
        if not self._withdrawn:
            logger.info(
                "cancel request did not reach {engine}: {reason}",
                event="cancel-request-undelivered",
                engine=self._engine,
                reason=end_reason(reason),
            )
        self.ended(CancelEnd.NOT_SENT)

    def ended(self, end: CancelEnd) -> None:
        """The request was read, or will not be sent, or it is not known whether it will be read."""
        self._dial = None
        self._on_end(end)


class _CancelConnection(Protocol):
    """The connection that carries one CancelRequest."""

    transport: Any  # the type checker can't read zope's interfaces

    def __init__(self, request: CancelRequest, clock: Clock) -> None:
        self._request, self._clock = request, clock
        self._timer: Timer | None = None

    def connectionMade(self) -> None:
        """Send the request, and wait until the engine closes the connection after reading it."""
        self.transport.write(pg.pack_cancel(*self._request.key))
        self._timer = self._clock.call_later(CANCEL_TIMEOUT_MS, self._time_out)

    def _time_out(self) -> None:
        self._timer = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Only an orderly close proves that the engine has read the request: after a reset it may still do so."""
        was_read = self._timer is not None and reason is not None and reason.type is ConnectionDone
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        end = CancelEnd.READ if was_read else CancelEnd.UNKNOWN
        logger.info(
            "cancel connection ended: {reason} pid={pid}",
            event="cancel-connection-ended",
            reason="cancel-sent" if was_read else "cancel-uncertain",
            pid=self._request.key.process_id,
        )
        self._request.ended(end)
