"""The model of an engine: queries share cores, disks and memory. Free of I/O; time comes from a loop.

All threads run at one speed, so an engine is processor sharing in virtual time (as in fair queueing: Parekh and
Gallager, 1993): virtual time advances at that speed, a query ends when it has advanced by the query's work a thread,
and an event costs O(log n) with n queries. What sets the speed:

- cores: 1 while threads are at most the cores, then cores over threads; beyond the knee capacity falls (thrashing);
- disks: threads that read beyond what the disks bear slow all down (seeks);
- a start: capacity grows from the cold share to all over the cold time; too much work meanwhile makes the engine fall;
- slow spells.

What sets a query's work, once, when it begins: its group of tables warm or not, memory short (spills), a bad plan.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from math import ulp

from decklb.interface import Outcome
from decklb.lab.emulation.simulated_loop import Call, Loop

STEPS = 15  # in which a cold engine's speed grows


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What a kind of engine is. Memory is in MB, times in ms."""

    cores: int = 8
    memory: float = 16_384.0
    disks: float = 4.0  # threads that read at full speed
    sessions: int = 64
    knee: float = 1.6  # threads a core from which on capacity falls
    thrash: float = 0.6  # share of capacity lost for each further thread a core
    seek: float = 0.4  # share of speed lost for each time the disks' threads over what they bear
    spill: float = 2.5  # further work of a query with no memory
    warm_groups: int = 4
    warm_gain: float = 0.5  # share of reading that a warm group saves
    cold: float = 15_000.0
    cold_share: float = 0.31
    overload: float = 3.0  # times the present capacity over `fall` that a cold engine bears
    fall: float = 1500.0
    restart: float = 3000.0  # from a fall to the next start


@dataclass(slots=True, eq=False)
class Query:
    """One attempt at an engine."""

    work: float  # ms of one thread, all threads together
    threads: int = 1
    io: float = 0.3  # share of the work that reads
    memory: float = 100.0
    tables: int = 0
    holds: bool = False  # a load: others on its group that yield, and other loads, wait
    yields: bool = False
    plan: float = 1.0  # times the work that a bad plan takes
    done: Callable[[Outcome], None] = lambda outcome: None
    end: float = 0.0  # in virtual time
    total: float = 0.0  # work as it came out
    began: float = 0.0  # virtual time at its start
    state: str = ""  # waiting, running, over


@dataclass(slots=True)
class Book:
    """Work by what became of it; all of it adds up."""

    served: float = 0.0  # of queries that ended well
    lost: float = 0.0  # of queries called off or cut
    burnt: float = 0.0  # thread time at full speed equivalent that ran
    falls: int = 0
    started: int = 0
    full: int = 0


