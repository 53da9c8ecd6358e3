"""The log of requests that were not simply served: why each attempt failed, and each request that got no result.

At most LINES_A_SECOND lines are written: a flood must not spend the process' core on its own log. The next line says
how many were left out. The dispatcher's parts call it; its state is the count of the present second.
"""

from __future__ import annotations

from loguru import logger

from decklb.core.attempts import Attempt, Request
from decklb.core.ports import Clock

LINES_A_SECOND = 50
OPEN_ATTEMPT = "OUT"  # stands for the outcome of an attempt that lacks its end


class RequestLog:
    """Writes at most LINES_A_SECOND lines a second."""

    __slots__ = ("_clock", "_second", "_written", "_suppressed")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = 0  # of the clock, whose lines are counted
        self._written = 0  # lines of that second, also those left out
        self._suppressed = 0  # lines left out since the last one written

    def attempt_failed(self, attempt: Attempt, outcome: str, duration_ms: float) -> None:
        """An attempt has ended without a result."""
        if not self._may_write():
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
        """The connection of an attempt has ended soon after its answer; the key of its request is held back anew."""
        if not self._may_write():
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
        """A final answer other than a result, so long before the request's deadline."""
        if not self._may_write():
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

    def _may_write(self) -> bool:
        second = int(self._clock.now() // 1000)
        if second != self._second:
            self._second, self._written = second, 0
        self._written += 1
        if self._written <= LINES_A_SECOND:
            return True
        self._suppressed += 1
        return False

    def _take_suppressed(self) -> int:
        count, self._suppressed = self._suppressed, 0
        return count
