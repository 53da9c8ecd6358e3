"""Tenant queues and the weighted round robin that serves them.

From the feedback controlled scheduler (Krebs and Mehta, section II): each tenant has a queue, served oldest
first, and non-empty queues take turns by weight. Turns are kept as virtual time, as in weighted fair
queueing: serving a request moves its tenant's time on by the usual work of its class over the weight, so
that heavy classes pay for what they take. The gateway owns the scheduler; the weights are set by
`weight_controller.py`.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field

from decklb.interface import Settings, TenantSpec
from decklb.policy.constants import EWMA_WEIGHT, LONG_AGO
from decklb.policy.requests import Request
from decklb.policy.weight_controller import ControlState

ARRIVAL_WEIGHT = (
    6 * EWMA_WEIGHT
)  # weight of the last second in the arrival rate: about three seconds remembered
MIN_WEIGHT = 1e-6  # of a tenant, so that a turn stays finite


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
class Tenant:
    """A tenant's queue, its weight and what is measured of it."""

    spec: TenantSpec
    index: int  # in the order of the settings; those not listed come after
    weight: float
    queue: list[tuple[float, int, Request]] = field(default_factory=list)  # (arrived at, sequence, request)
    queued_by_class: dict[str, int] = field(default_factory=dict)
    virtual_time: float = 0.0
    quota: TokenBucket = field(default_factory=TokenBucket)
    arrivals: int = 0  # since the rate was last updated
    arrival_rate_per_s: float = 0.0
    control: ControlState = field(default_factory=ControlState)

    def push(self, request: Request) -> None:
        """Queue a request, oldest first."""
        request.queued = True
        name = request.spec.name
        self.queued_by_class[name] = self.queued_by_class.get(name, 0) + 1
        insort(self.queue, (request.arrived_at, request.sequence, request))

    def remove(self, request: Request) -> None:
        """Take a request out of the queue if it is there."""
        if request.queued:
            del self.queue[bisect_left(self.queue, (request.arrived_at, request.sequence))]
            request.queued = False
            self.queued_by_class[request.spec.name] -= 1

    def update_arrival_rate(self, span_ms: float) -> None:
        """Follow the rate of arrivals over the span since the last update."""
        weight = ARRIVAL_WEIGHT if self.arrival_rate_per_s else 1.0
        self.arrival_rate_per_s += weight * (self.arrivals * 1000 / span_ms - self.arrival_rate_per_s)
        self.arrivals = 0


class WeightedRoundRobin:
    """All tenants, in the order of the settings, and the virtual time of the last turn."""

    def __init__(self, settings: Settings) -> None:
        specs = settings.tenants or {"": TenantSpec("", 1.0)}
        self.tenants = {name: Tenant(spec, i, spec.share) for i, (name, spec) in enumerate(specs.items())}
        self._listed = len(self.tenants)
        self._virtual_time = 0.0

    def tenant(self, name: str) -> Tenant:
        """The tenant of that name; one that is not listed has no share and starts with an even weight."""
        if name not in self.tenants:
            index = len(self.tenants)
            self.tenants[name] = Tenant(TenantSpec(name, 0.0), index, 1.0 / (index + 1))
        return self.tenants[name]

    def has_queued(self) -> bool:
        """Whether any request waits in a queue."""
        return any(tenant.queue for tenant in self.tenants.values())

    def enqueue(self, request: Request) -> None:
        """Queue a request; an idle tenant saves up no turns."""
        tenant = request.tenant
        if not tenant.queue:
            tenant.virtual_time = max(tenant.virtual_time, self._virtual_time)
        tenant.push(request)

    def charge(self, request: Request) -> None:
        """Make a tenant pay for its turn, with the usual work of the request over the weight."""
        tenant = request.tenant
        self._virtual_time = max(self._virtual_time, tenant.virtual_time)
        tenant.virtual_time = self._virtual_time + request.expected_work_ms() / max(MIN_WEIGHT, tenant.weight)

    def listed_arrival_rates(self) -> list[float]:
        """Own arrivals a second of each tenant that the settings list."""
        return [tenant.arrival_rate_per_s for tenant in self.tenants.values()][: self._listed]
