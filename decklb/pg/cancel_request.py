"""The connection that sends one CancelRequest to an engine (PostgreSQL protocol 3.0, 'Canceling Requests').

Created by a pool of `pg.engines`. The engine reads the request and closes the connection without a reply.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from decklb.core.ports import Clock, Timer
from decklb.pg import messages as pg
from decklb.pg.messages import BackendKey

CANCEL_TIMEOUT_MS = 500.0  # for the engine to read a cancel request, and to become ready again after it


class CancelRequestConnection(Protocol):
    """A connection that sends one CancelRequest."""

    transport: Any  # the type checker can't read zope's interfaces

    def __init__(self, key: BackendKey, clock: Clock, on_done: Callable[[], None] | None) -> None:
        """`on_done` is called once, when the connection has ended, at the latest after CANCEL_TIMEOUT_MS.

        If it is None, the connection is closed without waiting for the engine to read the request.
        """
        self._key, self._clock, self._on_done = key, clock, on_done
        self._timer: Timer | None = None

    def connectionMade(self) -> None:
        """Send the request and close; if `on_done` is set, wait for the engine to close after reading the request."""
        self.transport.write(pg.pack_cancel(*self._key))
        if self._on_done is None:
            self.transport.loseConnection()
        else:
            self._timer = self._clock.call_later(CANCEL_TIMEOUT_MS, self._time_out)

    def _time_out(self) -> None:
        self._timer = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Call `on_done`: the engine has read the request, or will not read it any more."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._on_done is not None:
            self._on_done()
        logger.info(
            "cancel connection ended: {reason} pid={pid}",
            event="cancel-connection-ended",
            reason="cancel-sent",
            pid=self._key.process_id,
        )
