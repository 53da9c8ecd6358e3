"""The model of a query engine: queries share cores, disks and memory. Free of I/O; time comes from a loop.

All threads run at one speed, so an engine is processor sharing in virtual time (as in fair queueing: Parekh and
Gallager, 1993): virtual time advances at that speed, a query ends when it has advanced by the query's work per thread,
and an event costs O(log n) with n queries. What sets the speed:

- cores: 1 while threads are at most the cores, then cores over threads; beyond a threshold capacity falls (thrashing);
- disks: threads that read beyond what the disks bear slow all down (seeks);
- a start: capacity grows from an initial share to all over the warm-up; too much work meanwhile crashes the engine;
- spells of slowness.

What sets a query's work, once, when it begins: its table group cached or not, memory short (spills), a bad plan.

The emulator runs engines on simulated time, `standins.engine_server` the same ones in real time. Times are ms.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop, heappush
from math import ulp

from decklb.interface import Outcome
from decklb.lab.emulation.simulated_loop import Call, Loop

WARM_UP_STEPS = 15  # in which a starting engine's capacity grows
LONG_AGO_MS = -1e12  # the start of engines that are warm from the beginning
MIN_WORK_LEFT_MS = 1e-9  # less of a query counts as done
MIN_HEAP_TO_COMPACT = 64  # entries, cancelled ones included
MAX_HEAP_RATIO = 4  # entries for each running query, from which on cancelled ones are dropped
MIN_CAPACITY = 0.1  # cores, so that an estimate never divides by nothing


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What a kind of engine is like.

    Attributes:
        cores: Threads that run at full speed.
        memory_mb: Beyond which queries spill.
        disk_threads: Threads that read at full speed.
        max_sessions: Queries, running or waiting, beyond which further ones are rejected.
        thrash_threshold: Threads per core from which on capacity falls.
        thrash_slope: By how much threads slow down for each further thread per core.
        seek_slope: By how much threads slow down for each time that reading threads exceed `disk_threads`.
        spill_factor: Further work, as a share of its own, of a query that finds no memory.
        cached_groups: Table groups that stay cached.
        cache_saving: Share of reading that a cached table group saves.
        warm_up_ms: From a start to full capacity.
        initial_capacity: Share of capacity at a start.
        overload_factor: Times the present capacity, over `overload_window_ms`, that a warming engine bears.
        overload_window_ms: See above.
        restart_ms: From a crash to the next start.
    """

    cores: int = 8
    memory_mb: float = 16_384.0
    disk_threads: float = 4.0
    max_sessions: int = 64
    thrash_threshold: float = 1.6
    thrash_slope: float = 0.6
    seek_slope: float = 0.4
    spill_factor: float = 2.5
    cached_groups: int = 4
    cache_saving: float = 0.5
    warm_up_ms: float = 15_000.0
    initial_capacity: float = 0.31
    overload_factor: float = 3.0
    overload_window_ms: float = 1500.0
    restart_ms: float = 3000.0


class QueryState(Enum):
    """Where a query stands."""

    CREATED = "created"  # not at the engine yet
    WAITING = "waiting"  # for a lock on its table group
    RUNNING = "running"
    OVER = "over"  # ended, cancelled or rejected


@dataclass(slots=True, eq=False)
class Query:
    """One attempt at an engine.

    Attributes:
        work_ms: Of one thread, all threads together, before caches, spills and plans.
        threads: That it runs on.
        io_share: Share of the work that reads.
        memory_mb: That it takes.
        table_group: That it reads.
        locks_tables: Whether it is a load: queries on its group that wait for locks, and other loads, wait.
        waits_for_loads: Whether it waits for loads on its group.
        plan_factor: Times the work that a bad plan takes.
        on_end: Called with the outcome.
        total_work_ms: Work as it came out when the query began.
        virtual_start, virtual_end: In the engine's virtual time.
        state: Where it stands.
    """

    work_ms: float
    threads: int = 1
    io_share: float = 0.3
    memory_mb: float = 100.0
    table_group: int = 0
    locks_tables: bool = False
    waits_for_loads: bool = False
    plan_factor: float = 1.0
    on_end: Callable[[Outcome], None] = lambda outcome: None
    virtual_end: float = 0.0
    total_work_ms: float = 0.0
    virtual_start: float = 0.0
    state: QueryState = QueryState.CREATED


