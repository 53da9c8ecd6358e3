"""Runs attempts: starts, abandons and ends them, within the rules on overlap and repeats, whatever the policy says.

Owns nothing beyond the attempts of each request. The dispatcher calls it for the policy's actions and due deadlines,
engine clients by way of Attempt.
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

# ms that an attempt took at least: the policy divides by what is usual, and a coarse clock may not have moved.
MIN_DURATION_MS = 0.001


class AttemptRunner:
    """Carries attempts from the policy's decision to their end."""

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
        self.zone_router: ZoneRouter | None = None  # given where traffic is kept in its zone
        self._settings, self._clock, self._events = settings, clock, events
        self._deadlines, self._answers, self._log = deadlines, answers, log
        self._on_attempt_closed = on_attempt_closed

    def start(self, request: Request, engine_id: str, timeout_ms: float | None) -> None:
        """Send an attempt to an engine, unless a rule forbids it; then it counts as never sent."""
        now = self._clock.now()
        left_ms = request.deadline_ms - now
        attempt = Attempt(self, request, engine_id, now, min(left_ms, timeout_ms or left_ms))
        overlaps = request.has_open_attempt()
        attempt.start_deadline_ms = min(attempt.start_deadline_ms, self._repeatable_until(request))
        request.attempts.append(attempt)
        if request.answered or overlaps or left_ms <= 0 or now > attempt.start_deadline_ms:
            if overlaps:
                logger.error(
                    "second attempt for {request} while one is out",
                    event="overlap-prevented",
                    request=request.request_id,
                )
            return self._close(attempt, Outcome.NEVER_SENT)
        self._deadlines.add(attempt.deadline_ms, request.request_id, attempt.number)
        self.engines.start(attempt)

    def _repeatable_until(self, request: Request) -> float:
        """Until when, in ms, the request's class lets another attempt begin."""
        ran = next((attempt for attempt in request.attempts if attempt.outcome not in NEVER_EXECUTED), None)
        spec = self._settings.classes.get(request.incoming.request_class)
        if ran is None or spec is None or spec.effect is Effect.SAFE:
            return math.inf
        return ran.started_at_ms + spec.deduplication_window_ms if spec.effect is Effect.KEYED else -math.inf

    def abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an attempt at its engine; it ends with that outcome when the engine has let go.

        Until then it is still out, and the policy may not send another.
        """
        if attempt.ended or attempt.abandoned:
            return
        attempt.abandoned, attempt.timed_out = True, outcome is Outcome.TIMED_OUT
        final = outcome if attempt.sent else Outcome.NEVER_SENT
        self.engines.abandon(attempt, lambda: self._close(attempt, final))

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, result: bytes) -> None:
        """An attempt's end; the first successful one is the request's answer."""
        if attempt.ended or attempt.abandoned:
            return
        if outcome is Outcome.SUCCESS and not attempt.request.answered:
            self._answers.serve(attempt.request, result)
        self._close(attempt, outcome)

    def attempt_uncertain(self, attempt: Attempt) -> None:
        """The connection of an attempt has ended soon after its answer."""
        key = attempt.request.incoming.ordering_key
        if attempt.ended and not attempt.abandoned and key is not None:
            self._log.completion_uncertain(attempt)
            self._events.post(api.CompletionUncertain(key))

    def attempt_progressed(self, attempt: Attempt, kind: int, level: float) -> None:
        """Progress of an attempt that is out."""
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
