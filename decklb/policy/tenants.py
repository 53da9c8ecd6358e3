"""Tenants: their settings and measurements. Their queues are in `queueing.py`.

The scheduler creates them; the gateway counts arrivals and answers, the weight controller sets the weights.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from decklb.interface import TenantSpec
from decklb.policy.constants import EWMA_WEIGHT, LONG_AGO

ARRIVAL_WEIGHT = 6 * EWMA_WEIGHT  # weight of the last second in the arrival rate: covers about three


@dataclass(slots=True, eq=False)
class TokenBucket:
    """A quota in requests per second, with bursts of up to one second's quota."""

    tokens: float = 0.0
    filled_at: float = LONG_AGO  # time of the last refill in ms

    def take(self, rate_per_s: float, now: float) -> bool:
        """Take a token; return False if there is none."""
        capacity = max(1.0, rate_per_s)
        self.tokens = min(capacity, self.tokens + rate_per_s * (now - self.filled_at) / 1000)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True, eq=False)
class ControlState:
    """State of the weight controller for one tenant: answers of this period, integral of the error."""

    answers: int = 0
    latency_sum_ms: float = 0.0
    objective_sum_ms: float = 0.0
    integral: float = 0.0

    def record_answer(self, latency_ms: float, objective_ms: float) -> None:
        """Count an answer.

        Only answers count as throughput, not requests that were rejected or timed out and were sent again.
        """
        self.answers += 1
        self.latency_sum_ms += latency_ms
        self.objective_sum_ms += objective_ms

    def start_period(self) -> None:
        """Reset the counts for a new period."""
        self.answers, self.latency_sum_ms, self.objective_sum_ms = 0, 0.0, 0.0


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant as this gateway knows it."""

    spec: TenantSpec
    index: int  # position in the settings; tenants that are not listed come after
    weight: float  # weight of its turns
    quota: TokenBucket = field(default_factory=TokenBucket)
    control: ControlState = field(default_factory=ControlState)
    arrivals: int = 0  # requests since the last update of the rate
    arrival_rate_per_s: float = 0.0

    def update_arrival_rate(self, interval_ms: float) -> None:
        """Update the arrival rate with the arrivals of the last interval."""
        weight = ARRIVAL_WEIGHT if self.arrival_rate_per_s else 1.0
        self.arrival_rate_per_s += weight * (self.arrivals * 1000 / interval_ms - self.arrival_rate_per_s)
        self.arrivals = 0
