"""Types of the policy's interface: settings, the events that the policy consumes and the actions that it returns.

The dispatcher (`decklb.core`), the simulator's adapter (`decklb.wirehost`) and the laboratory produce the events and
carry out the actions. This module holds data only: it makes no decisions and does no I/O.

Conventions:
    Times are milliseconds as floats. Points in time are on the caller's monotonic clock.
    Memory is in MB. Work is milliseconds of execution on one thread.
    An engine is identified by its id in the service directory, a request by an id that the caller assigns, and an
    attempt by the request's id and the attempt's number, counted from 0.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """Result of an attempt or a health check."""

    SUCCESS = "success"
    ERROR = "error"  # the engine returned an error; the request may have been executed
    OVERLOADED = "overloaded"  # the engine was at its session limit and did not execute the request
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"  # no connection could be established; nothing was sent
    CONNECTION_RESET = "connection_reset"  # the connection was lost while the attempt was in flight
    CANCELLED = "cancelled"
    NEVER_SENT = "never_sent"  # abandoned by this gateway before any byte was sent


class Effect(Enum):
    """Whether a request may be executed more than once. The values are those of the settings."""

    SAFE = "idempotent"  # repeated execution does no harm
    KEYED = "deduplicated"  # engines in a scope drop repeats of a deduplication token within a time window
    UNSAFE = "at_most_once"  # must not be executed twice


class Phase(Enum):
    """Lifecycle state of an engine in the endpoint list."""

    UP = "up"
    DRAINING = "draining"  # completes its queries but accepts no new ones
    REMOVED = "removed"


@dataclass(slots=True)
class RequestClass:
    """A class of requests with a common latency objective and common rules.

    Raises:
        ValueError: The latency objective or the deadline is not above 0, or there is less than 1 thread.
    """

    name: str
    latency_objective_ms: float  # ms from arrival within which an answer has its full value
    deadline_ms: float  # maximum time budget of a request in ms, and its budget if it states none
    priority_weight: float = 1.0  # relative value of an answer within the latency objective
    late_priority_weight: float = 0.0  # fraction of that value that a later answer still has
    objective_stretch: float = 0.0  # multiple of (work / threads) in ms by which the latency objective is extended
    effect: Effect = Effect.UNSAFE  # whether the requests may be executed more than once
    deduplication_scope: str = "all"  # engines that share tokens: "all", those of a "zone" or of a "cell"
    deduplication_window_ms: float = 0.0  # ms for which engines remember a deduplication token
    ordered_by_key: bool = False  # requests with the same ordering key run one at a time, in order of arrival
    streaming: bool = False  # answers are streamed; not read by the policy, which relies on `ResponseStarted`
    allowed_zones: tuple[str, ...] | None = None  # zones whose engines may serve it; None: any
    allowed_kinds: tuple[str, ...] | None = None  # kinds of engines that may serve it; None: any
    threads: int = 1  # number of threads on which an engine runs one query
    locks_tables: bool = False  # a data load, which locks its table group at the engine
    waits_for_loads: bool = False  # a query that waits while a data load locks its table group

    def __post_init__(self) -> None:
        if not (self.latency_objective_ms > 0 and self.deadline_ms > 0 and self.threads >= 1):
            raise ValueError(
                f"class {self.name!r}: latency objective (aim) and deadline must be above 0, threads at least 1"
            )


@dataclass(slots=True)
class TenantSpec:
    """A tenant with its fair share of the service and its quota across all gateways."""

    name: str
    share: float  # fair share of the service, as a fraction
    quota_per_s: float | None = None  # quota across all gateways in requests per second; None: unknown


@dataclass(slots=True)
class Settings:
    """Start-up configuration of one gateway. Optional features are off by default.

    Raises:
        ValueError: There is no class, or the gateway count, the tick or a number of cores is not above 0.
    """

    classes: dict[str, RequestClass]  # request classes by name
    tenants: dict[str, TenantSpec] = field(default_factory=dict)  # tenants by name
    gateway_index: int = 0  # position of this gateway among all, from 0
    gateway_count: int = 1  # number of gateways
    zone: str = ""  # zone in which this gateway runs
    cores_by_kind: dict[str, int] = field(default_factory=dict)  # cores of an engine, by kind of engine
    memory_mb_by_kind: dict[str, float] = field(default_factory=dict)  # memory of an engine in MB, by kind of engine
    largest_grant_fraction: float = 1.0  # largest memory grant of a query, as a fraction of the engine's memory
    memory_grants: bool = False  # engines apply the memory grants that are sent to them
    priorities: bool = False  # engines apply the priorities that are sent to them
    usage_reported: bool = False  # answers report work and memory used; not read: the values in `AttemptEnded` are
    progress_interval_ms: float = 0.0  # ms between two progress reports of an attempt; 0: none are sent
    over_quota_weight: float = 1.0  # load shedding: factor on the value of requests above their tenant's quota
    must_subscribe: bool = False  # the endpoint list is sent to subscribers only
    subscribe_within_ms: float = 0.0  # ms allowed for subscribing; not read: the policy subscribes in its first step
    cancellation: bool = False  # engines stop a query when they receive its cancellation
    peer_messages: bool = False  # gateways may exchange messages
    health_checks: bool = False  # gateways may query the health and load of engines
    load_report_fields: tuple[str, ...] = ()  # names of the values in load reports; empty: there are no reports
    retry_after: bool = False  # a rejection may state when to retry
    max_retry_after_ms: float = 0.0  # longest delay in ms that a rejection may state
    hedging: bool = False  # two attempts of a request may be in flight at the same time
    max_attempts: int = 1  # maximum number of attempts of one request, the first included
    slow_start_min_fraction: float = 1.0  # fraction of its capacity that an engine has right after its start
    slow_start_window_ms: float = 0.0  # ms from the start of an engine until it has its full capacity
    slow_start_overload_factor: float = 1.0  # multiple of its current capacity that a starting engine survives
    slow_start_budget_window_ms: float = 0.0  # length in ms of the window over which that load is measured; 0: no limit
    drain_grace_ms: float = 0.0  # ms after a drain notice in which an attempt may still start at that engine
    retry_budget_floor: float = 0.0  # number of retries allowed per window regardless of traffic
    retry_budget_ratio: float | None = None  # retries allowed per accepted request; None: no retry budget
    retry_budget_window_ms: float = 0.0  # length of the sliding window of the retry budget in ms
    key_hold_down_ms: float = 0.0  # ms for which an ordering key is blocked after an attempt with an uncertain end
    tick_ms: float = 1.0  # ms between two batches of events to the policy
    goal_weights: dict[str, float] = field(default_factory=dict)  # weights of the parts of the score; not read

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings must define at least one class")
        if self.gateway_count < 1 or self.tick_ms <= 0:
            raise ValueError("gateway count must be at least 1, tick above 0 ms")
        if any(n <= 0 for n in self.cores_by_kind.values()):
            raise ValueError("every kind of engine must have at least 1 core")


@dataclass(slots=True)
class Endpoint:
    """An engine's entry in the endpoint list."""

    engine_id: str
    zone: str
    kind: str
    cell: int
    phase: Phase
    capacity_hint: float = 1.0  # weight in the endpoint list; read only by a policy of the laboratory
    started_at_ms: float = 0.0  # time of its last start in ms; 0: long ago


