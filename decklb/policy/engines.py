"""The engines that endpoint lists have named, and their rendezvous-hash order for each group of tables.

One `Engine` record an engine, with the state that each mechanism keeps of it, flat because the routing loop
reads most of it for each request. `EngineRegistry` owns the records; the gateway updates it from the list.
Ordering is rendezvous (highest random weight) hashing of Thaler and Ravishankar, the same at every gateway.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import deque
from dataclasses import dataclass, field, replace
from hashlib import blake2b

from decklb.interface import Entry, Phase
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.constants import LONG_AGO
from decklb.policy.requests import Attempt


@dataclass(slots=True, eq=False)
class InFlightGroup:
    """The attempts of one class and size step in flight at one engine."""

    statistics: ClassStatistics
    size_step: float
    threads: int  # of one attempt
    sent_at: list[float] = field(default_factory=list)  # in order

    def threads_since(self, start: float) -> int:
        """Threads of those sent after `start`."""
        return self.threads * (len(self.sent_at) - bisect_right(self.sent_at, start))


@dataclass(slots=True, eq=False)
class Engine:
    """An engine as this gateway knows it. Times in ms; 'own' means sent by this gateway."""

    entry: Entry  # its line in the endpoint list
    cores: float
    last_answer_at: float
    started_at: float = LONG_AGO  # last start, or when it was last unreachable: it is cold for a while after
    # Own attempts in flight
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)  # by request and number
    threads: int = 0  # of these, without those presumed lost
    in_flight: dict[tuple[str, float], InFlightGroup] = field(default_factory=dict)  # by class and size step
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)  # (time, work in ms) of own sends
    # Outlier detection
    ejected_until: float = 0.0
    backoff_ms: float = 0.0
    on_trial: bool = False  # ejected, and has not answered since
    error_share: float = 0.0  # share of its recent answers that were errors of its own
    # Slowness of its answers
    slowdown: float = 1.0  # times the usual that they took of late
    slowdown_changed: bool = False  # since peers were last told
    # Load reports
    reported_load: float = 0.0  # threads a core at its last report, own sends since included
    load_limit: float = 0.0  # load up to which this gateway sends until the next report
    reported_at: float = LONG_AGO
    probe_sent_at: float = LONG_AGO  # LONG_AGO while no probe is unanswered
    # Subsetting
    subset_size: int = 1  # number of gateways that prefer it
    subset_rank: int = 0  # this gateway's among all at this engine; ranks below the size prefer it
    preferred: bool = True
    hashes: dict[int, bytes] = field(default_factory=dict)  # by group of tables

    def hash_for(self, group: int) -> bytes:
        """Its hash with a group of tables; the order of engines follows it."""
        if group not in self.hashes:
            self.hashes[group] = blake2b(f"{group}/{self.entry.engine}".encode(), digest_size=8).digest()
        return self.hashes[group]

    def tag(self) -> int:
        """A 16-bit name, the same at every gateway."""
        return int.from_bytes(self.hash_for(0)[:2], "big")

    def add_attempt(self, attempt: Attempt) -> None:
        """Count an attempt that is being sent; attempts come in the order of time."""
        request = attempt.request
        self.attempts[request.arrival.req, attempt.number] = attempt
        self.threads += request.spec.threads
        key = request.arrival.lane, attempt.size_step
        if key not in self.in_flight:
            self.in_flight[key] = InFlightGroup(request.statistics, attempt.size_step, request.spec.threads)
        self.in_flight[key].sent_at.append(attempt.sent_at)

    def release_threads(self, attempt: Attempt) -> None:
        """Its threads count no more: it has ended, or is presumed lost."""
        self.threads -= attempt.request.spec.threads
        key = attempt.request.arrival.lane, attempt.size_step
        sent_at = self.in_flight[key].sent_at
        del sent_at[bisect_left(sent_at, attempt.sent_at)]
        if not sent_at:  # each step walks over all groups
            del self.in_flight[key]

    def end_attempt(self, attempt: Attempt) -> None:
        """Forget an attempt that has its outcome."""
        self.attempts.pop((attempt.request.arrival.req, attempt.number), None)
        if not attempt.presumed_lost:
            self.release_threads(attempt)

    def runs_load_on(self, tables: int) -> bool:
        """Whether an own load that locks this group of tables is in flight here."""
        return any(
            a.request.spec.holds and a.request.arrival.tables == tables for a in self.attempts.values()
        )


class EngineRegistry:
    """All known engines, by id."""

    def __init__(self) -> None:
        self.by_id: dict[str, Engine] = {}
        self.by_tag: dict[int, Engine] = {}  # those that are up
        self._up: list[Engine] = []
        self._orders: dict[int, list[Engine]] = {}  # by group of tables

    def up(self) -> list[Engine]:
        """Engines that the list calls up."""
        return self._up

    def update(self, entries: list[Entry], complete: bool, now: float, cores: dict[str, int]) -> None:
        """Take an update of the endpoint list; whatever a complete list lacks is removed.

        Args:
            entries: the lines that are new or have changed, or all.
            complete: whether these are all.
            now: ms.
            cores: cores of an engine, by kind.
        """
        for entry in entries:
            engine = self.by_id.get(entry.engine)
            if engine is None:
                engine = self.by_id[entry.engine] = Engine(
                    entry, float(max(1, cores.get(entry.kind, 1))), now
                )
            engine.entry = entry
            engine.started_at = max(engine.started_at, entry.ready_at or LONG_AGO)
        listed = {entry.engine for entry in entries}
        for name, engine in list(self.by_id.items()):
            if complete and name not in listed:
                engine.entry = replace(engine.entry, phase=Phase.REMOVED)
            if engine.entry.phase is Phase.REMOVED and not engine.attempts:
                del self.by_id[name]
        up = [engine for engine in self.by_id.values() if engine.entry.phase is Phase.UP]
        if up != self._up:
            self._up, self.by_tag = up, {engine.tag(): engine for engine in up}
            self._orders.clear()

    def order(self, group: int) -> list[Engine]:
        """Engines that are up in a group's hash order, preferred ones first."""
        if group not in self._orders:
            self._orders[group] = sorted(
                self._up,
                key=lambda engine: (not engine.preferred, engine.hash_for(group), engine.entry.engine),
            )
        return self._orders[group]
