"""Load shedding: keeps each tenant's queue as short as its turns drain it within the latency objectives.

What is worth least per thread-millisecond goes first (value-based admission control); one request may
always wait. No state of its own; called by the gateway after each release.
"""

from __future__ import annotations

from collections.abc import Iterator

from decklb.interface import Settings
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.concurrency import ConcurrencyLimit
from decklb.policy.queueing import TenantQueue
from decklb.policy.records import Request

MAX_QUEUE_SHARE = 0.5  # share of the shortest objective that a queue may last before it is shed


class LoadShedder:
    """Picks the requests that are to be rejected."""

    def __init__(self, settings: Settings, statistics: dict[str, ClassStatistics]) -> None:
        self._settings, self._statistics = settings, statistics
        self._max_queue_ms = MAX_QUEUE_SHARE * min(
            spec.latency_objective_ms for spec in settings.classes.values()
        )

    def excess(self, queues: list[TenantQueue], limit: ConcurrencyLimit, now: float) -> Iterator[Request]:
        """Yield what is over, tenant by tenant; the caller takes each out of its queue before the next."""
        most_ms = self._max_queue_ms * limit.thread_limit * limit.factor  # thread-ms of all queues together
        weights = sum(queue.tenant.weight for queue in queues if queue.requests) or 1.0
        for queue in queues:
            over_ms = self._queued_thread_ms(queue) - most_ms * queue.tenant.weight / weights
            if over_ms <= 0 or most_ms <= 0:
                continue
            queued = [request for _, _, request in queue.requests]
            for request in sorted(queued, key=lambda r: (self._value(r, now), r.sequence))[:-1]:
                if over_ms > 0:
                    over_ms -= request.expected_run_ms() * request.spec.threads
                    yield request

    def _queued_thread_ms(self, queue: TenantQueue) -> float:
        """By class where there are no cost estimates: under a flood this is computed at each step."""
        known, classes = self._statistics, self._settings.classes
        if any(known[name].mean_cost for name in queue.count_by_class):
            return sum(request.expected_run_ms() * request.spec.threads for _, _, request in queue.requests)
        return sum(
            count * known[name].run_ms * classes[name].threads for name, count in queue.count_by_class.items()
        )

    def _value(self, request: Request, now: float) -> float:
        """Worth per thread-millisecond."""
        worth = request.spec.priority_weight * (
            self._settings.over_quota_weight if request.over_quota else 1.0
        )
        if now - request.arrived_at > request.spec.latency_objective_ms:
            worth *= request.spec.late_priority_weight
        return worth / (request.expected_run_ms() * request.spec.threads)
