"""Sends the final answers: exactly one to each request, whatever the policy, a front or an engine does.

Keeps the number of requests without a final answer, and the ids of the requests that were answered since the policy's
last decision.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from decklb.core.attempts import Request
from decklb.core.ports import Clock
from decklb.core.request_log import RequestLog


class FinalAnswers:
    """Sends final answers. Callers have checked that the request has no final answer yet."""

    __slots__ = ("open_requests", "on_idle", "_clock", "_log", "_answered_ids")

    def __init__(self, clock: Clock, log: RequestLog) -> None:
        self._clock, self._log = clock, log
        self.open_requests = 0  # number of requests without a final answer
        self.on_idle: Callable[[], None] = lambda: None  # called when there are none left
        self._answered_ids: list[str] = []

    def take_answered_ids(self) -> list[str]:
        """Return and clear the ids of the requests answered since the last call."""
        answered_ids, self._answered_ids = self._answered_ids, []
        return answered_ids

    def serve(self, request: Request, result: bytes) -> None:
        """Answer with a complete result."""
        self.close(request)
        try:  # same as _deliver, inlined because nearly every request takes this path
            request.sink.served(result)
        except Exception:
            _log_delivery_failure(request)

    def reject(self, request: Request, retry_after_ms: float) -> None:
        """Answer that the request was not executed and is safe to retry."""
        self._log.request_not_served(request, "rejected", request.deadline_ms - self._clock.now())
        self.close(request)
        _deliver(request, lambda: request.sink.rejected(retry_after_ms))

    def fail(self, request: Request) -> None:
        """Answer that the request failed; it may or may not have been executed."""
        self._log.request_not_served(request, "failed", request.deadline_ms - self._clock.now())
        self.close(request)
        _deliver(request, request.sink.failed)

    def close(self, request: Request) -> None:
        """Mark the request as answered, so that its client gets no other answer."""
        request.answered = True
        self.open_requests -= 1
        self._answered_ids.append(request.request_id)
        if not self.open_requests:  # called later, once the caller has written the answer
            self._clock.call_later(0, self._notify_if_idle)

    def deliver_failure(self, request: Request) -> None:
        """Send the failure of a request that the dispatcher's backstop has already marked as answered."""
        _deliver(request, request.sink.failed)

    def _notify_if_idle(self) -> None:
        if not self.open_requests:
            self.on_idle()


def _deliver(request: Request, send_answer: Callable[[], None]) -> None:
    try:
        send_answer()
    except Exception:  # an error of a front with one client must not affect other requests
        _log_delivery_failure(request)


def _log_delivery_failure(request: Request) -> None:
    logger.exception("failed to deliver the answer to {request}", event="answer-failed", request=request.request_id)
