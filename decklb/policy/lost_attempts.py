"""Lost-attempt detection: finds attempts that are answered late or never, at engines that answer others.

If engines send progress reports, an attempt is presumed lost once these stop. Otherwise an attempt far beyond
its usual run time is presumed lost, provided that the recent loss rate is high. Its threads no longer count,
and the gateway hedges or cancels it (hedging.py). A machine that is cut off from the network sends nothing at
all, so there is no other sign. Called at each scan.
"""

from __future__ import annotations

from decklb.interface import AttemptEnded, Outcome, Settings
from decklb.policy.constants import EWMA_WEIGHT
from decklb.policy.records import Attempt, Engine

POSSIBLY_LOST_RUNS = 3.0  # multiple of its usual run time after which an attempt may be lost
CERTAINLY_LOST_RUNS = 8.0  # multiple of its usual run time after which an attempt is certainly lost
LOSS_RATE_THRESHOLD = 0.08  # loss rate from which possibly lost attempts are presumed lost
MISSED_PROGRESS_PERIODS = 2.2  # reporting intervals without a report until it is presumed lost


class LostAttemptDetector:
    """Tracks the recent rate of lost attempts and marks attempts as presumed lost."""

    def __init__(self, settings: Settings) -> None:
        self._progress_interval_ms = settings.progress_interval_ms  # 0: engines send no progress reports
        self.loss_rate = 0.0  # moving average: fraction of attempts that were certainly lost

    def observe(self, attempt: Attempt, ended: AttemptEnded) -> None:
        """Update the loss rate with an attempt that was answered or timed out."""
        if ended.outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            is_overdue = ended.duration_ms > CERTAINLY_LOST_RUNS * attempt.request.expected_run_ms()
            lost = (
                is_overdue
                and attempt.engine.last_answer_at > attempt.sent_at
                and ended.outcome is Outcome.TIMED_OUT
            )
            self.loss_rate += EWMA_WEIGHT * (lost - self.loss_rate)

    def mark_lost(self, engines: list[Engine], now: float) -> list[Attempt]:
        """Mark the attempts that are now presumed lost, and return them."""
        if not self._progress_interval_ms and self.loss_rate < LOSS_RATE_THRESHOLD:
            return []
        lost = [
            attempt
            for engine in engines
            for attempt in engine.attempts.values()
            if not attempt.presumed_lost and self._is_lost(attempt, now)
        ]
        for attempt in lost:
            attempt.presumed_lost = True
            attempt.engine.release_threads(attempt)
        return lost

    def _is_lost(self, attempt: Attempt, now: float) -> bool:
        last_activity_at = max(attempt.sent_at, attempt.last_progress_at)
        silent_ms = now - last_activity_at
        limit_ms = (
            MISSED_PROGRESS_PERIODS * self._progress_interval_ms
            or POSSIBLY_LOST_RUNS * attempt.request.expected_run_ms()
        )
        return silent_ms >= limit_ms and attempt.engine.last_answer_at >= last_activity_at + silent_ms / 2
