"""The life of one connection to an engine, the same on every wire: dialing, idle time-out, and its one logged end.

A wire adds how to send and cancel attempts and how to read replies (`net.engine_connection`, `pg.engine_connection`).
State: why the connection is ending, its idle timer, and the answers that its end would put in doubt.
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

IDLE_TIMEOUT = "idle-timeout"  # reason code: we closed a connection on which nothing was open
ENDPOINT_REMOVED = "endpoint-removed"  # reason code: the same, since its engine has gone or has moved
ORDERLY_ENDS = (IDLE_TIMEOUT, ENDPOINT_REMOVED)  # these put no earlier answer in doubt


class EngineConnection(Protocol):
    """One connection to one engine, owned by a pool."""

    transport: Any  # zope's interfaces say nothing to the type checker

    def __init__(self, pool: EnginePool[Any]) -> None:
        self.pool = pool
        self.closed = False  # takes no attempt any more
        self.end_reason = ""  # why we end it; "" while we don't
        self.recent_answers = RecentAnswers(pool.client.clock)
        self._timer: Timer | None = None  # of the idle time-out, or of whatever else the wire waits for
        self._dial: Dial | None = None  # kept so that it can be cancelled while the handshake goes on

    # What a wire implements.

    def _before_close(self) -> None:
        """The connection is about to be closed by us, with nothing open on it."""
        raise NotImplementedError

    def _outcome_of_loss(self) -> Outcome:
        """How an attempt ends that the loss of the connection cut off."""
        raise NotImplementedError

    def _ended(self, outcome: Outcome) -> None:
        """The connection is gone: leave the pool, log it, and end what was open on it with this outcome."""
        raise NotImplementedError

    # Coming up.

    def dial(self, timeout_ms: float) -> None:
        """Connect to the pool's address."""
        client = self.pool.client
        self._dial = Dial(client.reactor, client.clock, self.pool.address, self, timeout_ms, self.connect_failed)

    def _cancel_dial(self) -> None:
        if self._dial is not None:
            self._dial.cancel()

    def connect_failed(self, reason: Failure) -> None:
        """It never came up, so nothing was sent. An error of this machine alone tells nothing of the engine."""
        self.end_reason = f"connect-failed ({end_reason(reason)})"
        self._ended(Outcome.NEVER_SENT if is_local_error(reason.value) else Outcome.UNREACHABLE)

    # Being idle.

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _close_idle(self, reason: str) -> None:
        """Close in an orderly way; nothing is open on the connection."""
        self._timer = None
        self.closed, self.end_reason = True, reason
        self._before_close()
        self.transport.loseConnection()

    # Its end.

    def connectionLost(self, reason: Failure | None = None) -> None:
        """What was out may have run."""
        self.end_reason = self.end_reason or end_reason(reason)
        self._ended(self._outcome_of_loss())

    def _leave_pool(self, delay_ms: float = 0.0) -> int:
        """Be used no more.

        Args:
            delay_ms: time until the engine surely knows of the end.

        Returns:
            The number of earlier answers that this makes uncertain.
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
