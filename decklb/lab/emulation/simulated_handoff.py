"""Handoff coordinators on a simulated network with faults.

Members crash, restart without their memory, are partitioned or paused, and clients send their requests again with the
same idempotency key.

`HandoffSimulation` contains the members, the network, stand-in engines, clients and faults; the same seed yields the
same run. It records what clients saw and what engines executed, and `checks.execution_verdict` judges the record.

Messages between two members arrive in order on a connection, with random delays; a broken connection loses the messages
in transit. A member's view of the others lags behind and is occasionally wrong. The clocks of members have different
offsets.

By default there is one fault per run, and no request may be lost: the replicas of the records tolerate one fault at a
time, if a restarted member has time to learn the records again before the next one. With `harsh` there are more faults
than they tolerate: requests may then be lost, but must never be executed or answered twice.
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

TICK_MS = 25.0  # time between two ticks of a coordinator
VIEW_PERIOD_MS = 100.0  # time between two updates of a member's view of which members are alive
DETECTION_DELAY_MS = (300.0, 900.0)  # range of the delay until a member notices that another has failed
CANCEL_DELAY_MS = 60.0  # time until an engine stops a cancelled execution
FALSE_SUSPICION = 0.01  # probability at each update that a running member is considered dead
REPEATABLE_CLASS = "read"
AT_MOST_ONCE_CLASS = "load"
MESSAGE_DELAY_MS = 4.0  # mean of an exponential distribution
FAULT_DURATION_MS = (500.0, 2500.0)  # range
HARSH_FAULTS = 6  # number of faults in a harsh run
CLIENT_SLACK_MS = 500.0  # time after its deadline during which a client still accepts an answer
CLIENT_TIMEOUT_MS = (200.0, 1000.0)  # each try waits for one of these times, drawn at random, for the member's answer
CLIENT_BACKOFF_MS = (50.0, 150.0)  # range
REPEAT_PROBABILITY = 0.3  # probability that a client sends the request once more after its final answer
# The work of a statement is one of SHORT_WORK_MS or the longest work of the run, drawn at random.
SHORT_WORK_MS = (5.0, 20.0, 80.0)
LONGEST_WORK_MS = 1500.0  # longest work in runs with long statements
LONGEST_SHORT_WORK_MS = 150.0  # longest work in all other runs
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
        rng: Random generator of the run.
        settings: Handoff settings of all members.
        make_coordinator: Class of the members' coordinators.
        now: Simulated time in ms.
        names: Names of all members.
        members: Members by name.
        partitioned_pairs: Pairs of members that cannot connect to each other.
        unavailable_since: Time at which a member was killed, paused or isolated, by name.
        events: Start and end of each execution at the engines.
        clients: What clients saw.
        executions: Number of executions so far.
        long_statements: Whether statements may run for longer than a takeover takes.
        fault_kinds: Kinds of faults of this run.
        end: Simulated time at which the run ends.
    """

    def __init__(
        self,
        seed: int,
        members: int = 3,
        load_duration_ms: float = 8000.0,
        requests_per_second: float = 10.0,
        settings: HandoffSettings = SETTINGS,
        coordinator: type[HandoffCoordinator] = HandoffCoordinator,
        harsh: bool = False,
    ) -> None:
        """Set up a run.

        Args:
            seed: Seed of all random draws.
            members: Number of members.
            load_duration_ms: Time in ms during which clients send requests.
            requests_per_second: Mean rate of new requests.
            settings: Handoff settings of all members.
            coordinator: Class of the members' coordinators.
            harsh: Whether there are more faults than the replicas can tolerate.
        """
        self.rng, self.settings, self.make_coordinator = random.Random(seed), settings, coordinator
        self.now = 0.0
        self._call_heap: list[tuple[float, int, Callable[[], None]]] = []
        self._call_order = itertools.count()
        self.names = [f"m{i}" for i in range(members)]
        self.members: dict[str, SimulatedMember] = {}
        self.partitioned_pairs: set[tuple[str, ...]] = set()
        self.unavailable_since: dict[str, float] = {}
        self.events: list[ExecutionEvent] = []
        self.clients: list[ClientRecord] = []
        self.executions = 0
        warm_up_ms = settings.record_lifetime_ms + 100.0
        for name in self.names:
            self.members[name] = SimulatedMember(self, name)
        arrival_ms = warm_up_ms
        while (
            arrival_ms := arrival_ms + self.rng.expovariate(requests_per_second / 1000.0)
        ) < warm_up_ms + load_duration_ms:
            self.at(arrival_ms, self._new_client)
        # A paused member cannot cancel its executions. A long one would overlap with the execution after a takeover,
        # so runs with long statements have no pauses.
        self.long_statements = self.rng.random() < 0.5
        self.fault_kinds: tuple[str, ...] = ("kill", "cut", "cut-one")
        if not self.long_statements:
            self.fault_kinds += ("held-up",)
        for _ in range(HARSH_FAULTS if harsh else 1):
            start = warm_up_ms + self.rng.uniform(0, load_duration_ms if harsh else load_duration_ms / 2)
            self.at(
                start, partial(self._inject_fault, self.rng.choice(self.names), self.rng.uniform(*FAULT_DURATION_MS))
            )
        self.end = warm_up_ms + load_duration_ms + settings.record_lifetime_ms

    def at(self, time_ms: float, callback: Callable[[], None]) -> None:
        """Schedule a call of `callback` at a simulated time in ms."""
        heapq.heappush(self._call_heap, (time_ms, next(self._call_order), callback))

    def run(self) -> Verdict:
        """Run to the end and judge what clients saw and engines executed."""
        while self._call_heap and self._call_heap[0][0] < self.end:
            self.now, _, callback = heapq.heappop(self._call_heap)
            callback()
        return judge(self.clients, self.events, AT_MOST_ONCE_CLASS)

    # Faults.

    def _inject_fault(self, name: str, duration_ms: float) -> None:
        kind = self.rng.choice(self.fault_kinds)
        member = self.members[name]
        if member.killed or member.paused_until > self.now:
            return
        others = [n for n in self.names if n != name]
        if kind == "kill":
            member.killed, self.unavailable_since[name] = True, self.now
            for key in list(member.running):
                member.running[key].cancel()  # engines cancel the work of a killed member, with the usual delay
            for other in others:
                self.disconnect(name, other)
            self.at(self.now + duration_ms, partial(self._restart, name))
        elif kind == "held-up":  # a paused member takes no step, and its incoming messages wait
            member.paused_until = self.now + duration_ms
            self.unavailable_since[name] = self.now
            self.at(member.paused_until, partial(self._heal, name, []))
        else:
            targets = others if kind == "cut" else others[:1]
            pairs = [tuple(sorted((name, other))) for other in targets]
            self.partitioned_pairs.update(pairs)
            for pair in pairs:
                self.disconnect(*pair)
            if kind == "cut":
                self.unavailable_since[name] = self.now
            self.at(self.now + duration_ms, partial(self._heal, name, pairs))

    def _heal(self, name: str, pairs: list[tuple[str, ...]]) -> None:
        self.partitioned_pairs.difference_update(pairs)
        self.unavailable_since.pop(name, None)

    def _restart(self, name: str) -> None:
        self.unavailable_since.pop(name, None)
        self.members[name] = SimulatedMember(self, name)

    def disconnect(self, first: str, second: str) -> None:
        """Break the connection between two members."""
        for name, peer in ((first, second), (second, first)):
            member = self.members[name]
            if member.last_arrival_ms.pop(peer, None) is not None:
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
        self._send_request(client, self.now + budget_ms, self.rng.choice((*SHORT_WORK_MS, longest_ms)))

    def _send_request(self, client: ClientRecord, deadline: float, work_ms: float) -> None:
        """Send a client's request to a random member; the client tries again until it has a final answer."""
        if self.now / 1000 > client.due_s or len(client.final_answers) > 1:
            return
        member = self.members[self.rng.choice(self.names)]
        again = partial(self._send_request, client, deadline, work_ms)
        if member.killed or self.now < member.paused_until:
            return self.at(self.now + 100.0, again)
        client.tries += 1
        this_try, timeout_ms = client.tries, self.rng.choice(CLIENT_TIMEOUT_MS)
        client.last = member.name

        def answered(state: str, answer: str) -> None:
            if this_try != client.tries or member.killed:  # the client has moved on to another try
                return
            if state in ("served", "failed"):
                client.final_answers.append(FinalAnswer(state, answer, self.now / 1000))
                if self.rng.random() < REPEAT_PROBABILITY:
                    self.at(self.now + self.rng.uniform(10, 800), again)
            else:
                self.at(self.now + self.rng.uniform(*CLIENT_BACKOFF_MS), again)

        def time_out() -> None:
            if this_try == client.tries and not client.final_answers:
                client.unanswered_tries += 1
                again()

        self.at(self.now + timeout_ms, time_out)
        member.accept_request(client.key, client.class_name, deadline - self.now, work_ms, answered)

    def execute(self, key: str, manager: str, work_ms: float, done: Callable[[str], None]) -> Callable[[], None]:
        """Run a statement at the engine; return a function that cancels it, with a delay."""
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
        work_ms: Work of its statement.
        answer: Called with the state and the row of the answer to the client.
        stopped: The member has given up the request.
        cancel: Cancels the execution at the engine.
    """

    work_ms: float
    answer: Callable[[str, str], None] = field(default=lambda state, row: None)
    stopped: bool = False
    cancel: Callable[[], None] = field(default=lambda: None)


class SimulatedMember:
    """One member: its coordinator, its view of the others and the requests that it runs.

    Attributes:
        killed: The process was killed; a restart creates a new object with the same name.
        paused_until: End of its pause; until then it takes no step and incoming messages wait.
        clock_offset_ms: Offset of its own clock from simulated time.
        last_arrival_ms: Arrival time of the last message to each connected peer.
        incarnation: Random number that distinguishes its starts.
        running: Requests that it runs, by key.
        coordinator: The real handoff coordinator.
    """

    def __init__(self, simulation: HandoffSimulation, name: str) -> None:
        self.simulation, self.name = simulation, name
        self.killed, self.paused_until = False, 0.0
        self.clock_offset_ms = simulation.rng.uniform(0, 1e6)
        self.last_arrival_ms: dict[str, float] = {}
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
        """Return the time of this member's own clock in ms."""
        return self.simulation.now + self.clock_offset_ms

    def tick(self) -> None:
        """Tick the coordinator, unless the member is paused."""
        if self.killed:
            return
        self.simulation.at(max(self.paused_until, self.simulation.now + TICK_MS), self.tick)
        if self.simulation.now >= self.paused_until:
            self.coordinator.tick(self.clock())
            self.pump()

    def update_view(self) -> None:
        """Update this member's view of which members are alive, and connect to those that it can reach."""
        simulation = self.simulation
        if self.killed:
            return
        simulation.at(max(self.paused_until, simulation.now + VIEW_PERIOD_MS), self.update_view)
        alive = {}
        for name, member in simulation.members.items():
            if self._believes_alive(name):
                alive[name] = member.incarnation
        alive[self.name] = self.incarnation
        self.coordinator.update_members(self.clock(), alive, simulation.names)
        for name, member in simulation.members.items():
            connectable = not member.killed and (self.name, name) not in simulation.partitioned_pairs
            if self.name < name and name not in self.last_arrival_ms and connectable:
                self._connect(member)
        self.pump()

    def _believes_alive(self, name: str) -> bool:
        simulation = self.simulation
        unavailable_since = simulation.unavailable_since.get(name, simulation.now)
        detected = unavailable_since + simulation.rng.uniform(*DETECTION_DELAY_MS) < simulation.now
        isolated = self.name in simulation.unavailable_since and name != self.name
        return not (detected or isolated or simulation.rng.random() < FALSE_SUSPICION)

    def _connect(self, other: SimulatedMember) -> None:
        for member, peer in ((self, other), (other, self)):
            member.last_arrival_ms[peer.name] = self.simulation.now
            member.coordinator.connected(member.clock(), peer.name, peer.incarnation, peer.incarnation)
            member.pump()

    def pump(self) -> None:
        """Send the coordinator's messages to its peers, in order on each connection."""
        simulation, outbox = self.simulation, self.coordinator.take_outbox()
        for peer, message in outbox:
            if peer in self.last_arrival_ms:
                arrival_ms = simulation.now + simulation.rng.expovariate(1 / MESSAGE_DELAY_MS)
                self.last_arrival_ms[peer] = max(self.last_arrival_ms[peer], arrival_ms)
                deliver = partial(self._deliver, simulation.members[peer], message)
                simulation.at(self.last_arrival_ms[peer], deliver)
        self.coordinator.take_events()

    def _deliver(self, target: SimulatedMember, message: Any) -> None:
        simulation = self.simulation
        restarted = simulation.members[target.name] is not target
        if target.name not in self.last_arrival_ms or restarted or target.killed or self.killed:
            return  # the connection has been lost in the meantime
        if simulation.now < target.paused_until:  # waits in the receive buffer; the order of messages is kept
            return simulation.at(target.paused_until, partial(self._deliver, target, message))
        target.coordinator.receive(target.clock(), self.name, message)
        target.pump()

    # Requests.

    def accept_request(
        self, key: str, class_name: str, budget_ms: float, work_ms: float, answer: Callable[[str, str], None]
    ) -> None:
        """Accept a request from a client; `answer` is called with its state and the row of the answer."""
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
        """Run a request taken over from another member."""
        if self.clock() < record.deadline_ms:
            self._run(record.key, RunningRequest(float(body)))
        else:
            self.coordinator.complete(self.clock(), record.key, Outcome.FAILED, b"", "deadline", lambda ok: None)

    def stop(self, key: str) -> None:
        """Give up a request that this member may no longer act on."""
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
                    key, self.name, request.work_ms, lambda row: self._execution_ended(key, request, row)
                )
            elif not request.stopped:
                request.answer("running", "")

        self.coordinator.begin_attempt(self.clock(), key, "e", allowed)
        self.pump()

    def _deadline_passed(self, key: str, request: RunningRequest) -> None:
        """Fail a request at its deadline, as the dispatcher does."""
        if self.killed or request.stopped or self.running.get(key) is not request:
            return
        if self.simulation.now < self.paused_until:
            return self.simulation.at(self.paused_until, partial(self._deadline_passed, key, request))
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

    def _execution_ended(self, key: str, request: RunningRequest, row: str) -> None:
        if self.killed or request.stopped:
            return
        if self.simulation.now < self.paused_until:
            return self.simulation.at(self.paused_until, partial(self._execution_ended, key, request, row))
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
    """Run the simulation with one seed; the options are those of `HandoffSimulation`."""
    return HandoffSimulation(seed, members, **options).run()
