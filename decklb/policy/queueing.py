"""Queues of the tenants, and the weighted round robin that serves them.

After the feedback-controlled scheduler of Krebs and Mehta, section II: each tenant has a queue, served oldest
first, and non-empty queues take turns by weight. Turns are tracked as virtual time, as in weighted fair
queueing: each request served advances the virtual time of its queue by the usual work of its class over the
weight, so that tenants pay for heavy requests. The gateway owns the scheduler; `weight_controller.py` sets
the weights.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from dataclasses import dataclass, field

from decklb.interface import Settings, TenantSpec
from decklb.policy.records import Request
from decklb.policy.tenants import Tenant

MAX_UNLISTED_TENANTS = 16  # tenants with a queue of their own that the settings do not list
OTHER_TENANTS = ""  # name of the tenant that stands for all further ones
MIN_WEIGHT = 1e-6  # lower bound of a tenant's weight in a turn, which keeps the virtual time finite


@dataclass(slots=True, eq=False)
class TenantQueue:
    """The requests of one tenant that wait to be sent."""

    tenant: Tenant
    # Time of arrival in ms, sequence number and request, in ascending order
    requests: list[tuple[float, int, Request]] = field(default_factory=list)
    count_by_class: dict[str, int] = field(default_factory=dict)
    virtual_time: float = 0.0  # total work in ms over weight of all turns so far

    def add(self, request: Request) -> None:
        """Insert a request by its time of arrival."""
        request.queued = True
        name = request.spec.name
        self.count_by_class[name] = self.count_by_class.get(name, 0) + 1
        insort(self.requests, (request.arrived_at, request.sequence, request))

    def remove(self, request: Request) -> None:
        """Remove a request that is in the queue."""
        del self.requests[bisect_left(self.requests, (request.arrived_at, request.sequence))]
        request.queued = False
        self.count_by_class[request.spec.name] -= 1


class WeightedRoundRobin:
    """The queues of all tenants, in the order of the settings, and the virtual time of the last turn."""

    def __init__(self, settings: Settings) -> None:
        specs = settings.tenants or {"": TenantSpec("", 1.0)}
        self.queues = {
            name: TenantQueue(Tenant(spec, i, spec.share)) for i, (name, spec) in enumerate(specs.items())
        }
        self._listed_count = len(self.queues)
        self._virtual_time = 0.0

    def tenant(self, name: str) -> Tenant:
        """Return the tenant of that name.

        A tenant that is not listed in the settings has no share and starts with an even weight. Beyond
        MAX_UNLISTED_TENANTS they are one tenant, since clients choose their names.
        """
        if name not in self.queues and len(self.queues) >= self._listed_count + MAX_UNLISTED_TENANTS:
            name = OTHER_TENANTS
        if name not in self.queues:
            index = len(self.queues)
            self.queues[name] = TenantQueue(Tenant(TenantSpec(name, 0.0), index, 1.0 / (index + 1)))
        return self.queues[name].tenant

    def tenants(self) -> list[Tenant]:
        """Return all tenants."""
        return [queue.tenant for queue in self.queues.values()]

    def has_queued(self) -> bool:
        """Return whether any request is queued."""
        return any(queue.requests for queue in self.queues.values())

    def enqueue(self, request: Request) -> None:
        """Queue a request; a tenant does not save up turns while its queue is empty."""
        queue = self.queues[request.tenant.spec.name]
        if not queue.requests:
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        queue.add(request)

    def remove(self, request: Request) -> None:
        """Remove a request from its queue if it is queued."""
        if request.queued:
            self.queues[request.tenant.spec.name].remove(request)

    def charge(self, queue: TenantQueue, request: Request) -> None:
        """Advance a queue's virtual time by the expected work of the request over the weight."""
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        turn = request.expected_work_ms() / max(MIN_WEIGHT, queue.tenant.weight)
        queue.virtual_time = self._virtual_time + turn

    def listed_arrival_rates(self) -> list[float]:
        """Return the arrivals per second at this gateway of each tenant listed in the settings."""
        return [tenant.arrival_rate_per_s for tenant in self.tenants()[: self._listed_count]]
