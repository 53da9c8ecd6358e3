"""The handoff's keepers on a simulated network: members that die, return without memory, or are cut off, and clients
that come back with their keys. Seeded: the same seed, the same run. It counts what happened and judges nothing.

Words between two members come in order on a connection, late by chance; a broken connection loses what is under way.
What a member believes of the others lags behind the truth, and is wrong now and then. Each clock starts elsewhere.

By default faults strike one at a time, with time between two for whoever came back to remember enough; then nothing may
be lost. `harsh` strikes more often than the records' copies can bear: requests may then be lost, but never doubled.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from decklb.handoff.keeper import Hooks, Keeper, Taken
from decklb.handoff.records import Outcome, Record, fingerprint
from decklb.handoff.settings import HandoffSettings
from decklb.interface import Effect
from decklb.lab.checks.execution_verdict import ClientRecord, ExecutionEvent, FinalAnswer, Verdict, judge

TICK, LOOK = 25.0, 100.0  # ms between ticks of a keeper, and between looks of a member at who is alive
LATE = (300.0, 900.0)  # ms by which a member sees late that another has gone
GRACE = 60.0  # ms for an engine to heed that a run is called off
ERRS = 0.01  # chance, at a look, that a member takes a living one for dead
ONCE = "load"  # the class of what may run at most once
SETTINGS = HandoffSettings(
    members=3, lease=600.0, beat=100.0, patience=300.0, resend=60.0, stagger=250.0, longest=4000.0, linger=1500.0
)


class World:
    """All members, the network between them, engines, clients and faults."""

    def __init__(
        self,
        seed: int,
        members: int = 3,
        span: float = 8000.0,
        rate: float = 10.0,
        settings: HandoffSettings = SETTINGS,
        keeper: type[Keeper] = Keeper,
        harsh: bool = False,
    ) -> None:
        self.rng, self.settings, self.make = random.Random(seed), settings, keeper
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.names = [f"m{i}" for i in range(members)]
        self.nodes: dict[str, Node] = {}
        self.cut: set[tuple[str, ...]] = set()
        self.gone: dict[str, float] = {}  # when a member went, or was cut off
        self.lines: list[ExecutionEvent] = []
        self.stories: list[ClientRecord] = []
        self.runs = 0
        warm = settings.life + 100.0
        for name in self.names:
            self.nodes[name] = Node(self, name)
        at = warm
        while (at := at + self.rng.expovariate(rate / 1000.0)) < warm + span:
            self.at(at, self._client)
        # A run that lasts and can't be called off overlaps any takeover: long ones go without members that are held up.
        self.long = self.rng.random() < 0.5
        self.kinds = ("kill", "cut", "cut-one") if self.long else ("kill", "cut", "cut-one", "held-up")
        for i in range(6 if harsh else 1):
            start = warm + (self.rng.uniform(0, span) if harsh else i * settings.life + self.rng.uniform(0, span / 2))
            self.at(start, partial(self._strike, self.rng.choice(self.names), self.rng.uniform(500, 2500)))
        self.end = warm + span + settings.life

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Make a call at that simulated time, in ms."""
        heapq.heappush(self._heap, (when, next(self._order), call))

    def run(self) -> Verdict:
        """Play until the end, and judge what came of it."""
        while self._heap and self._heap[0][0] < self.end:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        return judge(self.stories, self.lines, ONCE)

    # Faults.

    def _strike(self, name: str, for_ms: float) -> None:
        kind = self.rng.choice(self.kinds)
        node = self.nodes[name]
        if node.dead or node.held > self.now:
            return
        others = [n for n in self.names if n != name]
        if kind == "kill":
            node.dead, self.gone[name] = True, self.now
            for key in list(node.front):
                node.front[key].end()  # an engine lets go of what its client's end leaves, as late as `GRACE`
            for other in others:
                self.part(name, other)
            self.at(self.now + for_ms, partial(self._restart, name))
        elif kind == "held-up":  # it runs no step, and what comes waits for it
            node.held = self.now + for_ms
            self.gone[name] = self.now
            self.at(node.held, partial(self._heal, name, []))
        else:
            those = others if kind == "cut" else others[:1]
            pairs = [tuple(sorted((name, other))) for other in those]
            self.cut.update(pairs)
            for pair in pairs:
                self.part(*pair)
            if kind == "cut":
                self.gone[name] = self.now
            self.at(self.now + for_ms, partial(self._heal, name, pairs))

    def _heal(self, name: str, pairs: list[tuple[str, ...]]) -> None:
        self.cut.difference_update(pairs)
        self.gone.pop(name, None)

    def _restart(self, name: str) -> None:
        self.gone.pop(name, None)
        self.nodes[name] = Node(self, name)

    def part(self, a: str, b: str) -> None:
        """The connection of two members breaks."""
        for x, y in ((a, b), (b, a)):
            if self.nodes[x].peers.pop(y, None) is not None:
                self.nodes[x].keeper.unlinked(self.nodes[x].clock(), y)

    # Clients and engines.

    def _client(self) -> None:
        n = len(self.stories)
        lane = self.rng.choice(("read", ONCE))
        budget = self.settings.longest
        story = ClientRecord(f"k{n}", lane, self.now / 1000, (self.now + budget + 500.0) / 1000)
        self.stories.append(story)
        self._try(story, self.now + budget, self.rng.choice((5.0, 20.0, 80.0, 1500.0 if self.long else 150.0)))

    def _try(self, story: ClientRecord, deadline: float, work: float) -> None:
        if self.now / 1000 > story.due_s or len(story.final_answers) > 1:
            return
        node = self.nodes[self.rng.choice(self.names)]
        again = partial(self._try, story, deadline, work)
        if node.dead or self.now < node.held:
            return self.at(self.now + 100.0, again)
        story.tries += 1
        tries, patience = story.tries, self.rng.choice((200.0, 1000.0))
        story.last = node.name

        def said(state: str, answer: str) -> None:
            if tries != story.tries or node.dead:  # the client has gone elsewhere
                return
            if state in ("served", "failed"):
                story.final_answers.append(FinalAnswer(state, answer, self.now / 1000))
                if self.rng.random() < 0.3:  # and asks once more
                    self.at(self.now + self.rng.uniform(10, 800), again)
            else:
                self.at(self.now + self.rng.uniform(50, 150), again)

        def left() -> None:
            if tries == story.tries and not story.final_answers:
                story.unanswered_tries += 1
                again()

        self.at(self.now + patience, left)
        node.take(story.key, story.class_name, deadline - self.now, work, said)

    def engine(self, key: str, manager: str, work: float, done: Callable[[str], None]) -> Callable[[], None]:
        """A run goes on to its end, or to a while after it is called off by what this returns."""
        self.runs += 1
        run, index = self.runs, self.names.index(manager)
        self.lines.append(ExecutionEvent("start", key, run, index, self.now, "e"))

        over = [False]

        def end(row: str) -> None:
            if not over[0]:
                over[0] = True
                self.lines.append(ExecutionEvent("end", key, run, index, self.now, "e"))
                if row:
                    done(row)

        self.at(self.now + work, partial(end, f"{key}/{run}"))
        return lambda: self.at(self.now + GRACE, partial(end, ""))