@dataclass(slots=True)
class WorkAccount:
    """An engine's work by what became of it; `served_ms`, `lost_ms` and work in progress add up to `executed_ms`.

    Attributes:
        served_ms: Thread time of queries that ended well.
        lost_ms: Thread time of queries that were cancelled or cut.
        executed_ms: Thread time that ran, in ms at full speed.
        crashes: How often the engine crashed under overload while warming up.
        queries_started: Queries that began to run.
        rejections: Queries rejected for lack of a session.
    """

    served_ms: float = 0.0
    lost_ms: float = 0.0
    executed_ms: float = 0.0
    crashes: int = 0
    queries_started: int = 0
    rejections: int = 0


class Engine:
    """One engine process at one machine; it may end and start again under the same name.

    Attributes:
        up: Whether the process runs.
        unreachable: Whether its machine has vanished: nothing answers.
        draining: Whether the endpoint list calls it draining.
        started_ms: When the process started.
        slowdown: Times as long that everything takes.
        account: Its work so far.
        threads, reading_threads, memory_mb: In use by running queries; reading threads are a fraction.
        running: Queries that run, in the order they began: runs must not depend on where objects lie in memory.
        waiting: Queries that wait for a lock, by table group.
        on_crash: Called after a crash under overload.
    """

    def __init__(self, loop: Loop, name: str, spec: EngineSpec) -> None:
        self.loop, self.name, self.spec = loop, name, spec
        self.up, self.unreachable, self.draining = True, False, False
        self.started_ms = LONG_AGO_MS
        self.slowdown = 1.0
        self.account = WorkAccount()
        self.threads = 0
        self.reading_threads = 0.0
        self.memory_mb = 0.0
        self.running: dict[Query, None] = {}
        self.waiting: dict[int, deque[Query]] = {}
        self.on_crash: Callable[[], None] = lambda: None
        self._locks: dict[int, int] = {}  # loads that run, by table group
        self._cached_groups: OrderedDict[int, None] = OrderedDict()  # least recently used first
        self._virtual_time, self._advanced_ms, self._speed = 0.0, loop.now(), 1.0
        self._ends: list[tuple[float, int, Query]] = []  # heap by virtual end; cancelled queries stay for a while
        self._begun = 0  # queries, to keep the heap's order total
        self._next_end: Call | None = None
        self._recent_work: deque[tuple[float, float]] = deque()  # (moment, work) submitted while warming up
        self._recent_work_ms = 0.0

    # Speed and virtual time.

    @property
    def speed(self) -> float:
        """Virtual time that passes in a millisecond now: 1 is full speed of each thread."""
        return self._speed

    def capacity(self) -> float:
        """Return the cores' worth of work it can do now: less when warming up or slow."""
        age_ms = self.loop.now() - self.started_ms
        share = 1.0
        if age_ms < self.spec.warm_up_ms:
            initial = self.spec.initial_capacity
            share = initial + (1 - initial) * max(0.0, age_ms) / self.spec.warm_up_ms
        return self.spec.cores * share / self.slowdown

    def _current_speed(self) -> float:
        if not self.threads:
            return 1.0
        spec, capacity = self.spec, self.capacity()
        max_speed = min(1.0, capacity / spec.cores)  # of one thread with a core of its own
        threads_per_core = self.threads / spec.cores
        thrashing = 1.0 + spec.thrash_slope * max(0.0, threads_per_core - spec.thrash_threshold)
        speed = min(max_speed, capacity / self.threads / thrashing)
        return speed / (1.0 + spec.seek_slope * max(0.0, self.reading_threads / spec.disk_threads - 1.0))

    def _advance(self) -> None:
        """Let virtual time pass up to now, at the speed that held since the last call."""
        now = self.loop.now()
        if now > self._advanced_ms:
            step = (now - self._advanced_ms) * self._speed
            self._virtual_time += step
            self.account.executed_ms += step * self.threads
            self._advanced_ms = now

    def _reschedule(self) -> None:
        """Set the speed anew, and the call at which the next query ends."""
        self._speed = self._current_speed()
        if self._next_end is not None:
            self._next_end.cancel()
            self._next_end = None
        while self._ends and self._ends[0][2].state is not QueryState.RUNNING:
            heappop(self._ends)
        if self._ends and self._speed > 0:
            left_ms = (self._ends[0][0] - self._virtual_time) / self._speed
            self._next_end = self.loop.call_later(left_ms, self._end_queries)

    def _end_queries(self) -> None:
        self._next_end = None
        self._advance()
        ended = []
        # What rounding leaves of a query is less than a nanosecond of work, or too little for the clock to move by:
        # after some hours of a run its steps are larger than that, and the same moment would come for ever.
        rounding = 2 * max(ulp(self._virtual_time), ulp(self._advanced_ms) * self._speed)
        end = self._virtual_time + max(MIN_WORK_LEFT_MS, rounding)
        while self._ends and (self._ends[0][0] <= end or self._ends[0][2].state is not QueryState.RUNNING):
            query = heappop(self._ends)[2]
            if query.state is QueryState.RUNNING:
                ended.append(query)
        for query in ended:  # only now: when the last one leaves, virtual time begins anew
            self.account.served_ms += query.total_work_ms
            self._remove(query)
        self._reschedule()
        for query in ended:
            query.on_end(Outcome.SUCCESS)

    # Queries.

    def submit(self, query: Query) -> None:
        """Begin a query, let it wait for a lock, or end it at once; on an unreachable machine nothing answers."""
        if self.unreachable:
            query.state = QueryState.OVER
        elif not self.up:
            self._reject(query, Outcome.UNREACHABLE)
        elif len(self.running) + self._waiting_count() >= self.spec.max_sessions:
            self.account.rejections += 1
            self._reject(query, Outcome.OVERLOADED)
        elif self._overloads(query):
            self._crash(query)
        elif self._must_wait(query):
            query.state = QueryState.WAITING
            self.waiting.setdefault(query.table_group, deque()).append(query)
        else:
            self._begin(query)

    def _reject(self, query: Query, outcome: Outcome) -> None:
        query.state = QueryState.OVER
        query.on_end(outcome)

    def _waiting_count(self) -> int:
        return sum(map(len, self.waiting.values()))

    def _must_wait(self, query: Query) -> bool:
        group = query.table_group
        locked = self._locks.get(group) or self.waiting.get(group)
        return bool((query.waits_for_loads or query.locks_tables) and locked)

    def _begin(self, query: Query) -> None:
        self._advance()
        query.total_work_ms = self._total_work_ms(query)
        query.state, query.virtual_start = QueryState.RUNNING, self._virtual_time
        query.virtual_end = self._virtual_time + query.total_work_ms / query.threads
        self.running[query] = None
        self.threads += query.threads
        self.reading_threads += query.io_share * query.threads
        self.memory_mb += query.memory_mb
        if query.locks_tables:
            self._locks[query.table_group] = self._locks.get(query.table_group, 0) + 1
        self.account.queries_started += 1
        self._begun += 1
        heappush(self._ends, (query.virtual_end, self._begun, query))
        if len(self._ends) > MIN_HEAP_TO_COMPACT and len(self._ends) > MAX_HEAP_RATIO * len(self.running):
            self._ends = [entry for entry in self._ends if entry[2].state is QueryState.RUNNING]
            heapify(self._ends)
        self._reschedule()

    def _total_work_ms(self, query: Query) -> float:
        """Return a query's work with cache, spill and plan, and keep its table group cached."""
        spec, reading = self.spec, query.io_share
        if query.table_group in self._cached_groups:
            self._cached_groups.move_to_end(query.table_group)
            reading *= 1.0 - spec.cache_saving
        else:
            self._cached_groups[query.table_group] = None
            if len(self._cached_groups) > spec.cached_groups:
                self._cached_groups.popitem(last=False)
        free_mb = spec.memory_mb - self.memory_mb
        missing_share = max(0.0, 1.0 - free_mb / query.memory_mb) if query.memory_mb else 0.0
        spilled = 1.0 + spec.spill_factor * min(1.0, missing_share)
        return query.work_ms * (1.0 - query.io_share + reading) * spilled * query.plan_factor

    def _remove(self, query: Query) -> None:
        """Free what a query held, and begin those that waited for its lock."""
        query.state = QueryState.OVER
        self.running.pop(query, None)
        self.threads -= query.threads
        self.reading_threads -= query.io_share * query.threads
        self.memory_mb -= query.memory_mb
        if not self.running:  # sums of floats drift; an idle engine has none, and its virtual time begins anew
            self.reading_threads = self.memory_mb = self._virtual_time = 0.0
            self._ends.clear()
        if query.locks_tables:
            self._locks[query.table_group] -= 1
            if not self._locks[query.table_group]:
                del self._locks[query.table_group]
                self._begin_waiting(query.table_group)

    def _begin_waiting(self, table_group: int) -> None:
        queue = self.waiting.get(table_group)
        while queue and not self._locks.get(table_group):
            self._begin(queue.popleft())
        if not queue:
            self.waiting.pop(table_group, None)

    def cancel(self, query: Query) -> None:
        """End a query that nobody waits for any more; its work is lost. `on_end` is not called."""
        if query.state is QueryState.WAITING:
            query.state = QueryState.OVER
            queue = self.waiting[query.table_group]
            queue.remove(query)
            if not queue:
                del self.waiting[query.table_group]
        elif query.state is QueryState.RUNNING:
            self._advance()
            self.account.lost_ms += self._executed_ms(query)
            self._remove(query)
            self._reschedule()

    def _executed_ms(self, query: Query) -> float:
        return (self._virtual_time - query.virtual_start) * query.threads

    def _overloads(self, query: Query) -> bool:
        """Whether a query is more than a warming engine bears."""
        now, spec = self.loop.now(), self.spec
        if now - self.started_ms >= spec.warm_up_ms:
            self._recent_work.clear()
            self._recent_work_ms = 0.0
            return False
        while self._recent_work and self._recent_work[0][0] < now - spec.overload_window_ms:
            self._recent_work_ms -= self._recent_work.popleft()[1]
        self._recent_work.append((now, query.work_ms))
        self._recent_work_ms += query.work_ms
        return self._recent_work_ms > spec.overload_factor * self.capacity() * spec.overload_window_ms

    def _crash(self, query: Query) -> None:
        self.account.crashes += 1
        query.state = QueryState.OVER
        self.stop()
        query.on_end(Outcome.CONNECTION_RESET)
        self.loop.call_later(self.spec.restart_ms, self.start)
        self.on_crash()

    # The process.

    def stop(self, silent: bool = False) -> None:
        """End the process and reset its connections; silently, where the machine vanishes."""
        self._advance()
        open_queries = [*self.running, *(query for queue in self.waiting.values() for query in queue)]
        for query in self.running:
            self.account.lost_ms += self._executed_ms(query)
        for query in open_queries:
            query.state = QueryState.OVER
        self.running.clear()
        self.waiting.clear()
        self._locks.clear()
        self._cached_groups.clear()
        self._ends.clear()
        self._recent_work.clear()
        self._recent_work_ms = 0.0
        self.threads, self.reading_threads, self.memory_mb = 0, 0.0, 0.0
        self.up, self.unreachable = False, silent
        self._reschedule()
        if not silent:
            for query in sorted(open_queries, key=lambda query: query.virtual_start):
                query.on_end(Outcome.CONNECTION_RESET)

    def start(self) -> None:
        """Start a new process, which has to warm up."""
        if self.up:
            return
        self._advance()
        self.up, self.unreachable, self.draining = True, False, False
        self.started_ms = self.loop.now()
        self._warm_up(WARM_UP_STEPS)

    def _warm_up(self, steps_left: int) -> None:
        self._advance()
        self._reschedule()
        if steps_left:
            self.loop.call_later(self.spec.warm_up_ms / WARM_UP_STEPS, lambda: self._warm_up(steps_left - 1))

    def set_slowdown(self, factor: float) -> None:
        """Let everything take that many times as long."""
        self._advance()
        self.slowdown = factor
        self._reschedule()

    # What an observer may ask.

    def work_in_progress_ms(self) -> float:
        """Return the thread time that queries which still run have had."""
        self._advance()
        return sum(self._executed_ms(query) for query in self.running)

    def expected_ms(self, work_ms: float, threads: int) -> float:
        """Return how long a query would take if no other came; infinite at an engine that takes none."""
        spec = self.spec
        if not self.up or self.draining:
            return float("inf")
        load = (self.threads + threads + self._waiting_count()) / max(MIN_CAPACITY, self.capacity())
        threads_per_core = (self.threads + threads) / spec.cores
        thrashing = 1.0 + spec.thrash_slope * max(0.0, threads_per_core - spec.thrash_threshold)
        return work_ms / threads * max(1.0, load) * thrashing * self.slowdown
