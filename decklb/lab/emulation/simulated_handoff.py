"""Handoff's coordinators on a simulated network.

Members die, return without memory, are cut off or held up, and clients come back with their keys.

`HandoffSimulation` owns the members, the network, stand-in engines, clients and faults; tests play it by seed: the same
seed, the same run. It records what clients saw and what engines executed, and `checks.execution_verdict` judges that.

Messages between two members come in order on a connection, late by chance; a broken connection loses what is under way.
What a member believes of the others lags behind the truth, and is wrong now and then. Each clock starts elsewhere.

By default faults strike one at a time, with time between two for whoever came back to remember enough; then nothing may
be lost. `harsh` strikes more often than the records' replicas can bear: requests may then be lost, but never doubled.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from decklb.handoff.admission_result import AdmissionResult, AdmissionState
from decklb.handoff.coordinator import HandoffCoordinator
from decklb.handoff.member_state import RequestRunner
from decklb.handoff.records import Outcome, Record, fingerprint
from decklb.handoff.settings import HandoffSettings
from decklb.interface import Effect
from decklb.lab.checks.execution_verdict import ClientRecord, ExecutionEvent, FinalAnswer, Verdict, judge

TICK_MS = 25.0  # between ticks of a coordinator
VIEW_PERIOD_MS = 100.0  # between updates of a member's view of who is alive
DETECTION_DELAY_MS = (300.0, 900.0)  # by which a member sees late that another has gone
CANCEL_DELAY_MS = 60.0  # for an engine to heed that an execution is cancelled
FALSE_SUSPICION = 0.01  # chance, at an update, that a member takes a living one for dead
REPEATABLE_CLASS = "read"
AT_MOST_ONCE_CLASS = "load"
MESSAGE_DELAY_MS = 4.0  # mean
FAULT_MS = (500.0, 2500.0)  # that a fault lasts
HARSH_FAULTS = 6
CLIENT_SLACK_MS = 500.0  # after its deadline in which a client still takes an answer
CLIENT_PATIENCE_MS = (200.0, 1000.0)  # one of these: for an answer from one member
CLIENT_BACKOFF_MS = (50.0, 150.0)
ASK_AGAIN_CHANCE = 0.3  # that a client asks once more after its final answer
SHORT_WORK_MS = (5.0, 20.0, 80.0)  # of a statement, beside the longest
LONGEST_WORK_MS = 1500.0  # in runs with long statements
LONGEST_SHORT_WORK_MS = 150.0  # in all others
SETTINGS = HandoffSettings(
    fleet_size=3,
    lease_ms=600.0,
    heartbeat_interval_ms=100.0,
    quorum_timeout_ms=300.0,
    resend_interval_ms=60.0,
    claim_stagger_ms=250.0,
    max_budget_ms=4000.0,
    answer_retention_ms=1500.0,
)


class HandoffSimulation:
    """All members, the network between them, engines, clients and faults.

    Attributes:
        now: Simulated time, in ms.
        members: By name.
        cut: Pairs of members without a connection.
        gone_since: When a member went, or was cut off.
        events: What engines executed.
        clients: What clients saw.
        long_statements: Whether statements may run for longer than a takeover takes.
    """

    def __init__(
        self,
        seed: int,
        members: int = 3,
        span: float = 8000.0,
        rate: float = 10.0,
        settings: HandoffSettings = SETTINGS,
        coordinator: type[HandoffCoordinator] = HandoffCoordinator,
        harsh: bool = False,
    ) -> None:
        self.rng, self.settings, self.make_coordinator = random.Random(seed), settings, coordinator
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.names = [f"m{i}" for i in range(members)]
        self.members: dict[str, SimulatedMember] = {}
        self.cut: set[tuple[str, ...]] = set()
        self.gone_since: dict[str, float] = {}
        self.events: list[ExecutionEvent] = []
        self.clients: list[ClientRecord] = []
        self.executions = 0
        warm_up_ms = settings.record_lifetime_ms + 100.0
        for name in self.names:
            self.members[name] = SimulatedMember(self, name)
        at = warm_up_ms
        while (at := at + self.rng.expovariate(rate / 1000.0)) < warm_up_ms + span:
            self.at(at, self._new_client)
        # An execution that lasts and can't be cancelled overlaps any takeover: long ones go without held-up members.
        self.long_statements = self.rng.random() < 0.5
        self.fault_kinds: tuple[str, ...] = ("kill", "cut", "cut-one")
        if not self.long_statements:
            self.fault_kinds += ("held-up",)
        for _ in range(HARSH_FAULTS if harsh else 1):
            start = warm_up_ms + self.rng.uniform(0, span if harsh else span / 2)
            self.at(start, partial(self._strike, self.rng.choice(self.names), self.rng.uniform(*FAULT_MS)))
        self.end = warm_up_ms + span + settings.record_lifetime_ms

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Make a call at that simulated time, in ms."""
        heapq.heappush(self._heap, (when, next(self._order), call))

    def run(self) -> Verdict:
        """Play to the end, and judge what clients saw and engines executed."""
        while self._heap and self._heap[0][0] < self.end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        return judge(self.clients, self.events, AT_MOST_ONCE_CLASS)

    # Faults.

    def _strike(self, name: str, duration_ms: float) -> None:
        kind = self.rng.choice(self.fault_kinds)
        member = self.members[name]
        if member.dead or member.held_until > self.now:
            return
        others = [n for n in self.names if n != name]
        if kind == "kill":
            member.dead, self.gone_since[name] = True, self.now
            for key in list(member.running):
                member.running[key].cancel()  # engines cancel what a client that ended leaves, late as ever
            for other in others:
                self.disconnect(name, other)
            self.at(self.now + duration_ms, partial(self._restart, name))
        elif kind == "held-up":  # it runs no step, and what comes waits for it
            member.held_until = self.now + duration_ms
            self.gone_since[name] = self.now
            self.at(member.held_until, partial(self._heal, name, []))
        else:
            targets = others if kind == "cut" else others[:1]
            pairs = [tuple(sorted((name, other))) for other in targets]
            self.cut.update(pairs)
            for pair in pairs:
                self.disconnect(*pair)
            if kind == "cut":
                self.gone_since[name] = self.now
            self.at(self.now + duration_ms, partial(self._heal, name, pairs))

    def _heal(self, name: str, pairs: list[tuple[str, ...]]) -> None:
        self.cut.difference_update(pairs)
        self.gone_since.pop(name, None)

    def _restart(self, name: str) -> None:
        self.gone_since.pop(name, None)
        self.members[name] = SimulatedMember(self, name)

    def disconnect(self, first: str, second: str) -> None:
        """Break the connection of two members."""
        for name, peer in ((first, second), (second, first)):
            member = self.members[name]
            if member.arrivals.pop(peer, None) is not None:
                member.coordinator.disconnected(peer)

    # Clients and engines.

    def _new_client(self) -> None:
        number = len(self.clients)
        class_name = self.rng.choice((REPEATABLE_CLASS, AT_MOST_ONCE_CLASS))
        budget_ms = self.settings.max_budget_ms
        due_s = (self.now + budget_ms + CLIENT_SLACK_MS) / 1000
        client = ClientRecord(f"k{number}", class_name, self.now / 1000, due_s)
        self.clients.append(client)
        longest_ms = LONGEST_WORK_MS if self.long_statements else LONGEST_SHORT_WORK_MS
        self._try(client, self.now + budget_ms, self.rng.choice((*SHORT_WORK_MS, longest_ms)))

    def _try(self, client: ClientRecord, deadline: float, work_ms: float) -> None:
        """Let a client ask any member, and come back where it gets no final answer."""
        if self.now / 1000 > client.due_s or len(client.final_answers) > 1:
            return
        member = self.members[self.rng.choice(self.names)]
        again = partial(self._try, client, deadline, work_ms)
        if member.dead or self.now < member.held_until:
            return self.at(self.now + 100.0, again)
        client.tries += 1
        this_try, patience_ms = client.tries, self.rng.choice(CLIENT_PATIENCE_MS)
        client.last = member.name

        def answered(state: str, answer: str) -> None:
            if this_try != client.tries or member.dead:  # the client has gone elsewhere
                return
            if state in ("served", "failed"):
                client.final_answers.append(FinalAnswer(state, answer, self.now / 1000))
                if self.rng.random() < ASK_AGAIN_CHANCE:
                    self.at(self.now + self.rng.uniform(10, 800), again)
            else:
                self.at(self.now + self.rng.uniform(*CLIENT_BACKOFF_MS), again)

        def leave() -> None:
            if this_try == client.tries and not client.final_answers:
                client.unanswered_tries += 1
                again()

        self.at(self.now + patience_ms, leave)
        member.take(client.key, client.class_name, deadline - self.now, work_ms, answered)

    def execute(self, key: str, manager: str, work_ms: float, done: Callable[[str], None]) -> Callable[[], None]:
        """Run a statement at the engine; return what cancels it, which the engine heeds after a while."""
        self.executions += 1
        number, manager_index = self.executions, self.names.index(manager)
        self.events.append(ExecutionEvent("start", key, number, manager_index, self.now, "e"))
        ended = False

        def end(row: str) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            self.events.append(ExecutionEvent("end", key, number, manager_index, self.now, "e"))
            if row:
                done(row)

        self.at(self.now + work_ms, partial(end, f"{key}/{number}"))
        return lambda: self.at(self.now + CANCEL_DELAY_MS, partial(end, ""))


