"""Lifecycle of a connection to an engine, common to all protocols: dialing, idle time-out and logging of its end.

The protocols add how attempts are sent and cancelled and how replies are read (`net.engine_connection`,
`pg.engine_connection`). State: why the connection is ending, its timer, and the recent answers that become uncertain if
the connection is lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from decklb.core.ports import Timer
from decklb.interface import Outcome
from decklb.wire.connection_end import end_reason
from decklb.wire.dialing import Dial
from decklb.wire.local_errors import is_local_error
from decklb.wire.recent_answers import RecentAnswers

if TYPE_CHECKING:
    from decklb.wire.engine_pool import EnginePool

IDLE_TIMEOUT = "idle-timeout"  # reason code: closed by us while it had no open attempt
ENDPOINT_REMOVED = "endpoint-removed"  # reason code: likewise, because its engine was removed or has moved
ORDERLY_ENDS = (IDLE_TIMEOUT, ENDPOINT_REMOVED)  # ends that make no earlier answer uncertain


class EngineConnection(Protocol):
    """A connection to an engine, owned by a pool."""

    transport: Any  # the type checker does not understand zope interfaces

    def __init__(self, pool: EnginePool[Any]) -> None:
        self.pool = pool
        self.closed = False  # accepts no more attempts
        self.end_reason = ""  # why it ends; "" while no end is known
        self.recent_answers = RecentAnswers(pool.client.clock)
        self._timer: Timer | None = None  # idle time-out, or another time-out of the protocol
        self._dial: Dial | None = None  # kept so that it can be cancelled while connecting

    # Implemented by the protocols.

    def _before_close(self) -> None:
        """Called before we close the connection while it has no open attempt."""
        raise NotImplementedError

    def _outcome_of_loss(self) -> Outcome:
        """Return the outcome of attempts that were in flight when the connection was lost."""
        raise NotImplementedError

    def _ended(self, outcome: Outcome) -> None:
        """The connection has ended: leave the pool, log the end, and end the open attempts with this outcome."""
        raise NotImplementedError

    # Connecting.

    def dial(self, timeout_ms: float) -> None:
        """Start connecting to the pool's address."""
        client = self.pool.client
        self._dial = Dial(client.reactor, client.clock, self.pool.address, self, timeout_ms, self.connect_failed)

    def _cancel_dial(self) -> None:
        if self._dial is not None:
            self._dial.cancel()

    def connect_failed(self, reason: Failure) -> None:
        """The connection was not established, so nothing was sent. A local error is no evidence about the engine."""
        self.end_reason = f"connect-failed ({end_reason(reason)})"
        self._ended(Outcome.NEVER_SENT if is_local_error(reason.value) else Outcome.UNREACHABLE)

    # Idle close.

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_idle(self, reason: str) -> None:
        """Close the connection in an orderly way while it has no open attempt."""
        self._timer = None
        self.closed, self.end_reason = True, reason
        self._before_close()
        self.transport.loseConnection()

    # End of the connection.

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The connection is lost; attempts in flight may have been executed."""
        self.end_reason = self.end_reason or end_reason(reason)
        self._ended(self._outcome_of_loss())

    def _leave_pool(self, delay_ms: float = 0.0) -> int:
        """Leave the pool, so that the connection gets no further attempts.

        Args:
            delay_ms: time after which the engine is certain to have noticed the end of the connection.

        Returns:
            The number of earlier answers that become uncertain.
        """
        self.closed = True
        self.pool.connections.discard(self)
        self._cancel_timer()
        if self.end_reason in ORDERLY_ENDS:
            return 0
        return self.recent_answers.connection_lost(delay_ms)

    def _log_end(self, aborted_attempts: int, uncertain_answers: int) -> None:
        logger.info(
            "engine connection ended: {reason} engine={engine} address={address} "
            "aborted_attempts={aborted_attempts} uncertain_answers={uncertain_answers}",
            event="engine-connection-ended",
            reason=self.end_reason,
            engine=self.pool.engine,
            address="{}:{}".format(*self.pool.address),
            aborted_attempts=aborted_attempts,
            uncertain_answers=uncertain_answers,
        )