# Events: inputs of the policy.


@dataclass(slots=True)
class EndpointsUpdated:
    """A change of the endpoint list, or the complete list."""

    endpoints: list[Endpoint]
    complete: bool  # `endpoints` is the complete list, otherwise only the changed entries
    failed: bool = False  # a query or subscription of the list failed; the event carries no other information


@dataclass(slots=True)
class RequestArrived:
    """This gateway has accepted a request."""

    request_id: str
    request_class: str
    tenant: str
    time_left_ms: float  # remaining ms until nobody waits for its answer any more
    table_group: int = 0  # group of the tables that it reads or loads data into
    ordering_key: str | None = None  # orders requests of classes with `ordered_by_key`; None: no order
    estimated_work_ms: float = 0.0  # estimated work in ms of one thread; 0: no estimate
    estimated_memory_mb: float = 0.0  # estimated memory in MB; 0: no estimate
    is_retry: bool = False  # the client has sent the request before; not read by the policy
    preferred_zone: str = ""  # zone whose engines are preferred; "": any
    allowed_zones: Collection[str] | None = None  # zones allowed for it, within those of its class; None: any


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer has started; no other attempt can supply the answer any more."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request_id: str
    attempt: int
    engine_id: str
    outcome: Outcome
    duration_ms: float
    request_finished: bool = False  # the request has already received its final answer
    work_ms: float = 0.0  # work reported by the engine in ms of one thread; 0: not reported
    memory_mb: float = 0.0  # memory reported by the engine in MB; 0: not reported
    load_report: dict[str, float] = field(default_factory=dict)
    authoritative: bool = False  # the engine itself reported this outcome, so it is final


