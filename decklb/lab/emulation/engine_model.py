"""Model of a query engine whose queries share cores, disks and memory. No I/O; time comes from a loop.

All threads run at the same speed. The engine is therefore modelled as processor sharing in virtual time (as in fair
queueing: Parekh and Gallager, 1993): virtual time advances at that speed, a query ends when virtual time has advanced
by the query's work per thread, and an event costs O(log n) with n queries. The speed depends on:

- cores: 1 while there are at most as many threads as cores, then cores / threads; above a threshold of threads per
  core, thrashing reduces it further;
- disks: when more threads read than the disks can serve at full speed, all threads slow down (seeks);
- warm-up: after a start, capacity grows from an initial fraction to its full value; too much work during that time
  crashes the engine;
- a slowdown factor set from outside.

The work of a query is determined when it starts, by whether its table group is cached, whether memory is short (it
then spills to disk) and whether it has a bad plan.

The emulator runs engines in simulated time, `standins.engine_server` runs them in real time. Times are milliseconds.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from heapq import heapify, heappop, heappush
from math import ulp

from decklb.interface import Outcome
from decklb.lab.emulation.simulated_loop import Loop, ScheduledCall

WARM_UP_STEPS = 15  # number of steps in which the capacity of a starting engine grows
LONG_AGO_MS = -1e12  # start time of engines that have warmed up before the simulation begins
MIN_REMAINING_WORK_MS = 1e-9  # a query with at most this much virtual time left counts as finished
MIN_HEAP_TO_COMPACT = 64  # heap entries, cancelled queries included, below which the heap is not compacted
MAX_HEAP_RATIO = 4  # heap entries per running query above which entries of cancelled queries are removed
MIN_CAPACITY = 0.1  # lower bound in cores, so that an estimate never divides by 0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Properties of a kind of engine.

    Attributes:
        cores: Number of threads that can run at full speed.
        memory_mb: Memory in MB; when it is used up, further queries spill to disk.
        disk_threads: Number of threads that can read from disk at full speed.
        max_sessions: Maximum number of running and waiting queries; further ones are rejected.
        thrash_threshold: Threads per core above which thrashing begins.
        thrash_slope: Relative slowdown for each thread per core above `thrash_threshold`.
        seek_slope: Relative slowdown for each further multiple of `disk_threads` that reads at the same time.
        spill_factor: Additional work of a query that gets no memory at all, as a multiple of its own work.
        cached_groups: Number of table groups that fit into the cache.
        cache_saving: Fraction of the reading that is saved when the table group is cached.
        warm_up_ms: Time in ms from a start to full capacity.
        initial_capacity: Fraction of the capacity available at the start.
        overload_factor: While warming up, the engine crashes if the work submitted within `overload_window_ms` exceeds
            this multiple of its current capacity.
        overload_window_ms: Length in ms of the window over which that work is summed up.
        restart_ms: Time in ms from a crash to the next start.
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
    """State of a query."""

    CREATED = "created"  # not yet submitted to the engine
    WAITING = "waiting"  # waiting for a lock on its table group
    RUNNING = "running"
    OVER = "over"  # ended, cancelled or rejected


@dataclass(slots=True, eq=False)
class Query:
    """One attempt as a query at an engine.

    Attributes:
        work_ms: Execution time in ms, summed over all threads, before the effects of cache, spilling and plan.
        threads: Number of threads that it runs on.
        io_share: Fraction of the work that reads from disk.
        memory_mb: Memory in MB that it uses.
        table_group: Table group that it reads or loads data into.
        locks_tables: It is a data load, which locks its table group: other loads of that group and queries with
            `waits_for_loads` have to wait.
        waits_for_loads: It waits while a data load locks its table group.
        plan_factor: Factor on the work for a bad plan; 1 for a good plan.
        on_end: Called with the outcome.
        virtual_start, virtual_end: Start and end in the engine's virtual time.
        total_work_ms: Work with the effects of cache, spilling and plan, set when the query starts.
        state: Current state.
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
    """An engine's work by result; `served_ms`, `lost_ms` and the work in progress add up to `executed_ms`.

    Attributes:
        served_ms: Thread time of queries that completed.
        lost_ms: Thread time of queries that were cancelled or aborted by the end of the engine.
        executed_ms: Executed thread time, in ms at full speed.
        crashes: Number of crashes under overload during the warm-up.
        queries_started: Number of queries that started to run.
        rejections: Number of queries rejected because all sessions were in use.
    """

    served_ms: float = 0.0
    lost_ms: float = 0.0
    executed_ms: float = 0.0
    crashes: int = 0
    queries_started: int = 0
    rejections: int = 0


