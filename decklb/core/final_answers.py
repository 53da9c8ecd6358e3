"""Final answers: each request gets exactly one, whatever the policy, a front or an engine does.

Owns the count of requests that lack theirs, and the ids of those that were answered since the policy last decided.
"""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from decklb.core.attempts import Request
from decklb.core.ports import Clock
from decklb.core.request_log import RequestLog


class FinalAnswers:
    """Answers requests. The methods are for requests that are not answered yet."""

    __slots__ = ("open_requests", "on_idle", "_clock", "_log", "_answered_ids")

    def __init__(self, clock: Clock, log: RequestLog) -> None:
        self._clock, self._log = clock, log
        self.open_requests = 0  # requests that lack their final answer
        self.on_idle: Callable[[], None] = lambda: None  # called when the last of them has its answer
        self._answered_ids: list[str] = []

    def take_answered_ids(self) -> list[str]:
        """The ids of the requests that were answered since the last call."""
        answered_ids, self._answered_ids = self._answered_ids, []
        return answered_ids

    def serve(self, request: Request, result: bytes) -> None:
        """Answer with a complete result."""
        self.close(request)
        try:  # as in _deliver, without a call more: this is the way of nearly every request
            request.sink.served(result)
        except Exception:
            _log_failed_delivery(request)

    def reject(self, request: Request, retry_after_ms: float) -> None:
        """Answer that it was not served, and that a retry is harmless."""
        self._log.request_not_served(request, "rejected", request.deadline_ms - self._clock.now())
        self.close(request)
        _deliver(request, lambda: request.sink.rejected(retry_after_ms))

    def fail(self, request: Request) -> None:
        """Answer that it failed, with no promise about what was done."""
        self._log.request_not_served(request, "failed", request.deadline_ms - self._clock.now())
        self.close(request)
        _deliver(request, request.sink.failed)

    def close(self, request: Request) -> None:
        """From here on nothing else may be told to its client."""
        request.answered = True
        self.open_requests -= 1
        self._answered_ids.append(request.request_id)
        if not self.open_requests:  # only after whoever called has written the answer
            self._clock.call_later(0, self._call_if_idle)

    def fail_closed(self, request: Request) -> None:
        """Tell the client of a request that was closed for the backstop that it failed."""
        _deliver(request, request.sink.failed)

    def _call_if_idle(self) -> None:
        if not self.open_requests:
            self.on_idle()


def _deliver(request: Request, answer: Callable[[], None]) -> None:
    try:
        answer()
    except Exception:  # a front's fault with one client must not stop the others
        _log_failed_delivery(request)


def _log_failed_delivery(request: Request) -> None:
    logger.exception("answer to {request} failed", event="answer-failed", request=request.request_id)
