"""Outlier detection: ejects engines that fail, with a backoff, and lets them return by one trial.

As Envoy's outlier detection: no connection, a failed trial, or more than half of the recent answers being
errors of its own or 'full' eject an engine for 0.5 to 4 s, doubling. Then one attempt that may be lost
tries it, as a half-open circuit breaker does; an answer clears it. An error is the engine's own only where
another engine served the same request. State: four fields of each engine. Called by the gateway on outcomes
and health check results, and the router.
"""

from __future__ import annotations

from decklb.interface import Effect, Outcome
from decklb.policy.records import Engine, Request

MIN_BACKOFF_MS = 500.0  # of the first ejection
MAX_BACKOFF_MS = 4000.0  # of any
MAX_ERROR_SHARE = 0.5  # share of an engine's own errors and 'full' among its recent answers that ejects it
ERROR_WEIGHT = 0.2  # weight of one answer in that share


def eject(engine: Engine, now: float) -> None:
    """Leave an engine out until one trial after a while, longer each time."""
    if now >= engine.ejected_until:
        engine.backoff_ms = min(MAX_BACKOFF_MS, max(MIN_BACKOFF_MS, 2 * engine.backoff_ms))
        engine.ejected_until, engine.on_trial = now + engine.backoff_ms, True


def record_error(engine: Engine, now: float) -> None:
    """Count an error of the engine's own."""
    engine.error_share += ERROR_WEIGHT * (1 - engine.error_share)
    if engine.on_trial or engine.error_share > MAX_ERROR_SHARE:
        eject(engine, now)


def record_unreachable(engine: Engine, now: float) -> None:
    """No connection, or no answer to a trial: it has gone, and comes back cold."""
    eject(engine, now)
    engine.started_at = max(engine.started_at, now)


def record_reset(engine: Engine, now: float) -> None:
    """A reset that leaves nothing in flight tells of a death; single ones are the network's."""
    if not engine.attempts:
        engine.ejected_until = max(engine.ejected_until, now + MIN_BACKOFF_MS)


def record_answer(engine: Engine, request: Request, now: float) -> None:
    """An answer clears its engine, and makes errors of others on the same request their own."""
    engine.on_trial, engine.backoff_ms, engine.ejected_until, engine.last_answer_at = False, 0.0, 0.0, now
    engine.error_share -= ERROR_WEIGHT * engine.error_share
    for attempt in request.attempts:
        if attempt.outcome is Outcome.ERROR and attempt.engine is not engine:
            record_error(attempt.engine, now)


def refuses_trial(engine: Engine, request: Request) -> bool:
    """For an engine on trial: whether the trial is under way, or this request may not be lost."""
    if request.spec.effect is not Effect.SAFE:
        return True
    return any(attempt.sent_at >= engine.ejected_until for attempt in engine.attempts.values())
