"""Registers on a simulated network that loses, delays and repeats words, with members that restart and forget, are held
up, or are cut off: every change made to the value must stand, once, in one line. Seeded."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field
from functools import partial

from decklb.maintenance.paxos_messages import AcceptorState, RegisterMessage
from decklb.maintenance.proposer import ValueCodec
from decklb.maintenance.replicated_register import ReplicatedRegister

PATIENCE = 100.0  # ms
END = 12_000.0


@dataclass(slots=True)
class Told:
    """What one run showed. A change adds its own number to a list; `done` are those whose proposers were told so."""

    seed: int
    done: list[int] = field(default_factory=list)
    final: tuple[int, ...] = ()
    lost: list[int] = field(default_factory=list)  # told done, and not in the final value
    twice: list[int] = field(default_factory=list)  # in it more than once
    forked: int = 0  # values settled that are not one line
    stuck: int = 0  # changes of members that lived, not done at the end


class World:
    """Members, their words, and faults by seed."""

    def __init__(
        self, seed: int, members: int, harsh: bool, pace: float = 150.0, slow: float = 0.0, kept: bool = False
    ) -> None:
        """`slow`: ms that every word takes beside chance, as between members that are starved. `kept`: members keep
        what they must not forget, and all of them restart at one moment now and then."""
        self.rng, self.told, self.now = random.Random(seed), Told(seed), 0.0
        self.names = [f"m{i}" for i in range(members)]
        self.harsh, self.pace, self.slow, self.kept = harsh, pace, slow, kept
        self.disks: dict[str, AcceptorState] = {}
        self.nodes = {n: self.make(n) for n in self.names}
        self.held_until = dict.fromkeys(self.names, 0.0)  # a member that is stopped hears and ticks later
        self.cut: set[str] = set()
        self._queue: list[tuple[float, int, str, str, RegisterMessage]] = []
        self._count = itertools.count()
        self._numbers = itertools.count(1)
        self.settled: set[tuple[int, ...]] = set()
        self.open: dict[int, str] = {}

    def make(self, name: str) -> ReplicatedRegister[tuple[int, ...]]:
        """A node of the register, on what its disk holds."""
        return ReplicatedRegister(
            name,
            ValueCodec(
                (),
                lambda numbers: ",".join(map(str, numbers)).encode(),
                lambda data: tuple(map(int, data.split(b","))) if data else (),
            ),
            len(self.names),
            PATIENCE,
            random.Random(self.rng.random()),
            self.now,
            self.disks.get(name),
            partial(self.keep, name),
        )

    def keep(self, name: str, memory: AcceptorState) -> bool:
        """Write a node's memory to its disk."""
        if self.kept:
            self.disks[name] = memory
        return True

    def change(self, name: str) -> None:
        """Let a node append one number to the register's value."""
        number = next(self._numbers)
        self.open[number] = name

        def done(value: tuple[int, ...] | Exception) -> None:
            self.open.pop(number, None)
            self.told.done.append(number)

        # A change that is tried again finds itself there where it was taken before.
        self.nodes[name].propose(lambda v: v if number in v else (*v, number), done)

    def run(self) -> Told:
        """Play until the end, and judge what came of it."""
        next_change, next_fault, mend = 0.0, 1500.0, 0.0
        while self.now < END:
            quiet = self.now > END - 4000.0
            if self.now >= next_change and not quiet:
                self.change(self.rng.choice(self.names))
                next_change = self.now + self.rng.expovariate(1 / self.pace)
            if mend and self.now >= mend:
                self.cut.clear()
                mend = 0.0
            if self.now >= next_fault and not quiet:
                self.strike()
                mend, next_fault = self.now + 500.0, self.now + (700.0 if self.harsh else 2000.0)
            self.deliver()
            for name, node in self.nodes.items():
                if self.held_until[name] <= self.now:
                    node.tick(self.now)
                    self.send(name, node)
            self.now += 5.0
        return self.judge()

    def strike(self) -> None:
        """Inject one fault."""
        name = self.rng.choice(self.names)
        kind = self.rng.choice(("restart", "cut", "stop"))
        if kind == "restart":
            for each in self.names if self.kept and self.rng.random() < 0.5 else [name]:
                self.open = {k: n for k, n in self.open.items() if n != each}  # its proposer is gone, with its client
                self.nodes[each] = self.make(each)
        elif kind == "cut":
            self.cut.add(name)
        else:
            self.held_until[name] = self.now + self.rng.uniform(50.0, 800.0)

    def send(self, name: str, node: ReplicatedRegister[tuple[int, ...]]) -> None:
        """Put a node's messages on the network, which loses some."""
        out, node.outgoing = node.outgoing, []
        for to, message in out:
            for other in self.names if not to else (to,):
                if other == name or (name in self.cut) != (other in self.cut) or self.rng.random() < 0.1:
                    continue
                for _ in range(2 if self.rng.random() < 0.05 else 1):
                    delay = self.rng.uniform(1.0, 30.0) if self.rng.random() < 0.95 else self.rng.uniform(30.0, 400.0)
                    heapq.heappush(self._queue, (self.now + self.slow + delay, next(self._count), name, other, message))

    def deliver(self) -> None:
        """Hand over what has arrived by now."""
        late = []
        while self._queue and self._queue[0][0] <= self.now:
            item = heapq.heappop(self._queue)
            _, _, sender, to, message = item
            if self.held_until[to] > self.now:
                late.append((self.held_until[to], *item[1:]))
                continue
            node = self.nodes[to]
            node.receive(self.now, sender, message)
            self.settled.add(node.committed)
            self.send(to, node)
        for item in late:
            heapq.heappush(self._queue, item)

    def judge(self) -> Told:
        """Compare the changes that were acknowledged with the value that all agree on."""
        t = self.told
        t.final = max((n.committed for n in self.nodes.values()), key=len)
        t.lost = [n for n in t.done if n not in t.final]
        t.twice = [n for n in set(t.final) if t.final.count(n) > 1]
        t.forked = sum(v != t.final[: len(v)] for v in self.settled)
        t.stuck = len(self.open)
        return t
