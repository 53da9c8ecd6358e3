"""Logs failed attempts, with the reason, and requests that were answered without a result.

At most MAX_LINES_PER_SECOND lines are written, so that logging does not take up the process' core under a flood of
failures. The next line that is written states how many were suppressed.
"""

from __future__ import annotations

from loguru import logger

from decklb.core.attempts import Attempt, Request
from decklb.core.ports import Clock

MAX_LINES_PER_SECOND = 50
OPEN_ATTEMPT = "OUT"  # written in place of the outcome of an attempt that is still in flight


class RequestLog:
    """Writes at most MAX_LINES_PER_SECOND lines per second."""

    __slots__ = ("_clock", "_second", "_line_count", "_suppressed")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = 0  # second of the clock to which `_line_count` refers
        self._line_count = 0  # lines of that second, including suppressed ones
        self._suppressed = 0  # lines suppressed since the last one written

    def attempt_failed(self, attempt: Attempt, outcome: str, duration_ms: float) -> None:
        """Log an attempt that ended without a result."""
        if not self._admit_line():
            return
        incoming = attempt.request.incoming
        logger.info(
            "attempt failed: {outcome} request={request} class={request_class} key={key} attempt={attempt} "
            "engine={engine} duration={duration_ms}ms suppressed={suppressed}",
            event="attempt-failed",
            outcome=outcome,
            request=incoming.client_request_id,
            request_class=incoming.request_class,
            key=incoming.ordering_key,
            attempt=attempt.number,
            engine=attempt.engine_id,
            duration_ms=round(duration_ms, 1),
            suppressed=self._take_suppressed(),
        )

    def completion_uncertain(self, attempt: Attempt) -> None:
        """Log that an attempt's connection ended soon after its answer, so its ordering key is blocked once more."""
        if not self._admit_line():
            return
        incoming = attempt.request.incoming
        logger.info(
            "completion uncertain: request={request} class={request_class} key={key} attempt={attempt} "
            "engine={engine} suppressed={suppressed}",
            event="completion-uncertain",
            request=incoming.client_request_id,
            request_class=incoming.request_class,
            key=incoming.ordering_key,
            attempt=attempt.number,
            engine=attempt.engine_id,
            suppressed=self._take_suppressed(),
        )

    def request_not_served(self, request: Request, answer: str, time_left_ms: float) -> None:
        """Log a final answer other than a result, and the time left until the request's deadline."""
        if not self._admit_line():
            return
        incoming = request.incoming
        attempts = ",".join(
            f"{attempt.engine_id}:{attempt.outcome.value if attempt.outcome else OPEN_ATTEMPT}"
            for attempt in request.attempts
        )
        logger.info(
            "request {answer}: request={request} class={request_class} key={key} left={time_left_ms}ms "
            "attempts={attempts} suppressed={suppressed}",
            event="request-not-served",
            answer=answer,
            request=incoming.client_request_id,
            request_class=incoming.request_class,
            key=incoming.ordering_key,
            time_left_ms=round(time_left_ms),
            attempts=attempts or "none",
            suppressed=self._take_suppressed(),
        )

    def _admit_line(self) -> bool:
        second = int(self._clock.now() // 1000)
        if second != self._second:
            self._second, self._line_count = second, 0
        self._line_count += 1
        if self._line_count <= MAX_LINES_PER_SECOND:
            return True
        self._suppressed += 1
        return False

    def _take_suppressed(self) -> int:
        count, self._suppressed = self._suppressed, 0
        return count