@dataclass(slots=True)
class Running:
    """A request that a member runs, as a guard would."""

    work: float
    said: Callable[[str, str], None] = field(default=lambda state, answer: None)
    off: bool = False
    end: Callable[[], None] = field(default=lambda: None)  # calls off what runs at an engine


class Node:
    """One member's keeper, its view of the others, and a front that runs one attempt at a time."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.dead, self.held = False, 0.0
        self.offset = world.rng.uniform(0, 1e6)
        self.peers: dict[str, float] = {}  # when the last word to each arrives
        self.run = 1 + world.rng.getrandbits(40)
        self.front: dict[str, Running] = {}
        self.keeper = world.make(
            world.settings,
            name,
            self.run,
            self.run,
            0.0,
            random.Random(world.rng.random()),
            self.clock(),
            Hooks(self.adopt, self.stop),
        )
        world.at(world.now, self.look)
        world.at(world.now + world.rng.uniform(0, TICK), self.tick)

    def clock(self) -> float:
        """This member's own clock, in ms."""
        return self.world.now + self.offset

    def tick(self) -> None:
        """One turn of the member's timer; none while it is held up."""
        if self.dead:
            return
        self.world.at(max(self.held, self.world.now + TICK), self.tick)
        if self.world.now >= self.held:
            self.keeper.tick(self.clock())
            self.pump()

    def look(self) -> None:
        """Who is alive, as this member believes, and connections that can be made."""
        w = self.world
        if self.dead:
            return
        w.at(max(self.held, w.now + LOOK), self.look)
        alive = {}
        for name, node in w.nodes.items():
            unseen = w.gone.get(name, w.now) + w.rng.uniform(*LATE) < w.now or self.name in w.gone and name != self.name
            if not (unseen or w.rng.random() < ERRS):
                alive[name] = node.run
        alive[self.name] = self.run
        self.keeper.members(self.clock(), alive, w.names)
        for name, node in w.nodes.items():
            if self.name < name and name not in self.peers and not node.dead and (self.name, name) not in w.cut:
                for a, b in ((self, node), (node, self)):
                    a.peers[b.name] = w.now
                    a.keeper.linked(a.clock(), b.name, b.run, b.run)
                    a.pump()
        self.pump()

    def pump(self) -> None:
        """Send what the keeper has to say to its peers."""
        w, out = self.world, self.keeper.out
        self.keeper.out = []
        for peer, word in out:
            if peer in self.peers:
                arrives = self.peers[peer] = max(self.peers[peer], w.now + w.rng.expovariate(1 / 4.0))
                w.at(arrives, partial(self._deliver, peer, w.nodes[peer], word, (self.run, w.nodes[peer].run)))
        self.keeper.notices.clear()

    def _deliver(self, peer: str, node: Node, word: Any, runs: tuple[int, int]) -> None:
        w = self.world
        if peer not in self.peers or w.nodes[peer].run != runs[1] or node.dead or self.dead:
            return  # the connection has broken meanwhile
        if w.now < node.held:  # it lies in the buffer; order is kept, since all that comes lies there
            return w.at(node.held, partial(self._deliver, peer, node, word, runs))
        node.keeper.receive(node.clock(), self.name, word)
        node.pump()

    # The front.

    def take(self, key: str, lane: str, budget: float, work: float, said: Callable[[str, str], None]) -> None:
        """Take a request from a client, who is told what became of it."""
        effect = Effect.UNSAFE if lane == ONCE else Effect.SAFE
        record = Record(key, "", 0, 0, "t", lane, effect, self.clock() + budget, fingerprint(key.encode()))

        def done(taken: Taken) -> None:
            if taken.state == "taken":
                self._run(key, Running(work, said))
            elif taken.state == "done":
                said("served" if taken.outcome is Outcome.SERVED else "failed", taken.answer.decode())
            else:
                said(taken.state, "")

        self.keeper.take(self.clock(), record, str(work).encode(), done)
        self.pump()

    def adopt(self, record: Record, body: bytes) -> None:
        """Run a request that was taken over."""
        if self.clock() < record.deadline:
            self._run(record.key, Running(float(body)))
        else:
            self.keeper.answered(self.clock(), record.key, Outcome.FAILED, b"", "deadline", lambda ok: None)

    def stop(self, key: str) -> None:
        """Give up a request that this member may not act on."""
        if (r := self.front.pop(key, None)) is not None:
            r.off = True
            r.end()
            r.said("running", "")

    def _run(self, key: str, r: Running) -> None:
        self.front[key] = r
        record = self.keeper.table.get(key)
        if record is not None:
            self.world.at(self.world.now + record.deadline - self.clock(), partial(self._over, key, r))

        def may(ok: bool) -> None:
            if ok and not r.off:
                r.end = self.world.engine(key, self.name, r.work, lambda row: self._answered(key, r, row))
            elif not r.off:
                r.said("running", "")

        self.keeper.sending(self.clock(), key, "e", may)
        self.pump()

    def _over(self, key: str, r: Running) -> None:
        """Its time is over, as the core would say."""
        if self.dead or r.off or self.front.get(key) is not r:
            return
        if self.world.now < self.held:
            return self.world.at(self.held, partial(self._over, key, r))
        del self.front[key]
        r.off = True
        r.end()
        self.keeper.answered(
            self.clock(), key, Outcome.FAILED, b"", "deadline", lambda ok: r.said("failed" if ok else "running", "")
        )
        self.pump()

    def _answered(self, key: str, r: Running, row: str) -> None:
        if self.dead or r.off:
            return
        if self.world.now < self.held:
            return self.world.at(self.held, partial(self._answered, key, r, row))
        if self.front.get(key) is r:
            del self.front[key]
        self.keeper.answered(
            self.clock(),
            key,
            Outcome.SERVED,
            row.encode(),
            "",
            lambda ok: r.said("served" if ok else "running", row if ok else ""),
        )
        self.pump()


def play(seed: int, members: int = 3, **more: Any) -> Verdict:
    """One run of a seed."""
    return World(seed, members, **more).run()
