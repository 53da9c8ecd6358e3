"""The budget of a zone that returns, as a token bucket in ms of work.

Requests come in bursts, and a cold zone has nothing to spare for them. One bucket for each zone that returns; owned and
called by `zone_selector.py`.
"""

from __future__ import annotations

from dataclasses import dataclass

BURST_MS = 250.0  # of the budget that may be spent at once


@dataclass(slots=True)
class RecoveryBudget:
    """What this member's callers may send to a zone that returns."""

    tokens_ms: float = 0.0  # of work
    refilled_at: float = 0.0

    def try_spend(self, now: float, cores: float, work_ms: float) -> bool:
        """Whether one more request may go, at a budget of that many cores. One of any size may be saved for."""
        limit = max(work_ms, cores * BURST_MS)
        self.tokens_ms = min(limit, self.tokens_ms + cores * max(0.0, now - self.refilled_at))
        self.refilled_at = now
        if self.tokens_ms < work_ms:
            return False
        self.tokens_ms -= work_ms
        return True
