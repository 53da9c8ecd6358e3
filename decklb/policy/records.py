"""Requests, attempts and engines: the records that all mechanisms of the policy share.

The records make no decisions. The gateway creates requests and attempts, the engine registry creates
engines, and the mechanisms read and update them. An engine is one flat record that holds the state of every
mechanism, since routing reads most of it for each request. Times are ms on the gateway's monotonic clock.
An engine's record covers only the attempts of this gateway, except where stated otherwise.
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

# After these outcomes the engine has certainly not executed the attempt.
NEVER_EXECUTED = (Outcome.OVERLOADED, Outcome.UNREACHABLE, Outcome.NEVER_SENT)
# After these outcomes the engine may still be executing the attempt.
UNCERTAIN = (Outcome.TIMED_OUT, Outcome.CONNECTION_RESET, Outcome.CANCELLED)
# Bounds of a request's estimated cost over the mean of its class, since estimates are inaccurate.
MIN_RELATIVE_SIZE = 0.1
MAX_RELATIVE_SIZE = 10.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to execute a request at an engine."""

    request: Request  # request that the attempt executes
    number: int  # position among the attempts of the request, from 0
    engine: Engine  # engine to which the attempt was sent
    sent_at: float  # time of sending in ms
    size_bucket: float = 1.0  # relative size of the request, rounded to a power of two
    outcome: Outcome | None = None  # result of the attempt; None while in flight
    presumed_lost: bool = False  # neither answer nor progress for too long; its threads no longer count
    last_progress_at: float = LONG_AGO  # time of the last progress report in ms
    confirmed: bool = False  # the engine itself reported the outcome, so it is final

    @property
    def is_uncertain(self) -> bool:
        """Whether the engine may still be executing the attempt, as far as this gateway knows."""
        return self.outcome in UNCERTAIN or not self.confirmed


@dataclass(slots=True, eq=False)
class Request:
    """An accepted request, kept until its last attempt has ended."""

    arrival: RequestArrived  # event with which the request arrived
    spec: RequestClass  # settings of the request's class
    statistics: ClassStatistics  # statistics of the request's class
    tenant: Tenant  # tenant on whose behalf the request runs
    arrived_at: float  # time of arrival in ms
    sequence: int  # number in order of arrival
    over_quota: bool = False  # arrived above this gateway's part of its tenant's quota
    attempts: list[Attempt] = field(default_factory=list)  # all attempts in order of sending
    closed: bool = False  # needs no answer any more: answered, or its client has gone
    queued: bool = False  # waiting in the queue of its tenant
    streaming: bool = False  # a streamed answer has started
    order_offset: float = 0.0  # random fraction, 0 to 1: where in the order of engines routing starts
    awaits_reports_since: float = 0.0  # time in ms when it first waited for load reports; 0: never
    allowed_zones: Collection[str] | None = None  # zones that its class and its arrival allow; None: any

    def __post_init__(self) -> None:
        own, class_zones = self.arrival.allowed_zones, self.spec.allowed_zones
        if own is None or class_zones is None:
            self.allowed_zones = class_zones if own is None else own
        else:
            self.allowed_zones = [zone for zone in class_zones if zone in own]

    def is_in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def first_possibly_executed(self) -> Attempt | None:
        """Return the first attempt that is in flight or may have been executed, or None."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_EXECUTED), None)

    def relative_size(self) -> float:
        """Return the estimated cost over the mean of the class, within bounds; 1 without an estimate."""
        if self.arrival.estimated_work_ms <= 0:
            return 1.0
        size = self.statistics.relative_size(self.arrival.estimated_work_ms)
        return min(MAX_RELATIVE_SIZE, max(MIN_RELATIVE_SIZE, size))

    def size_bucket(self) -> float:
        """Return the relative size, rounded to a power of two."""
        return 2.0 ** round(math.log2(self.relative_size()))

    def expected_run_ms(self) -> float:
        """Return the expected run time of an attempt in ms."""
        run_ms = self.statistics.run_ms
        return run_ms * self.relative_size() if self.arrival.estimated_work_ms > 0 else run_ms

    def expected_work_ms(self) -> float:
        """Return the expected work in ms of one thread."""
        return self.statistics.work_ms * self.relative_size()

    def latency_objective_ms(self) -> float:
        """Return the class's latency objective in ms, extended by `objective_stretch` for large queries."""
        return (
            self.spec.latency_objective_ms
            + self.spec.objective_stretch * self.expected_work_ms() / self.spec.threads
        )


