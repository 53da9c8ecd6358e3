"""Tenants: what is known and measured of each. Their queues are in `queueing.py`.

The scheduler makes them; the gateway counts arrivals and answers, the weight controller sets the weights.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from decklb.interface import TenantSpec
from decklb.policy.constants import EWMA_WEIGHT, LONG_AGO

ARRIVAL_WEIGHT = 6 * EWMA_WEIGHT  # weight of the last second in the arrival rate: remembers about three


@dataclass(slots=True, eq=False)
class TokenBucket:
    """A quota in requests a second, of which a second's worth may come at once."""

    tokens: float = 0.0
    filled_at: float = LONG_AGO

    def take(self, rate_per_s: float, now: float) -> bool:
        """Take a token; False if there is none."""
        most = max(1.0, rate_per_s)
        self.tokens = min(most, self.tokens + rate_per_s * (now - self.filled_at) / 1000)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@dataclass(slots=True, eq=False)
class ControlState:
    """A tenant's answers in this period, and the integral of its error."""

    answers: int = 0
    latency_sum_ms: float = 0.0
    objective_sum_ms: float = 0.0
    integral: float = 0.0

    def record_answer(self, latency_ms: float, objective_ms: float) -> None:
        """Count an answer; only answers are throughput, not what was rejected or timed out and came back."""
        self.answers += 1
        self.latency_sum_ms += latency_ms
        self.objective_sum_ms += objective_ms

    def start_period(self) -> None:
        """Forget this period's answers."""
        self.answers, self.latency_sum_ms, self.objective_sum_ms = 0, 0.0, 0.0


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant as this gateway knows it."""

    spec: TenantSpec
    index: int  # in the order of the settings; those not listed come after
    weight: float  # of its turns
    quota: TokenBucket = field(default_factory=TokenBucket)
    control: ControlState = field(default_factory=ControlState)
    arrivals: int = 0  # since the rate was last updated
    arrival_rate_per_s: float = 0.0

    def update_arrival_rate(self, span_ms: float) -> None:
        """Follow the rate of arrivals over the span since the last update."""
        weight = ARRIVAL_WEIGHT if self.arrival_rate_per_s else 1.0
        self.arrival_rate_per_s += weight * (self.arrivals * 1000 / span_ms - self.arrival_rate_per_s)
        self.arrivals = 0