@dataclass(slots=True)
class CompletionUncertain:
    """The connection of an ordering key's last attempt was lost soon after its answer.

    The attempt may therefore have ended later than the answer. By the time of this event its engine knows how it ended.
    """

    ordering_key: str


@dataclass(slots=True)
class AttemptProgress:
    """A progress report of an attempt in flight."""

    request_id: str
    attempt: int
    kind: int  # 1: `level` is the completed fraction; 2: the query spills to disk; 3: it is waiting
    level: float


@dataclass(slots=True)
class HealthCheckResult:
    """The result of a health check, or the reason why there was none."""

    engine_id: str
    outcome: Outcome
    duration_ms: float
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientGone:
    """The client has cancelled the request or disconnected, so it needs no answer."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` has expired."""

    label: str


@dataclass(slots=True)
class ShutdownStarted:
    """This gateway is shutting down: open requests get their final answer now."""


@dataclass(slots=True)
class PeerMessage:
    """A message from another gateway."""

    sender: int  # index of the sending gateway
    data: bytes


Event = (
    EndpointsUpdated
    | RequestArrived
    | ResponseStarted
    | AttemptEnded
    | CompletionUncertain
    | AttemptProgress
    | HealthCheckResult
    | ClientGone
    | TimerFired
    | ShutdownStarted
    | PeerMessage
)


# Actions: outputs of the policy.


@dataclass(slots=True)
class StartAttempt:
    """Send a request to an engine."""

    request_id: str
    engine_id: str
    timeout_ms: float = 0.0  # ms after which the attempt is given up; 0: at the deadline of the request


@dataclass(slots=True)
class SetResources:
    """Set the memory grant and the priority of further attempts; the priority also applies to attempts in flight."""

    request_id: str
    memory_mb: float  # memory grant in MB; 0: chosen by the engine
    priority: int  # 0 (lowest) to 3 (highest)


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt and send a cancellation to its engine."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class CheckHealth:
    """Query the health and load of an engine."""

    engine_id: str


@dataclass(slots=True)
class Reject:
    """Final answer: the request was not executed and is safe to retry."""

    request_id: str
    retry_after_ms: float = 0.0  # ms after which the client should retry; 0: unspecified


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed; it may or may not have been executed."""

    request_id: str


@dataclass(slots=True)
class SetTimer:
    """Deliver a `TimerFired` event after a delay."""

    delay_ms: float
    label: str


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list."""


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one gateway or to all others."""

    data: bytes
    peer: int = -1  # index of the receiving gateway; -1: all others


Action = (
    StartAttempt
    | SetResources
    | CancelAttempt
    | CheckHealth
    | Reject
    | Fail
    | SetTimer
    | WatchEndpoints
    | SendPeerMessage
)
