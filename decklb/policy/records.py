"""Requests, their attempts, and the engines that these run at: the records that all mechanisms share.

Without decisions: the gateway makes requests and attempts, the engine registry engines; the mechanisms read
and mark them. An engine is one flat record, with the state that each mechanism keeps of it, since routing
reads most of it for each request. Times are ms on the gateway's monotonic clock; 'own' means sent by this
gateway.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field
from hashlib import blake2b

from decklb.interface import Endpoint, Outcome, RequestArrived, RequestClass
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.constants import LONG_AGO
from decklb.policy.tenants import Tenant

NEVER_EXECUTED = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NEVER_SENT)
# After these the engine may still be at work on the attempt.
UNCERTAIN = (Outcome.TIMED_OUT, Outcome.CONNECTION_RESET, Outcome.CANCELLED)
MIN_RELATIVE_SIZE = 0.1  # times the usual of its class: estimates scatter, so they count within bounds
MAX_RELATIVE_SIZE = 10.0  # likewise


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to an engine."""

    request: Request
    number: int  # 0 for the first
    engine: Engine
    sent_at: float  # ms
    size_step: float = 1.0  # relative size of its request, rounded to a power of two
    outcome: Outcome | None = None  # None while in flight
    presumed_lost: bool = False
    last_progress_at: float = LONG_AGO  # ms, of the last progress note
    confirmed: bool = False  # the engine itself vouches for the outcome

    @property
    def is_uncertain(self) -> bool:
        """Whether its engine may still be at work on it, for all that is known here."""
        return self.outcome in UNCERTAIN or not self.confirmed


@dataclass(slots=True, eq=False)
class Request:
    """An accepted request until its last attempt has ended."""

    arrival: RequestArrived
    spec: RequestClass
    statistics: ClassStatistics
    tenant: Tenant
    arrived_at: float  # ms
    sequence: int  # order of arrival
    over_quota: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False  # answered, or its client has gone
    queued: bool = False
    streaming: bool = False  # its answer has begun
    order_offset: float = 0.0  # 0 to 1: where in the order of engines it starts, by chance
    awaits_reports_since: float = 0.0  # 0 while it does not
    allowed_zones: Collection[str] | None = None  # those of its class and of its arrival; None for any

    def __post_init__(self) -> None:
        own, class_zones = self.arrival.allowed_zones, self.spec.allowed_zones
        if own is None or class_zones is None:
            self.allowed_zones = class_zones if own is None else own
        else:
            self.allowed_zones = [zone for zone in class_zones if zone in own]

    def is_in_flight(self) -> bool:
        """Whether an attempt still lacks its outcome."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def first_executed(self) -> Attempt | None:
        """The first attempt that is in flight or may have been executed."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_EXECUTED), None)

    def relative_size(self) -> float:
        """Its estimated cost over the mean of its class, within bounds; 1 where there is no estimate."""
        if self.arrival.estimated_work_ms <= 0:
            return 1.0
        size = self.statistics.relative_size(self.arrival.estimated_work_ms)
        return min(MAX_RELATIVE_SIZE, max(MIN_RELATIVE_SIZE, size))

    def size_step(self) -> float:
        """The relative size, rounded to a power of two."""
        return 2.0 ** round(math.log2(self.relative_size()))

    def expected_run_ms(self) -> float:
        """How long an attempt usually runs."""
        run_ms = self.statistics.run_ms
        return run_ms * self.relative_size() if self.arrival.estimated_work_ms > 0 else run_ms

    def expected_work_ms(self) -> float:
        """How much work on one thread it usually takes."""
        return self.statistics.work_ms * self.relative_size()

    def latency_objective_ms(self) -> float:
        """The class's latency objective, longer for larger queries where the class says so."""
        return (
            self.spec.latency_objective_ms
            + self.spec.objective_stretch * self.expected_work_ms() / self.spec.threads
        )


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
    """An engine as this gateway knows it."""

    entry: Endpoint  # its line in the endpoint list
    cores: float
    last_answer_at: float  # ms; of its first listing before any
    started_at: float = LONG_AGO  # last start, or when it was last unreachable: it is cold for a while after
    # Own attempts in flight
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)  # by request and number
    threads: int = 0  # of these, without those presumed lost
    in_flight: dict[tuple[str, float], InFlightGroup] = field(default_factory=dict)  # by class and size step
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)  # (time, work in ms) of own sends
    # Outlier detection
    ejected_until: float = 0.0  # ms
    backoff_ms: float = 0.0  # length of the last ejection, 0 since an answer
    on_trial: bool = False  # ejected, and has not answered since
    error_share: float = 0.0  # share of its recent answers that were 'full' or errors of its own
    # Slowness of its answers
    slowdown: float = 1.0  # times the usual that they took of late
    slowdown_changed: bool = False  # since peers were last told
    # Load reports
    reported_load: float = 0.0  # threads a core at its last report, own sends since included
    load_limit: float = 0.0  # load up to which this gateway sends until the next report
    reported_at: float = LONG_AGO  # ms, when that report came
    probe_sent_at: float = LONG_AGO  # LONG_AGO while no probe is unanswered
    # Subsetting
    subset_size: int = 1  # number of gateways that prefer it
    subset_rank: int = 0  # this gateway's among all at this engine; ranks below the size prefer it
    preferred: bool = True
    hashes: dict[int, bytes] = field(default_factory=dict)  # by group of tables

    def hash_for(self, group: int) -> bytes:
        """Its hash with a group of tables; the order of engines follows it."""
        if group not in self.hashes:
            self.hashes[group] = blake2b(f"{group}/{self.entry.engine_id}".encode(), digest_size=8).digest()
        return self.hashes[group]

    def tag(self) -> int:
        """A 16-bit name, the same at every gateway."""
        return int.from_bytes(self.hash_for(0)[:2], "big")

    def add_attempt(self, attempt: Attempt) -> None:
        """Count an attempt that is being sent; attempts come in the order of time."""
        request = attempt.request
        self.attempts[request.arrival.request_id, attempt.number] = attempt
        self.threads += request.spec.threads
        key = request.arrival.request_class, attempt.size_step
        if key not in self.in_flight:
            self.in_flight[key] = InFlightGroup(request.statistics, attempt.size_step, request.spec.threads)
        self.in_flight[key].sent_at.append(attempt.sent_at)

    def release_threads(self, attempt: Attempt) -> None:
        """Its threads count no more: it has ended, or is presumed lost."""
        self.threads -= attempt.request.spec.threads
        key = attempt.request.arrival.request_class, attempt.size_step
        sent_at = self.in_flight[key].sent_at
        del sent_at[bisect_left(sent_at, attempt.sent_at)]
        if not sent_at:  # each step walks over all groups
            del self.in_flight[key]

    def end_attempt(self, attempt: Attempt) -> None:
        """Forget an attempt that has its outcome."""
        self.attempts.pop((attempt.request.arrival.request_id, attempt.number), None)
        if not attempt.presumed_lost:
            self.release_threads(attempt)

    def runs_load_on(self, tables: int) -> bool:
        """Whether an own load that locks this group of tables is in flight here."""
        requests = (attempt.request for attempt in self.attempts.values())
        return any(
            request.spec.locks_tables and request.arrival.table_group == tables for request in requests
        )
