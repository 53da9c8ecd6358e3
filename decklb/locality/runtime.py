"""The I/O of locality: cluster datagrams, health checks of engines, the clock and the log.

Owns the health observer, the zone coordinator, the zone selector, and the request rates from which this member's load
is estimated. The dispatcher asks it for the zone of each request and reports the end of each attempt to it. Created by
`daemon.assembly`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from typing import Any

from loguru import logger

from decklb.cluster.runtime import ClusterService, log_notices
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock, Timer
from decklb.interface import Endpoint, Outcome
from decklb.locality.coordinator import ZoneCoordinator
from decklb.locality.health_observer import ZoneHealthObserver, engine_capacities
from decklb.locality.messages import TOPIC
from decklb.locality.settings import LocalitySettings
from decklb.locality.zone_selector import ZoneSelector
from decklb.wire.health_check import Address, HealthChecker

LARGE_FLEET = 50  # members; above this each sends less often, so that the messages received per member stay constant
RATE_TIME_CONSTANT_MS = 3000.0  # time constant of the moving average of the request rates
MIN_ANSWERS = 10  # number of answers of a class from which its work estimate is used
REPORT_INTERVAL_MS = 1000.0  # ms between two reports to the policy that the same engine is unreachable
MS_PER_SECOND = 1000


class LocalityService:
    """The locality subsystem of one member; implements `core.ports.ZoneRouter` for the dispatcher."""

    def __init__(
        self,
        clock: Clock,
        settings: LocalitySettings,
        cluster: ClusterService,
        dispatcher: Dispatcher,
        health_checker: HealthChecker,
    ) -> None:
        self.clock, self.settings, self.cluster = clock, settings, cluster
        self.dispatcher, self.health_checker = dispatcher, health_checker
        member = cluster.settings.member
        self.observer = ZoneHealthObserver(settings, member)
        self.coordinator = ZoneCoordinator(settings, member, clock.now())
        self.selector = ZoneSelector(settings, dispatcher.settings.classes, dispatcher.settings.cores_by_kind)
        self.addresses: Mapping[str, Address] = {}
        self.timer: Timer | None = None
        self._request_counts: Counter[str] = Counter()  # requests since the last tick, by class
        self._request_rates: dict[str, float] = {}  # requests per second, by class
        self._load_estimated_at = clock.now()
        self._reported_at: dict[str, float] = {}  # time of the last report to the policy, by unreachable engine
        self._unknown_zones: set[str] = set()  # zones without a region that have been logged
        self.closed = False

    def start(self) -> None:
        """Start receiving datagrams, routing requests and ticking."""
        self.cluster.subscribe(TOPIC, self._receive)
        self.dispatcher.zone_router = self
        self._schedule_tick()

    def update_engines(self, endpoints: list[Endpoint], addresses: Mapping[str, Address]) -> None:
        """Apply a new endpoint list."""
        self.addresses = addresses
        self.observer.update_engines(engine_capacities(endpoints, self.dispatcher.settings.cores_by_kind))
        self.selector.update_engines(endpoints)
        for zone in sorted(
            {endpoint.zone for endpoint in endpoints} - self.selector.region_of.keys() - self._unknown_zones
        ):
            self._unknown_zones.add(zone)
            logger.warning(
                "zone {zone!r} is in no <region>: it is treated as a region of its own, and its state is never decided",
                event="zone-unknown",
                zone=zone,
            )

    def route(self, request_class: str) -> tuple[str, Collection[str] | None]:
        """Return the preferred zone and all allowed zones for one request; see `core.ports.ZoneRouter`."""
        self._request_counts[request_class] += 1
        statistics = self.dispatcher.gateway.statistics.get(request_class)
        spec = self.dispatcher.settings.classes.get(request_class)
        # The average work of a request of the class: its minimum would overdraw the recovery budget of a zone.
        work_ms = statistics.run_ms * spec.threads if statistics is not None and spec is not None else 0.0
        return self.selector.select(self.clock.now(), request_class, work_ms, self.coordinator)

    def attempt_ended(self, engine_id: str, request_class: str, outcome: Outcome, duration_ms: float) -> None:
        """Record the result of an attempt; see `core.ports.ZoneRouter`."""
        self.observer.attempt_ended(self.clock.now(), engine_id, request_class, outcome, duration_ms)

    def status(self) -> dict[str, Any]:
        """Return zones, quorum and this member's request counts, for operators. The keys are a public interface."""
        coordinator = self.coordinator
        return {
            "zones": coordinator.status(self.clock.now()),
            "alone": coordinator.decides_alone,
            "members": len(coordinator.consensus.known),
            "quorum": coordinator.consensus.quorum,
            "dropped": coordinator.dropped,
            "unreached": self.observer.unreachable_engines(),
            **self.selector.counts,
        }

    def close(self) -> None:
        """Shut down; requests that still arrive may go to any zone."""
        self.closed = True
        self.dispatcher.zone_router = None
        self.cluster.unsubscribe(TOPIC)
        if self.timer is not None:
            self.timer.cancel()
        self.health_checker.close()

    @property
    def _member_count(self) -> int:
        return len(self.coordinator.consensus.known)

    def _schedule_tick(self) -> None:
        interval_ms = self.settings.tick_ms * max(1.0, self._member_count / LARGE_FLEET)
        self.timer = self.clock.call_later(interval_ms, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = self.clock.now()
        self.coordinator.update_members(self.cluster.node.known_members())
        for zone in self.coordinator.consensus.zones:
            observation = self.observer.observation(zone, now)
            if observation is not None:
                self.coordinator.observe(now, zone, observation)
        self.coordinator.own_load_cores = self._estimate_load_cores(now)
        self.coordinator.tick(now)
        self._send_and_log()
        self._check_health(now)
        self._report_unreachable(now)
        self._schedule_tick()

    def _send_and_log(self) -> None:
        datagrams, self.coordinator.outgoing = self.coordinator.outgoing, []
        for datagram in datagrams:
            self.cluster.send_user_message(TOPIC, datagram)
        notices, self.coordinator.notices = self.coordinator.notices, []
        log_notices("locality", notices)

    def _estimate_load_cores(self, now: float) -> float:
        """Estimate the load of this member's own callers in cores, from the policy's work estimate of each class."""
        elapsed_ms, self._load_estimated_at = max(1.0, now - self._load_estimated_at), now
        weight, load_cores = 1 - math.exp(-elapsed_ms / RATE_TIME_CONSTANT_MS), 0.0
        for name, statistics in self.dispatcher.gateway.statistics.items():
            rate = self._request_rates.get(name, 0.0)
            rate += weight * (MS_PER_SECOND * self._request_counts[name] / elapsed_ms - rate)
            self._request_rates[name] = rate
            load_cores += rate * statistics.work_ms / MS_PER_SECOND if statistics.answers >= MIN_ANSWERS else 0.0
        self._request_counts.clear()
        return load_cores

    def _check_health(self, now: float) -> None:
        for engine in self.observer.take_due_health_checks(now, self._member_count):
            if (address := self.addresses.get(engine)) is not None:
                on_result = self._on_health_check_result(engine, now)
                self.health_checker.check(engine, address, self.settings.health_check_timeout_ms, on_result)

    def _on_health_check_result(self, engine: str, started_at: float) -> Callable[[bool], None]:
        def on_result(answered: bool) -> None:
            if not self.closed:
                now = self.clock.now()
                self.observer.health_check_ended(now, engine, answered, now - started_at)

        return on_result

    def _report_unreachable(self, now: float) -> None:
        """Report unreachable engines to the policy, so that no request is sent there just to fail."""
        unreachable = set(self.observer.unreachable_engines())
        self._reported_at = {engine: at for engine, at in self._reported_at.items() if engine in unreachable}
        for engine in unreachable:
            if now - self._reported_at.get(engine, -REPORT_INTERVAL_MS) >= REPORT_INTERVAL_MS:
                self._reported_at[engine] = now
                self.dispatcher.health_checked(engine, Outcome.UNREACHABLE)

    def _receive(self, sender: str, data: bytes) -> None:
        self.coordinator.receive(self.clock.now(), sender, data)
