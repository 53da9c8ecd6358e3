"""The final answer of a request, from the dispatcher or the handoff to the coroutine that awaits it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum, auto


class AnswerKind(Enum):
    """How a request ended."""

    SERVED = auto()
    REJECTED = auto()  # it never ran, or may run again: a retry is harmless
    FAILED = auto()  # its time is over, or it may have run and can't be sent again
    CONFLICT = auto()  # its idempotency key was given to another request


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer.

    Attributes:
        kind: How the request ended.
        response_record: Of SERVED in a fleet, the response as `AsgiCodec` encodes it; b"" if this process has it.
        retry_after_ms: Of REJECTED, after how many ms to retry.
    """

    kind: AnswerKind
    response_record: bytes = b""
    retry_after_ms: float = 0.0


class AnswerFuture:
    """Takes the final answer (`decklb.core.ports.ResponseSink`) and sets a future to it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.future: asyncio.Future[Answer] = loop.create_future()

    def served(self, result: bytes) -> None:
        """The response is complete."""
        self._set(Answer(AnswerKind.SERVED, response_record=result))

    def rejected(self, retry_after_ms: float) -> None:
        """A retry is harmless, after that many ms."""
        self._set(Answer(AnswerKind.REJECTED, retry_after_ms=retry_after_ms))

    def failed(self) -> None:
        """Over, or unknown."""
        self._set(Answer(AnswerKind.FAILED))

    def conflict(self) -> None:
        """The idempotency key was given to another request."""
        self._set(Answer(AnswerKind.CONFLICT))

    def _set(self, answer: Answer) -> None:
        if not self.future.done():
            self.future.set_result(answer)
