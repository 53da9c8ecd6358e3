"""The statement that a session waits for: converts its final answer into messages for the client.

Created by `decklb.pg.connection` for each submitted request. The dispatcher, or the handoff in front of it, calls one
of `served`, `rejected`, `failed` and `conflict` once (`decklb.core.ports.ResponseSink`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from decklb.core.dispatcher import ANSWER_MARGIN_MS
from decklb.pg import sqlstate
from decklb.pg.errors import PgError

# A failure less than this before the deadline is reported as a timeout. The dispatcher ends requests ANSWER_MARGIN_MS
# or slightly more before their deadline.
TIMEOUT_MARGIN_MS = ANSWER_MARGIN_MS + 5.0


class AnswerReceiver(Protocol):
    """The connection that waits for the answer."""

    def now_ms(self) -> float:
        """Return the monotonic time in ms."""

    def complete(self, send_answer: Callable[[], None]) -> None:
        """The statement has ended: call `send_answer` unless the client has gone, then handle its next message."""

    def report_error(self, error: PgError) -> None:
        """Send an error to the client."""

    def admits_result(self, result_bytes: int) -> bool:
        """Whether there is memory to send a result of this size."""


@dataclass(slots=True)
class RunningStatement:
    """A submitted statement.

    Attributes:
        receiver: Receives the answer.
        deadline_ms: End of its budget, on the monotonic clock.
        on_result: Called with the messages of a complete answer of an engine.
        handle: Handle returned by the request handler; None until the request is submitted.
        has_idempotency_key: Whether the client can ask for the answer again.
    """

    receiver: AnswerReceiver
    deadline_ms: float
    on_result: Callable[[bytes], None]
    handle: Any = None
    has_idempotency_key: bool = False

    def served(self, result: bytes) -> None:
        """An engine has returned a complete answer, which may be an ErrorResponse about the statement."""
        if not self.receiver.admits_result(len(result)):
            text = "the statement ran, but there is no memory for its result"
            return self._report(PgError(sqlstate.STATEMENT_COMPLETION_UNKNOWN, text))
        self.receiver.complete(lambda: self.on_result(result))

    def rejected(self, retry_after_ms: float) -> None:
        """The statement did not run, or may run again; the client should retry after `retry_after_ms`."""
        retry_ms = max(1, round(retry_after_ms))
        if self.has_idempotency_key:  # even past the deadline, since a later retry may still get the answer
            hint = f"Ask again under the same decklb.request in {retry_ms} ms."
            self._report(PgError(sqlstate.INSUFFICIENT_RESOURCES, "the statement has no answer here yet", hint))
        else:
            text, hint = "the engines are too busy for this statement now", f"Come back in {retry_ms} ms."
            self._report_failure(PgError(sqlstate.INSUFFICIENT_RESOURCES, text, hint))

    def failed(self) -> None:
        """The statement has timed out, or it may have run and must not be sent again."""
        text = "the engine failed; whether the statement ran is unknown"
        self._report_failure(PgError(sqlstate.STATEMENT_COMPLETION_UNKNOWN, text))

    def conflict(self) -> None:
        """Its idempotency key belongs to another statement."""
        text, hint = "decklb.request names another statement", "Give each statement a name of its own."
        self._report_failure(PgError(sqlstate.INVALID_PARAMETER_VALUE, text, hint))

    def _report_failure(self, error: PgError) -> None:
        """Report an error; near the deadline, any failure is reported as a timeout."""
        if self.receiver.now_ms() >= self.deadline_ms - TIMEOUT_MARGIN_MS:
            error = PgError(sqlstate.QUERY_CANCELED, "canceling statement due to statement timeout")
        self._report(error)

    def _report(self, error: PgError) -> None:
        self.receiver.complete(lambda: self.receiver.report_error(error))