class Engine:
    """One engine process on its machine; it may stop and start again under the same name.

    Attributes:
        loop: Clock and scheduler, simulated or real.
        name: Id of the engine.
        spec: Properties of the engine.
        up: The process is running.
        unreachable: The machine has disappeared, so nothing answers.
        draining: The endpoint list marks the engine as draining.
        started_ms: Start time of the process.
        slowdown: Factor by which everything takes longer.
        account: Work executed so far.
        threads: Threads of the running queries.
        reading_threads: Threads that read from disk, as the sum of fractions of the running queries' threads.
        memory_mb: Memory in MB used by the running queries.
        running: Running queries in order of their start. A dict and not a set, since the order of a set depends on
            memory addresses and runs must be reproducible.
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
        self._locks: dict[int, int] = {}  # number of running loads, by table group
        self._cached_groups: OrderedDict[int, None] = OrderedDict()  # least recently used first
        self._virtual_time, self._advanced_ms, self._speed = 0.0, loop.now(), 1.0
        # Heap of (virtual end, sequence number, query); cancelled queries are removed lazily.
        self._end_heap: list[tuple[float, int, Query]] = []
        self._start_sequence = 0  # breaks ties in the heap between queries with the same virtual end
        self._next_end_call: ScheduledCall | None = None
        self._recent_work: deque[tuple[float, float]] = deque()  # (time, work) submitted while warming up
        self._recent_work_ms = 0.0

    # Speed and virtual time.

    @property
    def speed(self) -> float:
        """Current rate of virtual time: 1 if every thread runs at full speed."""
        return self._speed

    def capacity(self) -> float:
        """Return the current capacity in cores, which is reduced during the warm-up and by a slowdown."""
        age_ms = self.loop.now() - self.started_ms
        fraction = 1.0
        if age_ms < self.spec.warm_up_ms:
            initial = self.spec.initial_capacity
            fraction = initial + (1 - initial) * max(0.0, age_ms) / self.spec.warm_up_ms
        return self.spec.cores * fraction / self.slowdown

    def _current_speed(self) -> float:
        if not self.threads:
            return 1.0
        spec, capacity = self.spec, self.capacity()
        max_speed = min(1.0, capacity / spec.cores)  # of one thread with a core to itself
        threads_per_core = self.threads / spec.cores
        thrashing = 1.0 + spec.thrash_slope * max(0.0, threads_per_core - spec.thrash_threshold)
        speed = min(max_speed, capacity / self.threads / thrashing)
        return speed / (1.0 + spec.seek_slope * max(0.0, self.reading_threads / spec.disk_threads - 1.0))

    def _advance(self) -> None:
        """Advance virtual time to the present at the speed that applied since the last call."""
        now = self.loop.now()
        if now > self._advanced_ms:
            step = (now - self._advanced_ms) * self._speed
            self._virtual_time += step
            self.account.executed_ms += step * self.threads
            self._advanced_ms = now

    def _reschedule(self) -> None:
        """Recompute the speed and reschedule the end of the query that ends next."""
        self._speed = self._current_speed()
        if self._next_end_call is not None:
            self._next_end_call.cancel()
            self._next_end_call = None
        while self._end_heap and self._end_heap[0][2].state is not QueryState.RUNNING:
            heappop(self._end_heap)
        if self._end_heap and self._speed > 0:
            remaining_ms = (self._end_heap[0][0] - self._virtual_time) / self._speed
            self._next_end_call = self.loop.call_later(remaining_ms, self._end_due_queries)

    def _end_due_queries(self) -> None:
        self._next_end_call = None
        self._advance()
        ended = []
        # Rounding leaves a remainder of less than a nanosecond of work. After some hours of simulated time, the
        # resolution of the clock is coarser than that remainder: without a larger tolerance the clock would not
        # advance any more and the same end would be scheduled forever.
        rounding_error = 2 * max(ulp(self._virtual_time), ulp(self._advanced_ms) * self._speed)
        end = self._virtual_time + max(MIN_REMAINING_WORK_MS, rounding_error)
        while self._end_heap and (self._end_heap[0][0] <= end or self._end_heap[0][2].state is not QueryState.RUNNING):
            query = heappop(self._end_heap)[2]
            if query.state is QueryState.RUNNING:
                ended.append(query)
        for query in ended:  # in a second loop: removing the last query resets virtual time
            self.account.served_ms += query.total_work_ms
            self._remove(query)
        self._reschedule()
        for query in ended:
            query.on_end(Outcome.SUCCESS)

    # Queries.

    def submit(self, query: Query) -> None:
        """Start a query, queue it behind a lock or reject it.

        On an unreachable machine, `on_end` is never called.
        """
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
            self._start_query(query)

    def _reject(self, query: Query, outcome: Outcome) -> None:
        query.state = QueryState.OVER
        query.on_end(outcome)

    def _waiting_count(self) -> int:
        return sum(map(len, self.waiting.values()))

    def _must_wait(self, query: Query) -> bool:
        group = query.table_group
        locked = self._locks.get(group) or self.waiting.get(group)
        return bool((query.waits_for_loads or query.locks_tables) and locked)

    def _start_query(self, query: Query) -> None:
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
        self._start_sequence += 1
        heappush(self._end_heap, (query.virtual_end, self._start_sequence, query))
        if len(self._end_heap) > MIN_HEAP_TO_COMPACT and len(self._end_heap) > MAX_HEAP_RATIO * len(self.running):
            self._end_heap = [entry for entry in self._end_heap if entry[2].state is QueryState.RUNNING]
            heapify(self._end_heap)
        self._reschedule()

    def _total_work_ms(self, query: Query) -> float:
        """Return a query's work with the effects of cache, spilling and plan; put its table group into the cache."""
        spec, reading = self.spec, query.io_share
        if query.table_group in self._cached_groups:
            self._cached_groups.move_to_end(query.table_group)
            reading *= 1.0 - spec.cache_saving
        else:
            self._cached_groups[query.table_group] = None
            if len(self._cached_groups) > spec.cached_groups:
                self._cached_groups.popitem(last=False)
        free_mb = spec.memory_mb - self.memory_mb
        missing_fraction = max(0.0, 1.0 - free_mb / query.memory_mb) if query.memory_mb else 0.0
        spill_multiplier = 1.0 + spec.spill_factor * min(1.0, missing_fraction)
        return query.work_ms * (1.0 - query.io_share + reading) * spill_multiplier * query.plan_factor

    def _remove(self, query: Query) -> None:
        """Release the resources of a query and start the queries that waited for its lock."""
        query.state = QueryState.OVER
        self.running.pop(query, None)
        self.threads -= query.threads
        self.reading_threads -= query.io_share * query.threads
        self.memory_mb -= query.memory_mb
        if not self.running:  # reset the sums when idle, so that rounding errors do not build up
            self.reading_threads = self.memory_mb = self._virtual_time = 0.0
            self._end_heap.clear()
        if query.locks_tables:
            self._locks[query.table_group] -= 1
            if not self._locks[query.table_group]:
                del self._locks[query.table_group]
                self._start_waiting(query.table_group)

    def _start_waiting(self, table_group: int) -> None:
        queue = self.waiting.get(table_group)
        while queue and not self._locks.get(table_group):
            self._start_query(queue.popleft())
        if not queue:
            self.waiting.pop(table_group, None)

    def cancel(self, query: Query) -> None:
        """Cancel a running or waiting query; its work is lost and `on_end` is not called."""
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
        """Return whether a query overloads an engine that is still warming up."""
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
        """Stop the process and abort its queries.

        Args:
            silent: The machine disappears, so connections are not reset.
        """
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
        self._end_heap.clear()
        self._recent_work.clear()
        self._recent_work_ms = 0.0
        self.threads, self.reading_threads, self.memory_mb = 0, 0.0, 0.0
        self.up, self.unreachable = False, silent
        self._reschedule()
        if not silent:
            for query in sorted(open_queries, key=lambda query: query.virtual_start):
                query.on_end(Outcome.CONNECTION_RESET)

    def start(self) -> None:
        """Start the process if it is not running; it then has to warm up."""
        if self.up:
            return
        self._advance()
        self.up, self.unreachable, self.draining = True, False, False
        self.started_ms = self.loop.now()
        self._step_warm_up(WARM_UP_STEPS)

    def _step_warm_up(self, steps_left: int) -> None:
        self._advance()
        self._reschedule()
        if steps_left:
            self.loop.call_later(self.spec.warm_up_ms / WARM_UP_STEPS, lambda: self._step_warm_up(steps_left - 1))

    def set_slowdown(self, factor: float) -> None:
        """Set the factor by which everything takes longer."""
        self._advance()
        self.slowdown = factor
        self._reschedule()

    # Figures for the run's records and for the oracle policy.

    def work_in_progress_ms(self) -> float:
        """Return the thread time in ms that the running queries have used so far."""
        self._advance()
        return sum(self._executed_ms(query) for query in self.running)

    def expected_ms(self, work_ms: float, threads: int) -> float:
        """Return the duration of a query if no other one arrived; infinite if the engine accepts no queries."""
        spec = self.spec
        if not self.up or self.draining:
            return float("inf")
        load = (self.threads + threads + self._waiting_count()) / max(MIN_CAPACITY, self.capacity())
        threads_per_core = (self.threads + threads) / spec.cores
        thrashing = 1.0 + spec.thrash_slope * max(0.0, threads_per_core - spec.thrash_threshold)
        return work_ms / threads * max(1.0, load) * thrashing * self.slowdown
