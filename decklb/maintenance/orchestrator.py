"""One member's part in the maintenance plan: operators' requests, the steps of the plan, reports to the other members.

Any member accepts operators' requests. One member, the driver, does the steps of the plan: the first of the members
alive by a hash of their names, so that another takes over at once if it is lost. If two members both consider
themselves the driver, the register serializes their proposals, and a step that is already done has no effect when it
is applied to the newer plan.

Owns this member's replica of the register and its fleet observer. Driven by `runtime.py`, which passes in the time,
datagrams and observations. Does no I/O.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from typing import Any
from zlib import crc32

from decklb.cluster.errors import WireError
from decklb.cluster.notices import Notice
from decklb.maintenance.errors import PlanTooLargeError
from decklb.maintenance.fleet_observer import FleetObserver, LocalObservation, manager_machine
from decklb.maintenance.fleet_status import FleetStatus, MachineStatus
from decklb.maintenance.messages import (
    MAX_REPORTED_ENGINES,
    Message,
    Reassembler,
    Report,
    decode_plan,
    encode_fragments,
    encode_plan,
)
from decklb.maintenance.operator_requests import MaintenanceRequest, add_job, cancel_job, mark_returned
from decklb.maintenance.paxos_messages import AcceptorState, Committed
from decklb.maintenance.plan import DISRUPTED_STAGES, MANAGERS_ZONE, UNAVAILABLE_STAGES, Plan
from decklb.maintenance.plan_events import PlanEvents
from decklb.maintenance.proposer import ValueCodec
from decklb.maintenance.replicated_register import ReplicatedRegister
from decklb.maintenance.scheduling import advance
from decklb.maintenance.settings import MaintenanceSettings
from decklb.maintenance.status import status_report

PlanCallback = Callable[[Plan | Exception], None]
STEP_DEADLINE_FACTOR = 12  # deadline of a step in round timeouts: enough for three rounds with backoff
REPORT_EVERY_TICKS = 4  # ticks between two reports if nothing has changed
MESSAGE_ID_RANDOM_BITS = 31  # random bits of the first message id, so that processes of a member use different ids
MESSAGE_ID_COUNT_BITS = 20  # bits below the random ones, for counting up from the first id


class MaintenanceOrchestrator:
    """Runs the maintenance plan for one member.

    Attributes:
        register: This member's replica of the plan.
        observer: This member's knowledge of the fleet.
        outgoing: Pairs (member, datagram) to send; member "" stands for all other members.
        notices: Events to log.
        counts: Number of steps committed (`steps`) and not committed (`undecided`), and of datagrams dropped by reason.
    """

    def __init__(
        self,
        settings: MaintenanceSettings,
        member: str,
        incarnation: int,
        rng: random.Random,
        now: float,
        state: AcceptorState | None = None,
        persist: Callable[[AcceptorState], bool] = lambda _state: True,
    ) -> None:
        """Start a member.

        Args:
            settings: The disruption budget and the timeouts.
            member: This member's name.
            incarnation: Random number that identifies this run of the member's process.
            rng: Source of jitter and message ids.
            now: The current time in ms.
            state: See ReplicatedRegister.
            persist: See ReplicatedRegister.
        """
        codec, member_count = ValueCodec(Plan(), encode_plan, decode_plan), settings.member_count
        self.register: ReplicatedRegister[Plan] = ReplicatedRegister(
            member, codec, member_count, settings.round_timeout_ms, rng, now, state, persist
        )
        self.observer = FleetObserver(settings, member, incarnation, now)
        self.outgoing: list[tuple[str, bytes]] = []
        self.notices: list[Notice] = []
        self.counts: Counter[str] = Counter()
        self._settings, self._member, self._incarnation = settings, member, incarnation
        self._reassembler = Reassembler()
        self._message_id = rng.getrandbits(MESSAGE_ID_RANDOM_BITS) << MESSAGE_ID_COUNT_BITS
        self._last_report: Report | None = None
        self._ticks = 0
        self._events = PlanEvents()
        self._plan_known_since = now  # time at which this member learned of the current plan
        self._restart_claimed = False
        self._now = now
        self._unix_offset_ms = 0.0  # wall clock minus monotonic clock

    @property
    def plan(self) -> Plan:
        """The newest plan that this member knows to be committed."""
        return self.register.committed

    @property
    def driver(self) -> str:
        """The member that does the steps of the plan, from this member's view."""
        return min(self.observer.alive, key=lambda name: (crc32(f"plan/{name}".encode()), name))

    def request_maintenance(self, request: MaintenanceRequest, deadline: float, on_result: PlanCallback) -> None:
        """Add a job that takes machines out for maintenance.

        Args:
            request: The job and its machines.
            deadline: Time (ms) after which the request is abandoned.
            on_result: Called with the changed plan or a MaintenanceError.
        """
        known = self.observer.known_machines()
        window_ms = round(request.window_ms or self._settings.default_window_ms)
        retained = self._settings.retained_jobs
        self.register.propose(
            lambda plan: add_job(plan, request.job_id, request.targets, request.reason, window_ms, known, retained),
            on_result,
            deadline,
        )

    def cancel(self, job_id: str, unix_ms: float, deadline: float, on_result: PlanCallback) -> None:
        """Cancel a job at once."""
        self.register.propose(lambda plan: cancel_job(plan, job_id, round(unix_ms)), on_result, deadline)

    def mark_returned(self, name: str, unix_ms: float, deadline: float, on_result: PlanCallback) -> None:
        """Mark a machine as returned: an operator reports that the work on it is done."""
        self.register.propose(lambda plan: mark_returned(plan, name, round(unix_ms)), on_result, deadline)

    def update_members(self, now: float, alive: Collection[str], known: Collection[str]) -> None:
        """Update the members that are alive, and all members that have not left."""
        self.observer.update_members(now, alive, known)

    def update_engines(self, engines: Mapping[str, MachineStatus]) -> None:
        """Replace the engines of the endpoint list, with their zone and cores."""
        self.observer.engines = engines

    def receive(self, now: float, sender: str, data: bytes) -> None:
        """Process another member's datagram; one that cannot be decoded is counted and otherwise ignored."""
        self._now = now
        try:
            message = self._reassembler.receive(sender, data)
            if isinstance(message, Report):
                self._on_report(now, sender, message)
            elif message is not None:
                self.register.receive(now, sender, message)
        except WireError as error:
            self.counts[f"dropped-{error.reason}"] += 1
        self._send_register_messages()

    def tick(self, now: float, unix_ms: float, local: LocalObservation) -> None:
        """Do all work that is due; the caller has to empty `outgoing` and `notices` afterwards."""
        self.observer.observe(local)
        self._ticks += 1
        self.register.tick(now)
        self._now, self._unix_offset_ms = now, unix_ms - now
        self.observer.track_seen_down(self.plan)
        self._propose_step(now)
        self._report()
        self._send_register_messages()
        if self._events.changed(self.plan):
            self._plan_known_since = now
        self.notices += self._events.notices(self.plan, round(unix_ms))

    def unavailable_machines(self) -> frozenset[str]:
        """Return the machines that no work may be sent to.

        This includes those of a plan that is accepted here and not known to be committed, as it may be committed.
        """
        return self.plan.unavailable_machines() | self.register.newest.unavailable_machines()

    def checked_engines(self) -> frozenset[str]:
        """Return the engines whose health is checked for the plan: those that are draining, out or warming."""
        disrupted = self.plan.machines_in(DISRUPTED_STAGES)
        return frozenset(machine.name for machine in disrupted if machine.zone != MANAGERS_ZONE)

    def claim_restart(self) -> bool:
        """Return whether this manager has to restart now: true only once, and only for the planned incarnation."""
        machine = self.plan.active_machine(manager_machine(self._member))
        if machine is None or self._restart_claimed:
            return False
        if machine.stage not in UNAVAILABLE_STAGES or machine.incarnation != self._incarnation:
            return False
        self._restart_claimed = True
        return True

    def fleet_status(self, now: float, unix_ms: float, plan: Plan) -> FleetStatus:
        """Return the current status of the fleet, on which the next step of a plan is decided."""
        known_for_ms = now - self._plan_known_since
        return self.observer.fleet_status(now, unix_ms, plan, self.plan.step_count, known_for_ms)

    def status(self, now: float, unix_ms: float) -> dict[str, Any]:
        """Return the plan and this member's view of it, for operators."""
        return status_report(
            self.plan,
            round(unix_ms),
            driver=self.driver,
            plan_known_to_all=self.fleet_status(now, unix_ms, self.plan).plan_known_to_all,
            recovering=self.register.recovering,
            committed_ballot=self.register.committed_ballot,
            machines=self.observer.known_machines(),
            counts=self.counts,
        )

    def _on_report(self, now: float, sender: str, report: Report) -> None:
        self.observer.add_report(now, sender, report)
        if report.committed_ballot < self.register.committed_ballot:  # the sender has missed the newest plan
            self._send(sender, Committed(self.register.committed_ballot, encode_plan(self.plan)))

    def _propose_step(self, now: float) -> None:
        idle = not self.register.recovering and not self.register.busy
        if idle and self.driver == self._member and self._next_plan(self.plan) is not self.plan:
            deadline = now + STEP_DEADLINE_FACTOR * self._settings.round_timeout_ms
            self.register.propose(self._next_plan, self._count_step, deadline)

    def _next_plan(self, plan: Plan) -> Plan:
        """Return the plan after the next step; uses the current fleet status, as the proposal may have been queued."""
        fleet = self.fleet_status(self._now, self._now + self._unix_offset_ms, plan)
        return advance(plan, fleet, self._settings)

    def _count_step(self, result: Plan | Exception) -> None:
        self.counts["steps" if isinstance(result, Plan) else "undecided"] += 1

    def _report(self) -> None:
        """Send a report to all other members: at once if it has changed, else every REPORT_EVERY_TICKS ticks."""
        local, engines = self.observer.local, self.observer.engines
        unavailable = self.plan.unavailable_machines()
        report = Report(
            self.plan.step_count,
            self.register.committed_ballot,
            self._incarnation,
            {name: count for name, count in local.in_flight.items() if name in unavailable and count},
            sorted(name for name in local.unreachable if name in engines)[:MAX_REPORTED_ENGINES],
            sorted(self.observer.seen_down),
        )
        if report != self._last_report or self._ticks % REPORT_EVERY_TICKS == 0:
            self._last_report = report
            self._send("", report)

    def _send_register_messages(self) -> None:
        messages, self.register.outgoing = self.register.outgoing, []
        for member, message in messages:
            self._send(member, message)

    def _send(self, member: str, message: Message) -> None:
        self._message_id += 1
        try:
            self.outgoing += [(member, datagram) for datagram in encode_fragments(self._message_id, message)]
        except PlanTooLargeError as error:
            self.notices.append(Notice("maintenance-plan-too-large", {"error": str(error)}))
