"""Quorum registers on a simulated network with random faults: each acknowledged change must be applied exactly once.

Messages are lost, delayed and duplicated; members restart (in some runs without their memory), are paused, or are
partitioned. `RegisterSimulation` runs the members (real registers of the maintenance plan), their disks and the
network; tests run it with many seeds. Times are simulated milliseconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from functools import partial

from decklb.maintenance.paxos_messages import AcceptorState, RegisterMessage
from decklb.maintenance.proposer import ValueCodec
from decklb.maintenance.replicated_register import ReplicatedRegister

Value = tuple[int, ...]  # numbers of the applied changes in order

RETRY_TIMEOUT_MS = 100.0  # time in ms after which a register retries a change
END_MS = 12_000.0  # duration of a run
QUIET_MS = 4000.0  # time at the end of a run without new changes and faults
STEP_MS = 5.0  # time between two ticks of the members
FIRST_FAULT_MS = 1500.0
PARTITION_MS = 500.0  # time after the latest fault until all partitions heal
FAULT_PERIOD_MS = 2000.0
HARSH_FAULT_PERIOD_MS = 700.0  # in harsh runs
MESSAGE_LOSS = 0.1  # probability
MESSAGE_DUPLICATION = 0.05  # probability
ON_TIME_PROBABILITY = 0.95  # probability that a message has a normal delay; the others are late
DELAY_MS = (1.0, 30.0)  # range of normal delays
LATE_DELAY_MS = (30.0, 400.0)  # range of delays of late messages
PAUSE_MS = (50.0, 800.0)  # range of durations of a pause
# Probability that a restart affects all members instead of one, in runs in which members store their state.
ALL_RESTART_PROBABILITY = 0.5


@dataclass(slots=True)
class RegisterVerdict:
    """Result of one run. Each change appends its own number to the value.

    Attributes:
        seed: Seed of the run.
        acknowledged: Changes that were acknowledged to their proposers.
        final: The value at the end.
        lost: Acknowledged changes that are missing in the final value.
        duplicated: Changes that the final value contains more than once.
        diverged: Number of committed values that are not a prefix of the final one.
        unfinished: Number of changes that were still open at the end, apart from those of members that restarted.
    """

    seed: int
    acknowledged: list[int] = field(default_factory=list)
    final: Value = ()
    lost: list[int] = field(default_factory=list)
    duplicated: list[int] = field(default_factory=list)
    diverged: int = 0
    unfinished: int = 0


class RegisterSimulation:
    """Members, the messages between them, and random faults."""

    def __init__(
        self,
        seed: int,
        members: int,
        harsh: bool,
        mean_interval_ms: float = 150.0,
        extra_delay_ms: float = 0.0,
        keeps_state: bool = False,
    ) -> None:
        """Set up a run.

        Args:
            seed: Seed of all random draws.
            members: Number of members.
            harsh: Whether faults are more frequent.
            mean_interval_ms: Mean time between changes in ms.
            extra_delay_ms: Additional delay in ms of every message, as between members that are short of CPU time.
            keeps_state: Whether members store their acceptor state; if so, all members may restart at the same time.
        """
        self.rng, self.verdict, self.now = random.Random(seed), RegisterVerdict(seed), 0.0
        self.names = [f"m{i}" for i in range(members)]
        self.harsh, self.mean_interval_ms, self.extra_delay_ms, self.keeps_state = (
            harsh,
            mean_interval_ms,
            extra_delay_ms,
            keeps_state,
        )
        self.disks: dict[str, AcceptorState] = {}
        self.nodes = {name: self._make_node(name) for name in self.names}
        # A paused member neither receives nor ticks before that time.
        self.paused_until = dict.fromkeys(self.names, 0.0)
        self.partitioned: set[str] = set()
        self.committed_values: set[Value] = set()  # all values that members have committed
        self.open_changes: dict[int, str] = {}  # proposer of each open change
        self._queue: list[tuple[float, int, str, str, RegisterMessage]] = []  # heap ordered by time of arrival
        self._message_count = itertools.count()
        self._change_numbers = itertools.count(1)

    def run(self) -> RegisterVerdict:
        """Run to the end and compare the acknowledged changes with the value that the members agree on."""
        next_change, next_fault, heal_at = 0.0, FIRST_FAULT_MS, 0.0
        while self.now < END_MS:
            quiet = self.now > END_MS - QUIET_MS
            if self.now >= next_change and not quiet:
                self._propose_change(self.rng.choice(self.names))
                next_change = self.now + self.rng.expovariate(1 / self.mean_interval_ms)
            if heal_at and self.now >= heal_at:
                self.partitioned.clear()
                heal_at = 0.0
            if self.now >= next_fault and not quiet:
                self._inject_fault()
                heal_at = self.now + PARTITION_MS
                next_fault = self.now + (HARSH_FAULT_PERIOD_MS if self.harsh else FAULT_PERIOD_MS)
            self._deliver_messages()
            self._tick_members()
            self.now += STEP_MS
        return self._judge()

    def _make_node(self, name: str) -> ReplicatedRegister[Value]:
        return ReplicatedRegister(
            name,
            ValueCodec(
                (),
                lambda value: ",".join(map(str, value)).encode(),
                lambda text: tuple(map(int, text.split(b","))) if text else (),
            ),
            len(self.names),
            RETRY_TIMEOUT_MS,
            random.Random(self.rng.random()),
            self.now,
            self.disks.get(name),
            partial(self._store, name),
        )

    def _store(self, name: str, state: AcceptorState) -> bool:
        if self.keeps_state:
            self.disks[name] = state
        return True

    def _propose_change(self, name: str) -> None:
        """Propose a change at a member: append one number to the value."""
        number = next(self._change_numbers)
        self.open_changes[number] = name

        def on_acknowledged(_value: Value | Exception) -> None:
            self.open_changes.pop(number, None)
            self.verdict.acknowledged.append(number)

        # A retried change may already have been applied, so it appends its number only if that is missing.
        self.nodes[name].propose(lambda value: value if number in value else (*value, number), on_acknowledged)

    def _inject_fault(self) -> None:
        name = self.rng.choice(self.names)
        kind = self.rng.choice(("restart", "cut", "stop"))
        if kind == "restart":
            all_restart = self.keeps_state and self.rng.random() < ALL_RESTART_PROBABILITY
            for restarted in self.names if all_restart else [name]:
                self._restart(restarted)
        elif kind == "cut":
            self.partitioned.add(name)
        else:
            self.paused_until[name] = self.now + self.rng.uniform(*PAUSE_MS)

    def _restart(self, name: str) -> None:
        # The restart also loses the open changes of this member.
        self.open_changes = {number: proposer for number, proposer in self.open_changes.items() if proposer != name}
        self.nodes[name] = self._make_node(name)

    def _tick_members(self) -> None:
        for name, node in self.nodes.items():
            if self.paused_until[name] <= self.now:
                node.tick(self.now)
                self._send_messages(name, node)

    def _send_messages(self, name: str, node: ReplicatedRegister[Value]) -> None:
        """Send a member's messages over the network, which loses, delays and duplicates some."""
        out, node.outgoing = node.outgoing, []
        for target, message in out:
            for other in self.names if not target else (target,):
                separated = (name in self.partitioned) != (other in self.partitioned)
                if other == name or separated or self.rng.random() < MESSAGE_LOSS:
                    continue
                for _ in range(2 if self.rng.random() < MESSAGE_DUPLICATION else 1):
                    on_time = self.rng.random() < ON_TIME_PROBABILITY
                    delay_ms = self.rng.uniform(*(DELAY_MS if on_time else LATE_DELAY_MS))
                    arrival = self.now + self.extra_delay_ms + delay_ms
                    heapq.heappush(self._queue, (arrival, next(self._message_count), name, other, message))

    def _deliver_messages(self) -> None:
        """Deliver the messages that have arrived by now; those for a paused member wait until its pause ends."""
        deferred = []
        while self._queue and self._queue[0][0] <= self.now:
            _, count, sender, target, message = heapq.heappop(self._queue)
            if self.paused_until[target] > self.now:
                deferred.append((self.paused_until[target], count, sender, target, message))
                continue
            node = self.nodes[target]
            node.receive(self.now, sender, message)
            self.committed_values.add(node.committed)
            self._send_messages(target, node)
        for entry in deferred:
            heapq.heappush(self._queue, entry)

    def _judge(self) -> RegisterVerdict:
        verdict = self.verdict
        final = verdict.final = max((node.committed for node in self.nodes.values()), key=len)
        verdict.lost = [number for number in verdict.acknowledged if number not in final]
        verdict.duplicated = [number for number in set(final) if final.count(number) > 1]
        verdict.diverged = sum(value != final[: len(value)] for value in self.committed_values)
        verdict.unfinished = len(self.open_changes)
        return verdict
