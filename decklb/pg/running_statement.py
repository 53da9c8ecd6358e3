"""The request that a session waits for: turns its one final answer into messages for the client.

Made by `decklb.pg.connection` for each submitted request; the dispatcher, or the handoff before it, calls one of
`served`, `rejected`, `failed` and `conflict` once (`decklb.core.ports.ResponseSink`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from decklb.core.dispatcher import EARLY
from decklb.pg import sqlstate
from decklb.pg.errors import PgError

# Before its deadline, in ms, from which a failure is told as running out of time: the dispatcher ends requests EARLY ms
# ahead, and a little before it.
TIMEOUT_MARGIN_MS = EARLY + 5.0


class AnswerReceiver(Protocol):
    """The connection that waits for the answer."""

    def now_ms(self) -> float:
        """Monotonic time in ms."""

    def complete(self, tell: Callable[[], None]) -> None:
        """The statement has ended: `tell` tells the client, unless it has gone, and the next message may be handled."""

    def report_error(self, error: PgError) -> None:
        """Send an error to the client."""


@dataclass(slots=True)
class RunningStatement:
    """One submitted statement.

    Attributes:
        receiver: Whom to tell of the answer.
        deadline_ms: When its budget ends, in ms of the monotonic clock.
        on_result: Takes the messages of an engine's whole answer.
        handle: What names it at the request handler; None until that has taken it.
        has_idempotency_key: Whether its client may come back for the answer.
    """

    receiver: AnswerReceiver
    deadline_ms: float
    on_result: Callable[[bytes], None]
    handle: Any = None
    has_idempotency_key: bool = False

    def served(self, result: bytes) -> None:
        """An engine's whole answer, which may be its error about the statement."""
        self.receiver.complete(lambda: self.on_result(result))

    def rejected(self, retry_after_ms: float) -> None:
        """It never ran, or may run again; a retry should wait that long."""
        hinted_ms = max(1, round(retry_after_ms))
        if self.has_idempotency_key:  # also past its deadline: this is no answer, and one may still be given
            hint = f"Ask again under the same decklb.request in {hinted_ms} ms."
            self._report(PgError(sqlstate.INSUFFICIENT_RESOURCES, "the statement has no answer here yet", hint))
        else:
            text, hint = "the engines are too busy for this statement now", f"Come back in {hinted_ms} ms."
            self._report_failure(PgError(sqlstate.INSUFFICIENT_RESOURCES, text, hint))

    def failed(self) -> None:
        """Its time is over, or it may have run and can't be sent again."""
        text = "the engine failed; whether the statement ran is unknown"
        self._report_failure(PgError(sqlstate.STATEMENT_COMPLETION_UNKNOWN, text))

    def conflict(self) -> None:
        """Its idempotency key was given to another statement."""
        text, hint = "decklb.request names another statement", "Give each statement a name of its own."
        self._report_failure(PgError(sqlstate.INVALID_PARAMETER_VALUE, text, hint))

    def _report_failure(self, error: PgError) -> None:
        """Near the deadline any failure is a timeout to the client."""
        if self.receiver.now_ms() >= self.deadline_ms - TIMEOUT_MARGIN_MS:
            error = PgError(sqlstate.QUERY_CANCELED, "canceling statement due to statement timeout")
        self._report(error)

    def _report(self, error: PgError) -> None:
        self.receiver.complete(lambda: self.receiver.report_error(error))
