"""Lost-attempt detection: attempts whose outcome will come late or never, at engines that answer others.

Where engines send progress notes, an attempt is lost once they cease. Elsewhere one far past its usual time
is taken for lost, if of late a share of attempts surely was. Its threads no longer count; the gateway
hedges or cancels it (hedging.py). The protocol's machines that are cut off say nothing, so nothing else
tells. Called by each scan.
"""

from __future__ import annotations

from decklb.interface import AttemptEnded, Outcome, Settings
from decklb.policy.constants import EWMA_WEIGHT
from decklb.policy.records import Attempt, Engine

MAYBE_LOST_RUNS = 3.0  # times its usual run time after which an attempt may be lost
SURELY_LOST_RUNS = 8.0  # times its usual run time after which it surely was
LOSSY_SHARE = 0.08  # share of attempts surely lost of late, from which those that may be are taken for lost
SILENT_NOTE_PERIODS = 2.2  # periods of progress notes without one after which an attempt is lost


class LostAttemptDetector:
    """The share of attempts that were surely lost of late."""

    def __init__(self, settings: Settings) -> None:
        self._note_period_ms = settings.progress_interval_ms  # 0: there are no notes
        self.lost_share = 0.0

    def observe(self, attempt: Attempt, verdict: AttemptEnded) -> None:
        """Follow an attempt that was answered or timed out."""
        if verdict.outcome in (Outcome.SUCCESS, Outcome.TIMED_OUT):
            overdue = verdict.duration_ms > SURELY_LOST_RUNS * attempt.request.expected_run_ms()
            lost = (
                overdue
                and attempt.engine.last_answer_at > attempt.sent_at
                and verdict.outcome is Outcome.TIMED_OUT
            )
            self.lost_share += EWMA_WEIGHT * (lost - self.lost_share)

    def mark_lost(self, engines: list[Engine], now: float) -> list[Attempt]:
        """Mark the attempts that are lost by now, and return them."""
        if not self._note_period_ms and self.lost_share < LOSSY_SHARE:
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
        last_sign = max(attempt.sent_at, attempt.last_progress_at)
        silent_ms = now - last_sign
        most = (
            SILENT_NOTE_PERIODS * self._note_period_ms or MAYBE_LOST_RUNS * attempt.request.expected_run_ms()
        )
        return silent_ms >= most and attempt.engine.last_answer_at >= last_sign + silent_ms / 2
