"""Outlier detection: ejects engines that fail, with a backoff, and readmits them after one trial attempt.

As in Envoy's outlier detection, an engine is ejected if it is unreachable, fails a trial, or if more than
half of its recent answers were 'full' or errors of its own. The ejection lasts 0.5 to 4 s and doubles each
time. Then one attempt that may safely be lost tries the engine, like a half-open circuit breaker, and an
answer readmits it. An error counts as the engine's own only if another engine served the same request. State:
four fields of each engine. Called by the gateway on outcomes and health check results, and by the router.
"""

from __future__ import annotations

from decklb.interface import Effect, Outcome
from decklb.policy.records import Engine, Request

MIN_BACKOFF_MS = 500.0  # length of the first ejection
MAX_BACKOFF_MS = 4000.0  # upper bound of the length of an ejection
MAX_ERROR_RATE = 0.5  # fraction of own errors and 'full' among recent answers above which it is ejected
ERROR_WEIGHT = 0.2  # weight of one answer in the error rate


def eject(engine: Engine, now: float) -> None:
    """Eject an engine, for twice as long as the last time; then it gets one trial."""
    if now >= engine.ejected_until:
        engine.backoff_ms = min(MAX_BACKOFF_MS, max(MIN_BACKOFF_MS, 2 * engine.backoff_ms))
        engine.ejected_until, engine.on_trial = now + engine.backoff_ms, True


def record_error(engine: Engine, now: float) -> None:
    """Record an error of the engine's own, or that it answered 'full'."""
    engine.error_rate += ERROR_WEIGHT * (1 - engine.error_rate)
    if engine.on_trial or engine.error_rate > MAX_ERROR_RATE:
        eject(engine, now)


def record_unreachable(engine: Engine, now: float) -> None:
    """Record that there was no connection, or no answer to a trial: the engine will restart cold."""
    eject(engine, now)
    engine.started_at = max(engine.started_at, now)


def record_reset(engine: Engine, now: float) -> None:
    """Record a reset connection.

    If it leaves nothing in flight the engine has probably died; a single reset is blamed on the network.
    """
    if not engine.attempts:
        engine.ejected_until = max(engine.ejected_until, now + MIN_BACKOFF_MS)


def record_answer(engine: Engine, request: Request, now: float) -> None:
    """Record an answer: it readmits the engine.

    Errors of other engines on the same request now count as their own.
    """
    engine.on_trial, engine.backoff_ms, engine.ejected_until, engine.last_answer_at = False, 0.0, 0.0, now
    engine.error_rate -= ERROR_WEIGHT * engine.error_rate
    for attempt in request.attempts:
        if attempt.outcome is Outcome.ERROR and attempt.engine is not engine:
            record_error(attempt.engine, now)


def is_trial_unavailable(engine: Engine, request: Request) -> bool:
    """Return whether an engine on trial can't take this request.

    Either its trial is already in flight, or the request must not be lost.
    """
    if request.spec.effect is not Effect.SAFE:
        return True
    return any(attempt.sent_at >= engine.ejected_until for attempt in engine.attempts.values())
