"""Passes the final answer of a request from the dispatcher or the handoff to the coroutine that awaits it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto


class AnswerKind(Enum):
    """Kind of final answer."""

    SERVED = auto()
    REJECTED = auto()  # it did not run, or may run again: safe to retry
    FAILED = auto()  # it timed out, or it may have run and must not be sent again
    CONFLICT = auto()  # its idempotency key belongs to another request


@dataclass(frozen=True, slots=True)
class Answer:
    """The final answer of a request.

    Attributes:
        kind: The kind of answer.
        response_record: For SERVED in a fleet, the response encoded by `AsgiCodec`; b"" if `AsgiRequest` has it.
        retry_after_ms: For REJECTED, the delay in ms after which to retry.
    """

    kind: AnswerKind
    response_record: bytes = b""
    retry_after_ms: float = 0.0


class AnswerFuture:
    """A sink (`decklb.core.ports.ResponseSink`) that sets the final answer as the result of a future."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.future: asyncio.Future[Answer] = loop.create_future()

    def served(self, result: bytes) -> None:
        """The response is complete."""
        self._set(Answer(AnswerKind.SERVED, response_record=result))

    def rejected(self, retry_after_ms: float) -> None:
        """The request is safe to retry, after `retry_after_ms`."""
        self._set(Answer(AnswerKind.REJECTED, retry_after_ms=retry_after_ms))

    def failed(self) -> None:
        """The request timed out, or it may have run and must not be sent again."""
        self._set(Answer(AnswerKind.FAILED))

    def conflict(self) -> None:
        """The idempotency key belongs to another request."""
        self._set(Answer(AnswerKind.CONFLICT))

    def _set(self, answer: Answer) -> None:
        if not self.future.done():
            self.future.set_result(answer)
