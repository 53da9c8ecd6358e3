"""Aggregates the members' reports and this member's own observation into the status of the fleet.

Owns the last report of each member, the times at which each member was first and last heard from, and the engines that
this member has seen down. Does no I/O. Called by `orchestrator.py`. Times are ms on this member's monotonic clock
unless a name states otherwise.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from decklb.maintenance.fleet_status import FleetStatus, MachineStatus
from decklb.maintenance.messages import Report
from decklb.maintenance.plan import MANAGERS_ZONE, Plan, Stage
from decklb.maintenance.settings import MaintenanceSettings


@dataclass(slots=True)
class LocalObservation:
    """This member's own observation, updated at each tick."""

    in_flight: Mapping[str, int] = field(default_factory=dict)  # number of attempts by engine
    unreachable: frozenset[str] = frozenset()  # engines that this member cannot reach
    load_cores: Mapping[str, float] = field(default_factory=dict)  # load in cores by zone of the callers
    unhealthy_zones: frozenset[str] = frozenset()


class ReceivedReport(NamedTuple):
    """A member's newest report, and the time of its receipt."""

    report: Report
    received_at: float


def manager_machine(name: str) -> str:
    """Return the name of a manager as a machine of the plan."""
    return f"manager:{name}"


class FleetObserver:
    """One member's knowledge of the fleet.

    Attributes:
        engines: All engines on the endpoint list, with their zone and cores.
        alive: Names of the members alive, including this one.
        local: This member's own observation.
        seen_down: Engines that are out and that this member has seen down since they were taken out.
    """

    def __init__(self, settings: MaintenanceSettings, member: str, incarnation: int, now: float) -> None:
        self.engines: Mapping[str, MachineStatus] = {}
        self.alive: frozenset[str] = frozenset((member,))
        self.local = LocalObservation()
        self.seen_down: frozenset[str] = frozenset()
        self._settings, self._member, self._incarnation = settings, member, incarnation
        self._reports: dict[str, ReceivedReport] = {}
        self._known_since: dict[str, float] = {}  # by name of the other member
        self._process_known_since = {member: now}  # time of the first report of each member's current process

    def update_members(self, now: float, alive: Collection[str], known: Collection[str]) -> None:
        """Update the members that are alive, and all members that have not left."""
        self.alive = frozenset(alive) | {self._member}
        for name in [n for n in self._reports if n not in known]:
            del self._reports[name]
        self._known_since = {n: self._known_since.get(n, now) for n in known if n != self._member}

    def add_report(self, now: float, sender: str, report: Report) -> None:
        """Record another member's report."""
        previous = self._reports.get(sender)
        if previous is None or previous.report.incarnation != report.incarnation:
            self._process_known_since[sender] = now
        self._reports[sender] = ReceivedReport(report, now)

    def observe(self, local: LocalObservation) -> None:
        """Record this member's own observation."""
        self.local = local

    def track_seen_down(self, plan: Plan) -> None:
        """Remember which of the machines that are out have been seen down, even if only briefly."""
        out = {machine.name for machine in plan.machines_in((Stage.OUT,))}
        self.seen_down = frozenset(out & (self.seen_down | self.local.unreachable))

    def known_machines(self) -> Mapping[str, MachineStatus]:
        """Return all machines that a request may name."""
        return {**self.engines, **self._managers({name: r.report for name, r in self._reports.items()})}

    def fleet_status(
        self, now: float, unix_ms: float, plan: Plan, own_step_count: int, plan_known_for_ms: float
    ) -> FleetStatus:
        """Return the current status of the fleet, on which the next step of a plan is decided.

        Args:
            now: The current time.
            unix_ms: The current time by the wall clock.
            plan: The plan that the step would change.
            own_step_count: Step count of the newest plan that this member knows to be committed.
            plan_known_for_ms: How long this member has known that plan.
        """
        fresh = {
            name: received.report
            for name, received in self._reports.items()
            if now - received.received_at <= self._settings.report_ttl_ms
        }
        engines = {name: self._engine_status(engine, fresh.values()) for name, engine in self.engines.items()}
        return FleetStatus(
            round(unix_ms),
            engines | self._managers(fresh),
            self.local.load_cores,
            self.local.unhealthy_zones,
            own_step_count >= plan.step_count and self._known_to_others(now, plan, fresh),
            plan_known_for_ms,
            self._in_flight_certain(now),
        )

    def _engine_status(self, engine: MachineStatus, reports: Collection[Report]) -> MachineStatus:
        """Return the status of one engine as a majority of all members reports it.

        A member without a recent report is not counted as reaching the engine.
        """
        name = engine.name
        reachable_votes = sum(name not in r.unreachable for r in reports) + (name not in self.local.unreachable)
        seen_down_votes = sum(name in report.seen_down for report in reports) + (name in self.seen_down)
        in_flight = sum(report.in_flight.get(name, 0) for report in reports) + self.local.in_flight.get(name, 0)
        return MachineStatus(
            name,
            engine.zone,
            engine.cores,
            reachable=2 * reachable_votes > self._settings.member_count,
            in_flight=in_flight,
            seen_down=2 * seen_down_votes > self._settings.member_count,
        )

    def _managers(self, reports: Mapping[str, Report]) -> dict[str, MachineStatus]:
        incarnations = {name: report.incarnation for name, report in reports.items()}
        incarnations[self._member] = self._incarnation
        return {
            manager_machine(name): MachineStatus(
                manager_machine(name),
                MANAGERS_ZONE,
                cores=0.0,
                reachable=name in self.alive and name in incarnations,
                incarnation=incarnations.get(name, 0),
            )
            for name in {*incarnations, *self._known_since}
        }

    def _known_to_others(self, now: float, plan: Plan, fresh: Mapping[str, Report]) -> bool:
        """Return whether every other member that is not absent has reported this plan or a newer one."""
        return all(
            (name in fresh and fresh[name].step_count >= plan.step_count) or self._absent(name, now)
            for name in self._known_since
        )

    def _in_flight_certain(self, now: float) -> bool:
        """Return whether the current process of each member has been known for at least the drain timeout.

        By then the work of an earlier process, which the current one does not count, has ended.
        """
        return all(
            now - self._process_known_since.get(name, now) >= self._settings.drain_timeout_ms
            for name in {self._member, *self._known_since}
            if not self._absent(name, now)
        )

    def _absent(self, name: str, now: float) -> bool:
        """Return whether a member has not reported for so long that the plan no longer waits for it."""
        if name == self._member:
            return False
        received = self._reports.get(name)
        last_heard = self._known_since[name] if received is None else received.received_at
        return name not in self.alive and now - last_heard >= self._settings.absent_after_ms
