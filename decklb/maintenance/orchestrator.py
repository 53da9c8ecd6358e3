"""One member's part in the maintenance plan: operators' requests, the steps of the plan, reports to the other members.

Any member takes an operator's request. One member does the steps, the first by a hash of names among those alive, so
that the loss of one moves the duty at once; should two believe that it is theirs, the register makes one line of what
both propose, and a step that was done is none on the plan as it then is.

Owns this member's replica of the register and its fleet observer. Driven by `runtime.py` with the time, datagrams and
observations; free of I/O.
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

PlanResult = Callable[[Plan | Exception], None]
STEP_DEADLINE_FACTOR = 12  # times the round timeout: three rounds, each longer than the one before
REPORT_EVERY_TICKS = 4  # of a member that has nothing new to report
MESSAGE_ID_RANDOM_BITS = 31  # of the first message id, so that two processes of a member share none
MESSAGE_ID_COUNT_BITS = 20  # left for counting from there


class MaintenanceOrchestrator:
    """One member.

    Attributes:
        register: The replica of the plan.
        observer: What is known of the fleet.
        outgoing: (member, datagram) to be sent; member "" is all others.
        notices: For the log.
        counts: Steps proposed and datagrams dropped, by name.
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
        """Starts a member.

        Args:
            settings: The budget and the timeouts.
            member: This member's name.
            incarnation: Random number of this run of its process.
            rng: For jitter and message ids.
            now: The time, ms.
            state, persist: See ReplicatedRegister.
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
        self._plan_known_since = now  # when this member came to know the plan as it stands
        self._restart_claimed = False
        self._now = now
        self._unix_offset_ms = 0.0  # of the wall clock to the monotonic one

    @property
    def plan(self) -> Plan:
        """The newest plan that this member knows to be committed."""
        return self.register.committed

    @property
    def driver(self) -> str:
        """The member that does the steps, as this one sees it."""
        return min(self.observer.alive, key=lambda name: (crc32(f"plan/{name}".encode()), name))

    def request_maintenance(self, request: MaintenanceRequest, deadline: float, on_result: PlanResult) -> None:
        """Take machines out.

        Args:
            request: The job and its machines.
            deadline: Time (ms) past which the request is given up.
            on_result: Told the plan, or a MaintenanceError.
        """
        known = self.observer.known_machines()
        window_ms = round(request.window_ms or self._settings.default_window_ms)
        retained = self._settings.retained_jobs
        self.register.propose(
            lambda plan: add_job(plan, request.job_id, request.targets, request.reason, window_ms, known, retained),
            on_result,
            deadline,
        )

    def cancel(self, job_id: str, unix_ms: float, deadline: float, on_result: PlanResult) -> None:
        """End a job at once."""
        self.register.propose(lambda plan: cancel_job(plan, job_id, round(unix_ms)), on_result, deadline)

    def mark_returned(self, name: str, unix_ms: float, deadline: float, on_result: PlanResult) -> None:
        """Report that the work on a machine is done."""
        self.register.propose(lambda plan: mark_returned(plan, name, round(unix_ms)), on_result, deadline)

    def update_members(self, now: float, alive: Collection[str], known: Collection[str]) -> None:
        """Take over who is alive, and all members that have not left."""
        self.observer.update_members(now, alive, known)

    def update_engines(self, engines: Mapping[str, MachineStatus]) -> None:
        """Take over the engines of the endpoint list, with their zone and cores."""
        self.observer.engines = engines

    def receive(self, now: float, sender: str, data: bytes) -> None:
        """Handle another member's datagram; one that can't be read is counted and changes nothing."""
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
        """Carry out what is due; `outgoing` and `notices` are to be emptied after it."""
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
        """Machines that no work may be sent to, also by a plan that is accepted here and may come to be committed."""
        return self.plan.unavailable_machines() | self.register.newest.unavailable_machines()

    def checked_engines(self) -> frozenset[str]:
        """Engines whose health is checked for the plan: those unavailable or just back."""
        disrupted = self.plan.machines_in(DISRUPTED_STAGES)
        return frozenset(machine.name for machine in disrupted if machine.zone != MANAGERS_ZONE)

    def claim_restart(self) -> bool:
        """Whether this manager is to end now for a restart: true once, and only for the planned incarnation."""
        machine = self.plan.active_machine(manager_machine(self._member))
        if machine is None or self._restart_claimed:
            return False
        if machine.stage not in UNAVAILABLE_STAGES or machine.incarnation != self._incarnation:
            return False
        self._restart_claimed = True
        return True

    def fleet_status(self, now: float, unix_ms: float, plan: Plan) -> FleetStatus:
        """What is known now, for a step on a plan."""
        known_for_ms = now - self._plan_known_since
        return self.observer.fleet_status(now, unix_ms, plan, self.plan.step_count, known_for_ms)

    def status(self, now: float, unix_ms: float) -> dict[str, Any]:
        """The plan and this member's view of it, for operators."""
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
        if report.committed_ballot < self.register.committed_ballot:  # it missed the newest
            self._send(sender, Committed(self.register.committed_ballot, encode_plan(self.plan)))

    def _propose_step(self, now: float) -> None:
        idle = not self.register.recovering and not self.register.busy
        if idle and self.driver == self._member and self._next_plan(self.plan) is not self.plan:
            deadline = now + STEP_DEADLINE_FACTOR * self._settings.round_timeout_ms
            self.register.propose(self._next_plan, self._count_step, deadline)

    def _next_plan(self, plan: Plan) -> Plan:
        """The next step by what is known when it is asked for: a proposal may have waited."""
        fleet = self.fleet_status(self._now, self._now + self._unix_offset_ms, plan)
        return advance(plan, fleet, self._settings)

    def _count_step(self, result: Plan | Exception) -> None:
        self.counts["steps" if isinstance(result, Plan) else "undecided"] += 1

    def _report(self) -> None:
        """Report to all others, at once where anything is new."""
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
