"""Quorum registers on a simulated network, with faults by seed: every change made to the value must stand, once.

Messages are lost, late and repeated; members restart and forget, are stopped, or are cut off. `RegisterSimulation`
owns the members (real registers of the maintenance plan), their disks and the network; tests play it. Times are
simulated milliseconds.
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

Value = tuple[int, ...]  # numbers of the changes, in the order they were made

PATIENCE_MS = 100.0  # of a register, before it tries a change again
END_MS = 12_000.0
QUIET_MS = 4000.0  # at the end, without changes and faults
STEP_MS = 5.0  # between ticks of the members
FIRST_FAULT_MS = 1500.0
CUT_MS = 500.0  # that a member is cut off
FAULT_PERIOD_MS = 2000.0
HARSH_FAULT_PERIOD_MS = 700.0
MESSAGE_LOSS = 0.1
MESSAGE_DUPLICATES = 0.05
ON_TIME_SHARE = 0.95  # of messages; the others are late
DELAY_MS = (1.0, 30.0)
LATE_DELAY_MS = (30.0, 400.0)
STOP_MS = (50.0, 800.0)
ALL_RESTART_CHANCE = 0.5


@dataclass(slots=True)
class RegisterVerdict:
    """What one run showed. A change adds its own number to the value.

    Attributes:
        seed: Of the run.
        done: Changes whose proposers were told that they are made.
        final: The value at the end.
        lost: Changes of `done` that are not in it.
        twice: Changes that are in it more than once.
        forked: Values that members settled on and that are no prefix of the final one.
        stuck: Changes of members that lived, not done at the end.
    """

    seed: int
    done: list[int] = field(default_factory=list)
    final: Value = ()
    lost: list[int] = field(default_factory=list)
    twice: list[int] = field(default_factory=list)
    forked: int = 0
    stuck: int = 0


class RegisterSimulation:
    """Members, the messages between them, and faults by seed."""

    def __init__(
        self, seed: int, members: int, harsh: bool, pace: float = 150.0, slow: float = 0.0, kept: bool = False
    ) -> None:
        """Set up a run.

        Args:
            seed: Of all draws.
            members: Their number.
            harsh: Whether faults strike more often.
            pace: Mean time between changes, in ms.
            slow: Delay of every message beside the drawn one, in ms, as between starved members.
            kept: Whether members store what they must not forget, and now and then all restart at one moment.
        """
        self.rng, self.verdict, self.now = random.Random(seed), RegisterVerdict(seed), 0.0
        self.names = [f"m{i}" for i in range(members)]
        self.harsh, self.pace_ms, self.extra_delay_ms, self.stored = harsh, pace, slow, kept
        self.disks: dict[str, AcceptorState] = {}
        self.nodes = {name: self._make_node(name) for name in self.names}
        self.stopped_until = dict.fromkeys(self.names, 0.0)  # a stopped member receives and ticks later
        self.cut_off: set[str] = set()
        self.settled: set[Value] = set()  # all values that members settled on
        self.open_changes: dict[int, str] = {}  # and their proposers
        self._queue: list[tuple[float, int, str, str, RegisterMessage]] = []  # heap by arrival
        self._message_count = itertools.count()
        self._change_numbers = itertools.count(1)

    def run(self) -> RegisterVerdict:
        """Play to the end, and compare what was acknowledged with the value that members agree on."""
        next_change, next_fault, mend_at = 0.0, FIRST_FAULT_MS, 0.0
        while self.now < END_MS:
            quiet = self.now > END_MS - QUIET_MS
            if self.now >= next_change and not quiet:
                self._propose_change(self.rng.choice(self.names))
                next_change = self.now + self.rng.expovariate(1 / self.pace_ms)
            if mend_at and self.now >= mend_at:
                self.cut_off.clear()
                mend_at = 0.0
            if self.now >= next_fault and not quiet:
                self._inject_fault()
                mend_at = self.now + CUT_MS
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
            PATIENCE_MS,
            random.Random(self.rng.random()),
            self.now,
            self.disks.get(name),
            partial(self._store, name),
        )

    def _store(self, name: str, memory: AcceptorState) -> bool:
        if self.stored:
            self.disks[name] = memory
        return True

    def _propose_change(self, name: str) -> None:
        """Let a member append one number to the value."""
        number = next(self._change_numbers)
        self.open_changes[number] = name

        def done(_value: Value | Exception) -> None:
            self.open_changes.pop(number, None)
            self.verdict.done.append(number)

        # A change that is tried again finds itself there where it was made before.
        self.nodes[name].propose(lambda value: value if number in value else (*value, number), done)

    def _inject_fault(self) -> None:
        name = self.rng.choice(self.names)
        kind = self.rng.choice(("restart", "cut", "stop"))
        if kind == "restart":
            all_restart = self.stored and self.rng.random() < ALL_RESTART_CHANCE
            for each in self.names if all_restart else [name]:
                self._restart(each)
        elif kind == "cut":
            self.cut_off.add(name)
        else:
            self.stopped_until[name] = self.now + self.rng.uniform(*STOP_MS)

    def _restart(self, name: str) -> None:
        # Its open changes are gone with their clients.
        self.open_changes = {number: who for number, who in self.open_changes.items() if who != name}
        self.nodes[name] = self._make_node(name)

    def _tick_members(self) -> None:
        for name, node in self.nodes.items():
            if self.stopped_until[name] <= self.now:
                node.tick(self.now)
                self._send_messages(name, node)

    def _send_messages(self, name: str, node: ReplicatedRegister[Value]) -> None:
        """Put a member's messages on the network, which loses some."""
        out, node.outgoing = node.outgoing, []
        for target, message in out:
            for other in self.names if not target else (target,):
                parted = (name in self.cut_off) != (other in self.cut_off)
                if other == name or parted or self.rng.random() < MESSAGE_LOSS:
                    continue
                for _ in range(2 if self.rng.random() < MESSAGE_DUPLICATES else 1):
                    on_time = self.rng.random() < ON_TIME_SHARE
                    delay_ms = self.rng.uniform(*(DELAY_MS if on_time else LATE_DELAY_MS))
                    arrival = self.now + self.extra_delay_ms + delay_ms
                    heapq.heappush(self._queue, (arrival, next(self._message_count), name, other, message))

    def _deliver_messages(self) -> None:
        """Hand over what has arrived by now; what arrives at a stopped member waits."""
        waiting = []
        while self._queue and self._queue[0][0] <= self.now:
            _, count, sender, target, message = heapq.heappop(self._queue)
            if self.stopped_until[target] > self.now:
                waiting.append((self.stopped_until[target], count, sender, target, message))
                continue
            node = self.nodes[target]
            node.receive(self.now, sender, message)
            self.settled.add(node.committed)
            self._send_messages(target, node)
        for entry in waiting:
            heapq.heappush(self._queue, entry)

    def _judge(self) -> RegisterVerdict:
        verdict = self.verdict
        final = verdict.final = max((node.committed for node in self.nodes.values()), key=len)
        verdict.lost = [number for number in verdict.done if number not in final]
        verdict.twice = [number for number in set(final) if final.count(number) > 1]
        verdict.forked = sum(value != final[: len(value)] for value in self.settled)
        verdict.stuck = len(self.open_changes)
        return verdict
