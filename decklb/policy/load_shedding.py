"""Load shedding: limits each tenant's queue to what its turns can serve within the latency objectives.

The requests of least value per thread-millisecond are rejected first (value-based admission control); one
request per tenant may always wait. Stateless; called by the gateway after each round of sending.
"""

from __future__ import annotations

from collections.abc import Iterator

from decklb.interface import Settings
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.concurrency import ConcurrencyLimit
from decklb.policy.queueing import TenantQueue
from decklb.policy.records import Request

MAX_QUEUE_FRACTION = 0.5  # largest queueing time, as a fraction of the shortest latency objective


class LoadShedder:
    """Selects the requests to reject."""

    def __init__(self, settings: Settings, statistics: dict[str, ClassStatistics]) -> None:
        self._settings, self._statistics = settings, statistics
        self._max_queue_ms = MAX_QUEUE_FRACTION * min(
            spec.latency_objective_ms for spec in settings.classes.values()
        )

    def excess(self, queues: list[TenantQueue], limit: ConcurrencyLimit, now: float) -> Iterator[Request]:
        """Yield the requests beyond the limit, by tenant.

        The caller removes each request from its queue before it takes the next.
        """
        capacity_ms = self._max_queue_ms * limit.thread_limit * limit.factor  # of all queues, in thread-ms
        weights = sum(queue.tenant.weight for queue in queues if queue.requests) or 1.0
        for queue in queues:
            excess_ms = self._queued_thread_ms(queue) - capacity_ms * queue.tenant.weight / weights
            if excess_ms <= 0 or capacity_ms <= 0:
                continue
            queued = [request for _, _, request in queue.requests]
            for request in sorted(queued, key=lambda r: (self._value(r, now), r.sequence))[:-1]:
                if excess_ms > 0:
                    excess_ms -= request.expected_run_ms() * request.spec.threads
                    yield request

    def _queued_thread_ms(self, queue: TenantQueue) -> float:
        """Return the expected thread-ms of a queue.

        Computed by class if there are no work estimates: in a flood of requests this runs at each step.
        """
        statistics, classes = self._statistics, self._settings.classes
        if any(statistics[name].mean_estimate for name in queue.count_by_class):
            return sum(request.expected_run_ms() * request.spec.threads for _, _, request in queue.requests)
        return sum(
            count * statistics[name].run_ms * classes[name].threads
            for name, count in queue.count_by_class.items()
        )

    def _value(self, request: Request, now: float) -> float:
        """Return the value of an answer per thread-millisecond."""
        value = request.spec.priority_weight * (
            self._settings.over_quota_weight if request.over_quota else 1.0
        )
        if now - request.arrived_at > request.spec.latency_objective_ms:
            value *= request.spec.late_priority_weight
        return value / (request.expected_run_ms() * request.spec.threads)
