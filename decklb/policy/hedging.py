"""Hedging: what happens to an attempt that is presumed lost or runs far too long.

A lost attempt gets a hedged request beside it if the settings allow two attempts at a time ('The Tail at
Scale', Dean and Barroso); otherwise it is cancelled, and its outcome leads to a retry. Query plans are chosen
anew for each attempt, and a bad plan shows as a completed fraction that is far too small for the time spent:
for a first attempt a retry is faster then. Stateless; called by the gateway on progress reports and at scans.
"""

from __future__ import annotations

from decklb.interface import AttemptProgress, Effect, Settings
from decklb.policy.records import Attempt

# A query is a runaway if its remaining time exceeds this multiple of its usual run time and of its objective.
RUNAWAY_FACTOR = 2.5
COMPLETED_FRACTION = 1  # kind of progress report whose level is the completed fraction


def is_runaway(attempt: Attempt, progress: AttemptProgress, now: float) -> bool:
    """Return whether a first attempt, by its completed fraction, will take far longer than a retry."""
    if (
        progress.kind != COMPLETED_FRACTION
        or not 0 < progress.level < 1
        or attempt.number
        or attempt.outcome is not None
    ):
        return False
    remaining_ms = (now - attempt.sent_at) * (1 - progress.level) / progress.level
    return remaining_ms > RUNAWAY_FACTOR * max(
        attempt.request.expected_run_ms(), attempt.request.spec.latency_objective_ms
    )


def may_cancel(attempt: Attempt, settings: Settings) -> bool:
    """Return whether an attempt may be cancelled in favour of a retry."""
    return settings.cancellation and attempt.request.spec.effect is Effect.SAFE
