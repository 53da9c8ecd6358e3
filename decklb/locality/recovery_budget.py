"""The budget of a returning zone: a token bucket whose tokens are ms of work.

Requests arrive in bursts, and a zone that has just returned has no spare capacity to absorb them. `zone_selector.py`
keeps one bucket for each returning zone.
"""

from __future__ import annotations

from dataclasses import dataclass

BURST_MS = 250.0  # ms for which unused budget accumulates


@dataclass(slots=True)
class RecoveryBudget:
    """The work that this member's callers may send to one returning zone."""

    tokens_ms: float = 0.0  # ms of work
    refilled_at: float = 0.0

    def try_spend(self, now: float, cores: float, work_ms: float) -> bool:
        """Spend the work of one request, and return whether the budget covered it.

        The bucket refills at `cores` ms of work per ms. Its size is at least `work_ms`, so that tokens can accumulate
        for a request of any size.
        """
        limit = max(work_ms, cores * BURST_MS)
        self.tokens_ms = min(limit, self.tokens_ms + cores * max(0.0, now - self.refilled_at))
        self.refilled_at = now
        if self.tokens_ms < work_ms:
            return False
        self.tokens_ms -= work_ms
        return True
