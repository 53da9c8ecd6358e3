"""The connection that carries one CancelRequest to an engine (PostgreSQL protocol 3.0, 'Canceling Requests').

Made by a pool of `pg.engines`. The engine reads the request and closes without a reply.
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

CANCEL_TIMEOUT_MS = 500.0  # for the engine to read a cancel request, and to be ready again after one


class CancelRequest(Protocol):
    """A connection that carries one CancelRequest."""

    transport: Any  # zope's interfaces say nothing to the type checker

    def __init__(self, key: BackendKey, clock: Clock, done: Callable[[], None] | None) -> None:
        """`done` is called once the engine has read the request, or has not within CANCEL_TIMEOUT_MS."""
        self._key, self._clock, self._done = key, clock, done
        self._timer: Timer | None = None

    def connectionMade(self) -> None:
        """Send the request and close; where somebody waits, let the engine close: it does when it has read it."""
        self.transport.write(pg.pack_cancel(*self._key))
        if self._done is None:
            self.transport.loseConnection()
        else:
            self._timer = self._clock.call_later(CANCEL_TIMEOUT_MS, self._time_out)

    def _time_out(self) -> None:
        self._timer = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The request has been read, or won't be."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._done is not None:
            self._done()
        logger.info(
            "cancel connection ended: {reason} pid={pid}",
            event="cancel-connection-ended",
            reason="cancel-sent",
            pid=self._key.process_id,
        )