@dataclass(slots=True, eq=False)
class InFlightGroup:
    """The attempts of one class and size bucket in flight at one engine, without those presumed lost."""

    statistics: ClassStatistics  # statistics of the class
    size_bucket: float  # relative size of the requests, rounded to a power of two
    threads: int  # number of threads of one attempt
    sent_at: list[float] = field(default_factory=list)  # sending times in ms, ascending

    def threads_since(self, start: float) -> int:
        """Return the number of threads of the attempts sent after `start`."""
        return self.threads * (len(self.sent_at) - bisect_right(self.sent_at, start))


@dataclass(slots=True, eq=False)
class Engine:
    """An engine as this gateway knows it."""

    endpoint: Endpoint  # latest entry in the endpoint list
    cores: float  # number of cores, from the settings of its kind
    last_answer_at: float  # time of its last answer in ms; before any answer, when it was first listed
    started_at: float = LONG_AGO  # ms, when it last started or was last unreachable; slow start begins then
    # Attempts of this gateway in flight, by request id and attempt number
    attempts: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    threads: int = 0  # number of threads of these attempts, without those presumed lost
    # The same attempts without those presumed lost, grouped by class and size bucket
    in_flight: dict[tuple[str, float], InFlightGroup] = field(default_factory=dict)
    # Time of sending in ms and expected work in ms of one thread, of recent attempts
    recent_work: deque[tuple[float, float]] = field(default_factory=deque)
    # Outlier detection
    ejected_until: float = 0.0  # time in ms until which no request is sent to it
    backoff_ms: float = 0.0  # length of the last ejection in ms; 0 after an answer
    on_trial: bool = False  # has not answered since its last ejection; one trial attempt at a time
    error_rate: float = 0.0  # moving average: fraction of answers that were 'full' or its own errors
    # Slowdown detection
    slowdown: float = 1.0  # moving average: duration of its answers over the usual duration
    slowdown_changed: bool = False  # `slowdown` was updated from own attempts since it was last sent to peers
    # Load reports
    reported_load: float = 0.0  # threads per core: the last report plus what was sent since
    load_limit: float = 0.0  # threads per core up to which this gateway sends until the next report
    reported_at: float = LONG_AGO  # arrival time of the last report in ms
    probe_sent_at: float = LONG_AGO  # time in ms of the unanswered probe; LONG_AGO: there is none
    # Subsetting
    subset_size: int = 1  # number of gateways that prefer this engine
    subset_rank: int = 0  # rank of this gateway at this engine; gateways with ranks below the size prefer it
    preferred: bool = True  # this gateway prefers the engine
    hashes: dict[int, bytes] = field(default_factory=dict)  # rendezvous hashes by table group

    def hash_for(self, table_group: int) -> bytes:
        """Return the rendezvous hash for a table group, which determines the order of engines."""
        if table_group not in self.hashes:
            self.hashes[table_group] = blake2b(
                f"{table_group}/{self.endpoint.engine_id}".encode(), digest_size=8
            ).digest()
        return self.hashes[table_group]

    def short_id(self) -> int:
        """Return a 16-bit identifier that is the same at every gateway."""
        return int.from_bytes(self.hash_for(0)[:2], "big")

    def add_attempt(self, attempt: Attempt) -> None:
        """Register an attempt that is being sent; must be called in order of sending time."""
        request = attempt.request
        self.attempts[request.arrival.request_id, attempt.number] = attempt
        self.threads += request.spec.threads
        key = request.arrival.request_class, attempt.size_bucket
        if key not in self.in_flight:
            self.in_flight[key] = InFlightGroup(request.statistics, attempt.size_bucket, request.spec.threads)
        self.in_flight[key].sent_at.append(attempt.sent_at)

    def release_threads(self, attempt: Attempt) -> None:
        """Stop counting the threads of an attempt that has ended or is presumed lost."""
        self.threads -= attempt.request.spec.threads
        key = attempt.request.arrival.request_class, attempt.size_bucket
        sent_at = self.in_flight[key].sent_at
        del sent_at[bisect_left(sent_at, attempt.sent_at)]
        if not sent_at:  # no empty groups: each step of the gateway iterates over all of them
            del self.in_flight[key]

    def end_attempt(self, attempt: Attempt) -> None:
        """Remove an attempt that has an outcome."""
        self.attempts.pop((attempt.request.arrival.request_id, attempt.number), None)
        if not attempt.presumed_lost:
            self.release_threads(attempt)

    def is_loading_tables(self, table_group: int) -> bool:
        """Whether a data load of this gateway that locks the table group is in flight at the engine."""
        requests = (attempt.request for attempt in self.attempts.values())
        return any(
            request.spec.locks_tables and request.arrival.table_group == table_group for request in requests
        )