class Engine:
    """One engine process at one machine; it may end and start again under the same id."""

    def __init__(self, loop: Loop, name: str, spec: EngineSpec, zone: str = "", kind: str = "k") -> None:
        self.loop, self.name, self.spec, self.zone, self.kind = loop, name, spec, zone, kind
        self.up, self.silent, self.draining = True, False, False
        self.born = -1e12  # long ago: warm from the beginning
        self.slow = 1.0
        self.book = Book()
        self.threads = 0
        self.reading = 0.0
        self.memory = 0.0
        self.running: dict[Query, None] = {}  # in the order they began: runs must not depend on where objects lie
        self.waiting: dict[int, deque[Query]] = {}
        self.held: dict[int, int] = {}  # loads that run, by group
        self.warm: OrderedDict[int, None] = OrderedDict()
        self.on_fall: Callable[[], None] = lambda: None
        self._virtual, self._at, self._speed = 0.0, loop.now(), 1.0
        self._heap: list[tuple[float, int, Query]] = []
        self._count = 0
        self._next: Call | None = None
        self._sent: deque[tuple[float, float]] = deque()
        self._sent_work = 0.0

    # Speed and time.

    @property
    def speed(self) -> float:
        """Virtual time that passes in a millisecond now: 1 is full speed of each thread."""
        return self._speed

    def capacity(self) -> float:
        """Cores at work, of full speed: less when cold or slow."""
        age = self.loop.now() - self.born
        share = 1.0
        if age < self.spec.cold:
            share = self.spec.cold_share + (1 - self.spec.cold_share) * max(0.0, age) / self.spec.cold
        return self.spec.cores * share / self.slow

    def _rate(self) -> float:
        if not self.threads:
            return 1.0
        s, capacity = self.spec, self.capacity()
        full = min(1.0, capacity / s.cores)  # of one thread with a core of its own
        load = self.threads / s.cores
        lost = 1.0 + s.thrash * max(0.0, load - s.knee)
        speed = min(full, capacity / self.threads / lost)
        return speed / (1.0 + s.seek * max(0.0, self.reading / s.disks - 1.0))

    def _advance(self) -> None:
        now = self.loop.now()
        if now > self._at:
            step = (now - self._at) * self._speed
            self._virtual += step
            self.book.burnt += step * self.threads
            self._at = now

    def _arm(self) -> None:
        """The speed may have changed: when does the next query end?"""
        self._speed = self._rate()
        if self._next is not None:
            self._next.cancel()
            self._next = None
        while self._heap and self._heap[0][2].state != "running":
            heappop(self._heap)
        if self._heap and self._speed > 0:
            left = (self._heap[0][0] - self._virtual) / self._speed
            self._next = self.loop.call_later(left, self._finish)

    def _finish(self) -> None:
        self._next = None
        self._advance()
        over = []
        # What rounding leaves of a query is less than a nanosecond of work, or too little for the clock to move by:
        # after some hours of a run its steps are larger than that, and the same moment would come for ever.
        least = 2 * max(ulp(self._virtual), ulp(self._at) * self._speed)
        end = self._virtual + max(1e-9, least)
        while self._heap and (self._heap[0][0] <= end or self._heap[0][2].state != "running"):
            query = heappop(self._heap)[2]
            if query.state == "running":
                over.append(query)
        for query in over:  # only now: when the last one leaves, virtual time begins anew
            self.book.served += query.total
            self._leave(query)
        self._arm()
        for query in over:
            query.done(Outcome.GOOD)

    # Queries.

    def submit(self, query: Query) -> None:
        """Take a query, or say `full`. A machine that is silent says nothing."""
        if self.silent:
            query.state = "over"
            return
        if not self.up:
            query.state = "over"
            return query.done(Outcome.NOCONN)
        if len(self.running) + sum(map(len, self.waiting.values())) >= self.spec.sessions:
            self.book.full += 1
            query.state = "over"
            return query.done(Outcome.FULL)
        if self._overloaded(query):
            return self._fall(query)
        if (query.yields or query.holds) and (self.held.get(query.tables) or self.waiting.get(query.tables)):
            query.state = "waiting"
            self.waiting.setdefault(query.tables, deque()).append(query)
            return
        self._begin(query)

    def _begin(self, query: Query) -> None:
        self._advance()
        s = self.spec
        read = query.io
        if query.tables in self.warm:
            self.warm.move_to_end(query.tables)
            read *= 1.0 - s.warm_gain
        else:
            self.warm[query.tables] = None
            if len(self.warm) > s.warm_groups:
                self.warm.popitem(last=False)
        short = max(0.0, 1.0 - (s.memory - self.memory) / query.memory) if query.memory else 0.0
        query.total = query.work * (1.0 - query.io + read) * (1.0 + s.spill * min(1.0, short)) * query.plan
        query.state, query.began = "running", self._virtual
        query.end = self._virtual + query.total / query.threads
        self.running[query] = None
        self.threads += query.threads
        self.reading += query.io * query.threads
        self.memory += query.memory
        if query.holds:
            self.held[query.tables] = self.held.get(query.tables, 0) + 1
        self.book.started += 1
        self._count += 1
        heappush(self._heap, (query.end, self._count, query))
        if len(self._heap) > 64 and len(self._heap) > 4 * len(self.running):  # called off and not yet reached
            self._heap = [x for x in self._heap if x[2].state == "running"]
            heapify(self._heap)
        self._arm()

    def _leave(self, query: Query) -> None:
        query.state = "over"
        self.running.pop(query, None)
        self.threads -= query.threads
        self.reading -= query.io * query.threads
        self.memory -= query.memory
        if not self.running:  # sums of floats drift; an idle engine has none, and its virtual time begins anew
            self.reading = self.memory = self._virtual = 0.0
            self._heap.clear()
        if query.holds:
            self.held[query.tables] -= 1
            if not self.held[query.tables]:
                del self.held[query.tables]
                self._release(query.tables)

    def _release(self, tables: int) -> None:
        queue = self.waiting.get(tables)
        while queue and not self.held.get(tables):
            self._begin(queue.popleft())
        if not queue:
            self.waiting.pop(tables, None)

    def cancel(self, query: Query) -> None:
        """Nobody waits for it any more; its work is lost."""
        if query.state == "waiting":
            query.state = "over"
            queue = self.waiting[query.tables]
            queue.remove(query)
            if not queue:
                del self.waiting[query.tables]
        elif query.state == "running":
            self._advance()
            self.book.lost += (self._virtual - query.began) * query.threads
            self._leave(query)
            self._arm()

    def _overloaded(self, query: Query) -> bool:
        now, s = self.loop.now(), self.spec
        if now - self.born >= s.cold:
            self._sent.clear()
            self._sent_work = 0.0
            return False
        while self._sent and self._sent[0][0] < now - s.fall:
            self._sent_work -= self._sent.popleft()[1]
        self._sent.append((now, query.work))
        self._sent_work += query.work
        return self._sent_work > s.overload * self.capacity() * s.fall

    def _fall(self, query: Query) -> None:
        self.book.falls += 1
        query.state = "over"
        self.die()
        query.done(Outcome.RST)
        self.loop.call_later(self.spec.restart, self.start)
        self.on_fall()

    # Life.

    def die(self, silent: bool = False) -> None:
        """The process ends and resets what is open; silently, where the machine vanishes."""
        self._advance()
        left = [*self.running, *(q for queue in self.waiting.values() for q in queue)]
        for query in self.running:
            self.book.lost += (self._virtual - query.began) * query.threads
        for query in left:
            query.state = "over"
        self.running.clear()
        self.waiting.clear()
        self.held.clear()
        self.warm.clear()
        self._heap.clear()
        self._sent.clear()
        self._sent_work = 0.0
        self.threads, self.reading, self.memory = 0, 0.0, 0.0
        self.up, self.silent = False, silent
        self._arm()
        if not silent:
            for query in sorted(left, key=lambda q: q.began):
                query.done(Outcome.RST)

    def start(self) -> None:
        """A new process, cold."""
        if self.up:
            return
        self._advance()
        self.up, self.silent, self.draining = True, False, False
        self.born = self.loop.now()
        self._grow(STEPS)

    def _grow(self, left: int) -> None:
        self._advance()
        self._arm()
        if left:
            self.loop.call_later(self.spec.cold / STEPS, lambda: self._grow(left - 1))

    def set_slow(self, factor: float) -> None:
        """Everything takes that many times as long."""
        self._advance()
        self.slow = factor
        self._arm()

    def partial(self) -> float:
        """Work done so far of queries that still run."""
        self._advance()
        return sum((self._virtual - q.began) * q.threads for q in self.running)

    def expected(self, work: float, threads: int) -> float:
        """What an oracle would say a query takes, if nothing else came."""
        s = self.spec
        if not self.up or self.draining:
            return float("inf")
        waiting = sum(len(q) for q in self.waiting.values())
        load = (self.threads + threads + waiting) / max(0.1, self.capacity())
        lost = 1.0 + s.thrash * max(0.0, (self.threads + threads) / s.cores - s.knee)
        return work / threads * max(1.0, load) * lost * self.slow
