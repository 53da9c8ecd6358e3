"""The log of requests that did not go the ordinary way: why each attempt was cut short and each request turned away."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from decklb.core.ports import Clock

if TYPE_CHECKING:
    from decklb.core.dispatcher import Attempt, Request

LINES = 50  # a second; a flood must not spend the core on its own log


class RequestLog:
    """Writes at most LINES a second. The next line says how many were left out."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._second = 0
        self._written = self._left_out = 0

    def attempt_ended(self, a: Attempt, outcome: str, took: float) -> None:
        """An attempt that ended without a result after `took` ms."""
        work = a.request.incoming
        if self._may_write():
            logger.info(
                "attempt ended: {outcome} rid={rid} class={lane} key={key} attempt={leg} engine={engine} "
                "took={took}ms left_out={left_out}",
                event="attempt-ended",
                outcome=outcome,
                rid=work.client_request_id,
                lane=work.request_class,
                key=work.ordering_key,
                leg=a.number,
                engine=a.engine_id,
                took=round(took, 1),
                left_out=self._take_left_out(),
            )

    def answer_in_doubt(self, a: Attempt) -> None:
        """The connection of an attempt has ended soon after its answer; the key of its request rests anew."""
        work = a.request.incoming
        if self._may_write():
            logger.info(
                "answer in doubt: rid={rid} class={lane} key={key} attempt={leg} engine={engine} left_out={left_out}",
                event="answer-in-doubt",
                rid=work.client_request_id,
                lane=work.request_class,
                key=work.ordering_key,
                leg=a.number,
                engine=a.engine_id,
                left_out=self._take_left_out(),
            )

    def turned_away(self, r: Request, answer: str, left: float) -> None:
        """A final answer other than a result, `left` ms before the request's deadline."""
        if self._may_write():
            attempts = ",".join(f"{a.engine_id}:{a.outcome.value if a.outcome else 'OUT'}" for a in r.attempts)
            logger.info(
                "request {answer}: rid={rid} class={lane} key={key} left={left}ms attempts={attempts} "
                "left_out={left_out}",
                event="request-turned-away",
                answer=answer,
                rid=r.incoming.client_request_id,
                lane=r.incoming.request_class,
                key=r.incoming.ordering_key,
                left=round(left),
                attempts=attempts or "none",
                left_out=self._take_left_out(),
            )

    def _may_write(self) -> bool:
        second = int(self._clock.now() // 1000)
        if second != self._second:
            self._second, self._written = second, 0
        self._written += 1
        if self._written <= LINES:
            return True
        self._left_out += 1
        return False

    def _take_left_out(self) -> int:
        count, self._left_out = self._left_out, 0
        return count
