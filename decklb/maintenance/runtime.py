"""The I/O of maintenance: cluster datagrams, health checks of engines, the clock, the log and the store.

Owns the orchestrator, its timer, the health checks of engines in the plan, and the store if the settings name a folder.
Applies the plan to the endpoint list (`apply_plan`), and restarts this manager when the plan requires it. Created by
`daemon.assembly`; the management listener passes operators' requests to it.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.defer import Deferred

from decklb.cluster.runtime import ClusterService, log_notices, unix_time_ms
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock, Timer
from decklb.interface import Endpoint
from decklb.locality.health_observer import engine_capacities
from decklb.locality.runtime import LocalityService
from decklb.maintenance.endpoint_overlay import EndpointOverlay
from decklb.maintenance.errors import MaintenanceError
from decklb.maintenance.fleet_observer import LocalObservation
from decklb.maintenance.fleet_status import MachineStatus
from decklb.maintenance.health_checks import PlanHealthChecks
from decklb.maintenance.messages import TOPIC
from decklb.maintenance.operator_requests import MaintenanceRequest
from decklb.maintenance.orchestrator import MaintenanceOrchestrator, PlanCallback
from decklb.maintenance.paxos_messages import AcceptorState
from decklb.maintenance.plan import Plan
from decklb.maintenance.settings import MaintenanceSettings
from decklb.wire.health_check import Address, HealthChecker

if TYPE_CHECKING:
    from decklb.maintenance.store import PlanStore

REQUEST_TIMEOUT_MS = 8000.0  # ms after which a request fails with QuorumUnavailableError
INCARNATION_BITS = 48


class MaintenanceService:
    """The maintenance subsystem of one member."""

    def __init__(
        self,
        clock: Clock,
        settings: MaintenanceSettings,
        cluster: ClusterService,
        locality: LocalityService,
        dispatcher: Dispatcher,
        health_checker: HealthChecker,
        on_plan_changed: Callable[[], None],
        restart: Callable[[], None],
    ) -> None:
        """Create the orchestrator from the stored state, if there is any.

        Args:
            clock: Monotonic time and timers.
            settings: See MaintenanceSettings.
            cluster: Transports the datagrams, and supplies the members.
            locality: Supplies the states and loads of zones, and the unreachable engines.
            dispatcher: Supplies the attempts in flight.
            health_checker: Checks the engines in the plan.
            on_plan_changed: Called when the endpoint list has to be applied again.
            restart: Shuts this manager down gracefully; its supervisor starts it again.

        Raises:
            PlanStoreError: The folder of the store cannot be used.
        """
        self.clock, self.settings, self.cluster, self.locality = clock, settings, cluster, locality
        self.dispatcher, self.health_checker = dispatcher, health_checker
        self.on_plan_changed, self.restart = on_plan_changed, restart
        self.store = self._open_store()
        self._store_failing = False  # the last write failed
        self.orchestrator = MaintenanceOrchestrator(
            settings,
            cluster.settings.member,
            random.SystemRandom().getrandbits(INCARNATION_BITS) or 1,
            random.Random(os.urandom(16)),
            clock.now(),
            None if self.store is None else self.store.read(),
            self._persist,
        )
        self.addresses: Mapping[str, Address] = {}
        self.timer: Timer | None = None
        self._health_checks = PlanHealthChecks()
        self._overlay = EndpointOverlay()
        self.closed = False

    def start(self) -> None:
        """Start receiving datagrams and ticking."""
        self.cluster.subscribe(TOPIC, self._receive)
        self._schedule_tick()

    def apply_plan(self, endpoints: list[Endpoint], addresses: Mapping[str, Address]) -> list[Endpoint]:
        """Return the endpoint list with the changes of the plan: engines are draining or in slow start."""
        self.addresses = addresses
        engines = engine_capacities(endpoints, self.dispatcher.settings.cores_by_kind)
        self.orchestrator.update_engines(
            {name: MachineStatus(name, capacity.zone, capacity.cores) for name, capacity in engines.items()}
        )
        return self._overlay.apply(endpoints, self.orchestrator.unavailable_machines())

    def request_maintenance(self, request: Mapping[str, Any]) -> Deferred[dict[str, int]]:
        """Add a job that takes machines out for maintenance.

        Args:
            request: See MaintenanceRequest.parse.

        Returns:
            A deferred that fires with the number of steps done so far, or fails with MaintenanceError.

        Raises:
            InvalidRequestError: The request is malformed.
        """
        parsed = MaintenanceRequest.parse(request)
        return self._propose(
            lambda deadline, on_result: self.orchestrator.request_maintenance(parsed, deadline, on_result)
        )

    def cancel(self, request: Mapping[str, Any]) -> Deferred[dict[str, int]]:
        """Cancel the job named by the field `job` at once; see `request_maintenance` for the result."""
        job_id = str(request.get("job", ""))
        return self._propose(
            lambda deadline, on_result: self.orchestrator.cancel(job_id, unix_time_ms(), deadline, on_result)
        )

    def mark_returned(self, request: Mapping[str, Any]) -> Deferred[dict[str, int]]:
        """Mark the machine named by the field `machine` as returned; see `request_maintenance` for the result."""
        name = str(request.get("machine", ""))
        return self._propose(
            lambda deadline, on_result: self.orchestrator.mark_returned(name, unix_time_ms(), deadline, on_result)
        )

    def status(self) -> dict[str, Any]:
        """Return the plan and this member's view of it, for operators."""
        return self.orchestrator.status(self.clock.now(), unix_time_ms())

    def close(self) -> None:
        """Shut down."""
        self.closed = True
        self.cluster.unsubscribe(TOPIC)
        if self.timer is not None:
            self.timer.cancel()
        self.health_checker.close()
        if self.store is not None:
            self.store.close()
            self.store = None

    def _open_store(self) -> PlanStore | None:
        if not self.settings.data_directory:
            return None
        from decklb.maintenance.store import PlanStore

        return PlanStore(self.settings.data_directory, self.cluster.settings.member)

    def _persist(self, state: AcceptorState) -> bool:
        """Write the state if the settings name a folder, and return whether the member may rely on it.

        A member that cannot write its state rejects all proposals.
        """
        if self.store is None:
            return not self.settings.data_directory  # with a folder, the store is already closed
        try:
            self.store.write(state)
        except MaintenanceError as error:
            if not self._store_failing:
                logger.error(
                    "cannot write the store of the maintenance plan, so this member rejects all proposals: {error}",
                    event="maintenance-store-failed",
                    error=str(error),
                )
            self._store_failing = True
            return False
        self._store_failing = False
        return True

    def _propose(self, propose: Callable[[float, PlanCallback], None]) -> Deferred[dict[str, int]]:
        result: Deferred[dict[str, int]] = Deferred()

        def on_result(plan: Plan | Exception) -> None:
            if isinstance(plan, Plan):
                result.callback({"steps": plan.step_count})
            else:
                result.errback(plan)

        propose(self.clock.now() + REQUEST_TIMEOUT_MS, on_result)
        return result

    def _schedule_tick(self) -> None:
        self.timer = self.clock.call_later(self.settings.tick_ms, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = self.clock.now()
        self.orchestrator.update_members(
            now, self.cluster.node.membership.live_names(), self.cluster.node.known_members()
        )
        checked = self.orchestrator.checked_engines()
        self.orchestrator.tick(now, unix_time_ms(), self._observe(now, checked))
        self._check_health(checked)
        self._send_and_log()
        self._follow_plan(now)
        if not self.closed:  # the restart of this manager may have closed this service
            self._schedule_tick()

    def _observe(self, now: float, checked: frozenset[str]) -> LocalObservation:
        """Return this member's own observation; engines in the plan are checked here, all others by locality."""
        engines = self.dispatcher.gateway.engines.by_id
        in_flight = {name: len(engine.attempts) for name, engine in engines.items() if engine.attempts}
        self._health_checks.retain(checked)
        unreachable = self._health_checks.unreachable()
        unreachable |= {name for name in self.locality.observer.unreachable_engines() if name not in checked}
        coordinator = self.locality.coordinator
        return LocalObservation(
            in_flight, frozenset(unreachable), coordinator.load_cores(now), coordinator.unhealthy_zones()
        )

    def _check_health(self, engines: frozenset[str]) -> None:
        for name in self._health_checks.due(engines):
            if (address := self.addresses.get(name)) is not None:
                self._health_checks.started(name)
                on_result = partial(self._on_health_check_result, name)
                self.health_checker.check(name, address, self.settings.tick_ms, on_result)

    def _on_health_check_result(self, name: str, answered: bool) -> None:
        if not self.closed:
            self._health_checks.ended(name, answered)

    def _follow_plan(self, now: float) -> None:
        """Apply the plan to the endpoint list, and restart this manager if the plan requires it."""
        if self._overlay.update_plan(now, self.orchestrator.plan, self.orchestrator.unavailable_machines()):
            self.on_plan_changed()
        if self.orchestrator.claim_restart():
            logger.info("restarting this manager according to the maintenance plan", event="maintenance-restart")
            self.restart()

    def _receive(self, sender: str, data: bytes) -> None:
        self.orchestrator.receive(self.clock.now(), sender, data)
        self._send_and_log()

    def _send_and_log(self) -> None:
        datagrams, self.orchestrator.outgoing = self.orchestrator.outgoing, []
        for member, datagram in datagrams:
            self.cluster.send_user_message(TOPIC, datagram, member)
        notices, self.orchestrator.notices = self.orchestrator.notices, []
        log_notices("maintenance", notices)
