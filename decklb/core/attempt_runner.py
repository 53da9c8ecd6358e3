"""Starts, abandons and closes attempts, and enforces the rules on concurrent and repeated execution.

The rules hold whatever the policy decides: a request never has two attempts in flight, and once it may have been
executed it is repeated only as its class allows. The dispatcher calls the runner for actions of the policy and for
expired deadlines; engine clients call it through the methods of `Attempt`. Its only state is each request's list
of attempts.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from loguru import logger

from decklb import interface as api
from decklb.core.attempts import Attempt, Request
from decklb.core.deadlines import DeadlineQueue
from decklb.core.engine_client import EngineClient
from decklb.core.event_batch import EventBatch
from decklb.core.final_answers import FinalAnswers
from decklb.core.ports import Clock, ZoneRouter
from decklb.core.request_log import RequestLog
from decklb.interface import Effect, Outcome
from decklb.policy.records import NEVER_EXECUTED

# Minimum reported duration of an attempt in ms. The policy divides by usual durations, and a clock with a coarse
# resolution can show the same time at the start and at the end of an attempt.
MIN_DURATION_MS = 0.001


class AttemptRunner:
    """Runs the attempts of all requests from the policy's decision until they are closed."""

    __slots__ = (
        "engines",
        "zone_router",
        "_settings",
        "_clock",
        "_events",
        "_deadlines",
        "_answers",
        "_log",
        "_on_attempt_closed",
    )

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        engines: EngineClient,
        events: EventBatch,
        deadlines: DeadlineQueue,
        answers: FinalAnswers,
        log: RequestLog,
        on_attempt_closed: Callable[[Request], None],
    ) -> None:
        self.engines = engines
        self.zone_router: ZoneRouter | None = None  # set by the locality subsystem; None without it
        self._settings, self._clock, self._events = settings, clock, events
        self._deadlines, self._answers, self._log = deadlines, answers, log
        self._on_attempt_closed = on_attempt_closed

    def start(self, request: Request, engine_id: str, timeout_ms: float | None) -> None:
        """Send an attempt to an engine, or close it as never sent if a rule forbids it."""
        now = self._clock.now()
        time_left_ms = request.deadline_ms - now
        attempt = Attempt(self, request, engine_id, now, min(time_left_ms, timeout_ms or time_left_ms))
        other_in_flight = request.has_open_attempt()
        attempt.start_deadline_ms = min(attempt.start_deadline_ms, self._repeatable_until(request))
        request.attempts.append(attempt)
        if request.answered or other_in_flight or time_left_ms <= 0 or now > attempt.start_deadline_ms:
            if other_in_flight:
                logger.error(
                    "attempt of {request} not sent: another attempt is in flight",
                    event="overlap-prevented",
                    request=request.request_id,
                )
            return self._close(attempt, Outcome.NEVER_SENT)
        self._deadlines.add(attempt.deadline_ms, request.request_id, attempt.number)
        self.engines.start(attempt)

    def _repeatable_until(self, request: Request) -> float:
        """Return the time in ms until which the request's class allows a further attempt to start."""
        possibly_executed = next(
            (attempt for attempt in request.attempts if attempt.outcome not in NEVER_EXECUTED), None
        )
        spec = self._settings.classes.get(request.incoming.request_class)
        if possibly_executed is None or spec is None or spec.effect is Effect.SAFE:
            return math.inf
        return (
            possibly_executed.started_at_ms + spec.deduplication_window_ms if spec.effect is Effect.KEYED else -math.inf
        )

    def abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an attempt at its engine.

        The attempt stays in flight until the engine client has released it; then it is closed with `outcome`, or as
        never sent if nothing was sent. Until then no other attempt of the request may start.
        """
        if attempt.ended or attempt.abandoned:
            return
        attempt.abandoned, attempt.timed_out = True, outcome is Outcome.TIMED_OUT
        final_outcome = outcome if attempt.sent else Outcome.NEVER_SENT
        self.engines.abandon(attempt, lambda: self._close(attempt, final_outcome))

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, result: bytes) -> None:
        """Close an attempt; the result of the first successful attempt is the answer to the request."""
        if attempt.ended or attempt.abandoned:
            return
        if outcome is Outcome.SUCCESS and not attempt.request.answered:
            self._answers.serve(attempt.request, result)
        self._close(attempt, outcome)

    def attempt_uncertain(self, attempt: Attempt) -> None:
        """Tell the policy that the connection of an attempt with an ordering key ended soon after its answer."""
        key = attempt.request.incoming.ordering_key
        if attempt.ended and not attempt.abandoned and key is not None:
            self._log.completion_uncertain(attempt)
            self._events.post(api.CompletionUncertain(key))

    def attempt_progressed(self, attempt: Attempt, kind: int, level: float) -> None:
        """Pass a progress report of an attempt in flight to the policy."""
        if not (attempt.ended or attempt.abandoned):
            self._events.post(api.AttemptProgress(attempt.request.request_id, attempt.number, kind, level))

    def _close(self, attempt: Attempt, outcome: Outcome) -> None:
        attempt.ended, attempt.outcome, attempt.handle = True, outcome, None
        request = attempt.request
        duration_ms = max(MIN_DURATION_MS, self._clock.now() - attempt.started_at_ms)
        if outcome is not Outcome.SUCCESS:
            self._log.attempt_failed(attempt, outcome.value, duration_ms)
        if self.zone_router is not None and outcome is not Outcome.NEVER_SENT:
            self.zone_router.attempt_ended(attempt.engine_id, request.incoming.request_class, outcome, duration_ms)
        self._events.post(
            api.AttemptEnded(
                request.request_id, attempt.number, attempt.engine_id, outcome, duration_ms, request.answered
            )
        )
        self._on_attempt_closed(request)