@dataclass(slots=True)
class RunningRequest:
    """A request that a member runs.

    Attributes:
        work_ms: Of its statement.
        answer: Called with the state and the row of an answer for the client.
        stopped: Whether the member has given it up.
        cancel: Cancels what runs at the engine.
    """

    work_ms: float
    answer: Callable[[str, str], None] = field(default=lambda state, row: None)
    stopped: bool = False
    cancel: Callable[[], None] = field(default=lambda: None)


class SimulatedMember:
    """One member's coordinator, its view of the others, and the requests that it runs.

    Attributes:
        dead: Whether it was killed; a restart makes a new member of its name.
        held_until: Until when it runs no step and what arrives waits.
        clock_offset_ms: Of its own clock.
        arrivals: Peers it is connected to, and when the last message to each arrives.
        incarnation: Number that tells its starts apart.
        running: Requests that it runs, by key.
    """

    def __init__(self, simulation: HandoffSimulation, name: str) -> None:
        self.simulation, self.name = simulation, name
        self.dead, self.held_until = False, 0.0
        self.clock_offset_ms = simulation.rng.uniform(0, 1e6)
        self.arrivals: dict[str, float] = {}
        self.incarnation = 1 + simulation.rng.getrandbits(40)
        self.running: dict[str, RunningRequest] = {}
        self.coordinator = simulation.make_coordinator(
            simulation.settings,
            name,
            self.incarnation,
            self.incarnation,
            0.0,
            random.Random(simulation.rng.random()),
            self.clock(),
            RequestRunner(self.adopt, self.stop),
        )
        simulation.at(simulation.now, self.update_view)
        simulation.at(simulation.now + simulation.rng.uniform(0, TICK_MS), self.tick)

    def clock(self) -> float:
        """Return this member's own clock, in ms."""
        return self.simulation.now + self.clock_offset_ms

    def tick(self) -> None:
        """Tick the coordinator, unless the member is held up."""
        if self.dead:
            return
        self.simulation.at(max(self.held_until, self.simulation.now + TICK_MS), self.tick)
        if self.simulation.now >= self.held_until:
            self.coordinator.tick(self.clock())
            self.pump()

    def update_view(self) -> None:
        """Update who is alive, as this member believes, and make connections that can be made."""
        simulation = self.simulation
        if self.dead:
            return
        simulation.at(max(self.held_until, simulation.now + VIEW_PERIOD_MS), self.update_view)
        alive = {}
        for name, member in simulation.members.items():
            if self._believes_alive(name):
                alive[name] = member.incarnation
        alive[self.name] = self.incarnation
        self.coordinator.update_members(self.clock(), alive, simulation.names)
        for name, member in simulation.members.items():
            connectable = not member.dead and (self.name, name) not in simulation.cut
            if self.name < name and name not in self.arrivals and connectable:
                self._connect(member)
        self.pump()

    def _believes_alive(self, name: str) -> bool:
        simulation = self.simulation
        gone_since = simulation.gone_since.get(name, simulation.now)
        detected = gone_since + simulation.rng.uniform(*DETECTION_DELAY_MS) < simulation.now
        cut_off_itself = self.name in simulation.gone_since and name != self.name
        return not (detected or cut_off_itself or simulation.rng.random() < FALSE_SUSPICION)

    def _connect(self, other: SimulatedMember) -> None:
        for member, peer in ((self, other), (other, self)):
            member.arrivals[peer.name] = self.simulation.now
            member.coordinator.connected(member.clock(), peer.name, peer.incarnation, peer.incarnation)
            member.pump()

    def pump(self) -> None:
        """Send what the coordinator has to say to its peers, in order on each connection."""
        simulation, out = self.simulation, self.coordinator.take_outbox()
        for peer, message in out:
            if peer in self.arrivals:
                drawn_ms = simulation.now + simulation.rng.expovariate(1 / MESSAGE_DELAY_MS)
                self.arrivals[peer] = max(self.arrivals[peer], drawn_ms)
                deliver = partial(self._deliver, simulation.members[peer], message)
                simulation.at(self.arrivals[peer], deliver)
        self.coordinator.take_events()

    def _deliver(self, target: SimulatedMember, message: Any) -> None:
        simulation = self.simulation
        restarted = simulation.members[target.name] is not target
        if target.name not in self.arrivals or restarted or target.dead or self.dead:
            return  # the connection has broken meanwhile
        if simulation.now < target.held_until:  # it waits in the buffer, in order with all that comes after it
            return simulation.at(target.held_until, partial(self._deliver, target, message))
        target.coordinator.receive(target.clock(), self.name, message)
        target.pump()

    # Requests.

    def take(
        self, key: str, class_name: str, budget_ms: float, work_ms: float, answer: Callable[[str, str], None]
    ) -> None:
        """Take a request from a client; `answer` is called with what became of it."""
        effect = Effect.UNSAFE if class_name == AT_MOST_ONCE_CLASS else Effect.SAFE
        record = Record(key, "", 0, 0, "t", class_name, effect, self.clock() + budget_ms, fingerprint(key.encode()))

        def done(result: AdmissionResult) -> None:
            if result.state is AdmissionState.ADMITTED:
                self._run(key, RunningRequest(work_ms, answer))
            elif result.state is AdmissionState.ANSWERED:
                answer("served" if result.outcome is Outcome.SERVED else "failed", result.answer.decode())
            else:
                answer(result.state.value, "")

        self.coordinator.admit(self.clock(), record, str(work_ms).encode(), done)
        self.pump()

    def adopt(self, record: Record, body: bytes) -> None:
        """Run a request that was taken over."""
        if self.clock() < record.deadline_ms:
            self._run(record.key, RunningRequest(float(body)))
        else:
            self.coordinator.complete(self.clock(), record.key, Outcome.FAILED, b"", "deadline", lambda ok: None)

    def stop(self, key: str) -> None:
        """Give up a request that this member may not act on."""
        if (request := self.running.pop(key, None)) is not None:
            request.stopped = True
            request.cancel()
            request.answer("running", "")

    def _run(self, key: str, request: RunningRequest) -> None:
        self.running[key] = request
        record = self.coordinator.table.get(key)
        if record is not None:
            self.simulation.at(
                self.simulation.now + record.deadline_ms - self.clock(), partial(self._deadline_passed, key, request)
            )

        def allowed(ok: bool) -> None:
            if ok and not request.stopped:
                request.cancel = self.simulation.execute(
                    key, self.name, request.work_ms, lambda row: self._answered(key, request, row)
                )
            elif not request.stopped:
                request.answer("running", "")

        self.coordinator.begin_attempt(self.clock(), key, "e", allowed)
        self.pump()

    def _deadline_passed(self, key: str, request: RunningRequest) -> None:
        """Fail a request whose time is over, as the dispatcher would."""
        if self.dead or request.stopped or self.running.get(key) is not request:
            return
        if self.simulation.now < self.held_until:
            return self.simulation.at(self.held_until, partial(self._deadline_passed, key, request))
        del self.running[key]
        request.stopped = True
        request.cancel()
        self.coordinator.complete(
            self.clock(),
            key,
            Outcome.FAILED,
            b"",
            "deadline",
            lambda ok: request.answer("failed" if ok else "running", ""),
        )
        self.pump()

    def _answered(self, key: str, request: RunningRequest, row: str) -> None:
        if self.dead or request.stopped:
            return
        if self.simulation.now < self.held_until:
            return self.simulation.at(self.held_until, partial(self._answered, key, request, row))
        if self.running.get(key) is request:
            del self.running[key]
        self.coordinator.complete(
            self.clock(),
            key,
            Outcome.SERVED,
            row.encode(),
            "",
            lambda ok: request.answer("served" if ok else "running", row if ok else ""),
        )
        self.pump()


def play(seed: int, members: int = 3, **options: Any) -> Verdict:
    """Play one seed; options are those of `HandoffSimulation`."""
    return HandoffSimulation(seed, members, **options).run()
