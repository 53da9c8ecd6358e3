"""Hedging: what is done about an attempt that is lost or runs away.

A lost attempt gets a hedged request beside it where the settings allow two at a time ('The Tail at Scale',
Dean and Barroso), else it is cancelled, and its outcome leads to a retry. A bad plan, drawn anew each time,
shows as a share done that is far behind: once, a retry is quicker. No state; called by the gateway on
progress notes and scans.
"""

from __future__ import annotations

from decklb.interface import AttemptProgress, Effect, Settings
from decklb.policy.records import Attempt

RUNAWAY_FACTOR = 2.5  # times its usual run time, or its objective, that a query with a bad plan has left
SHARE_DONE = 1  # kind of progress note that carries the share done


def is_runaway(attempt: Attempt, note: AttemptProgress, now: float) -> bool:
    """Whether a first attempt's share done tells that the rest will take far longer than a retry."""
    if note.kind != SHARE_DONE or not 0 < note.level < 1 or attempt.number or attempt.outcome is not None:
        return False
    rest_ms = (now - attempt.sent_at) * (1 - note.level) / note.level
    return rest_ms > RUNAWAY_FACTOR * max(
        attempt.request.expected_run_ms(), attempt.request.spec.latency_objective_ms
    )


def may_cancel(attempt: Attempt, settings: Settings) -> bool:
    """Whether an attempt may be cancelled for the sake of a retry."""
    return settings.cancellation and attempt.request.spec.effect is Effect.SAFE
