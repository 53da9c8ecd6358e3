"""Types of the decision interface: settings, the events that go into the decision module, the actions that come out.

The decision module consumes events and returns actions; the dispatcher (`decklb.core`), the simulator's adapter
(`decklb.wirehost`) and the laboratory produce events and carry out actions. Nothing here decides and nothing does I/O.

Conventions:
    Times are milliseconds as floats. Points in time are on the caller's own monotonic clock.
    Memory is in MB. Work is milliseconds of one thread.
    An engine is named by its id in the service directory, a request by an id that its caller chose, an attempt by the
    request's id and its number, counted from 0.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How one attempt or health check ended."""

    SUCCESS = "success"
    ERROR = "error"  # the engine answered with an error; the request may have run
    OVERLOADED = "overloaded"  # the engine declined it unexecuted, at its limit of sessions
    TIMED_OUT = "timed_out"
    UNREACHABLE = "unreachable"  # no connection came up; nothing was sent
    CONNECTION_RESET = "connection_reset"  # the connection ended while the attempt was out
    CANCELLED = "cancelled"
    NEVER_SENT = "never_sent"  # given up here before a byte of it went out


class Effect(Enum):
    """What executing a request more than once may do. Values are the words of the settings."""

    SAFE = "idempotent"
    KEYED = "deduplicated"  # engines of one scope drop repeats with the same token for a while
    UNSAFE = "at_most_once"


class Phase(Enum):
    """Lifecycle of an engine as the endpoint list gives it."""

    UP = "up"
    DRAINING = "draining"  # finishes what it has, takes nothing new
    REMOVED = "removed"


@dataclass(slots=True)
class RequestClass:
    """A class of requests that share an objective and rules.

    Raises:
        ValueError: An objective or deadline is not above 0, or a query takes no thread.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float  # the longest budget of a request
    priority_weight: float = 1.0  # value of one answer within the objective
    late_priority_weight: float = 0.0  # fraction of that value that an answer past the objective still has
    objective_stretch: float = 0.0  # adds this multiple of (work / threads) to the objective
    effect: Effect = Effect.UNSAFE
    deduplication_scope: str = "all"  # engines that drop each other's repeats: "all", "zone" or "cell"
    deduplication_window_ms: float = 0.0  # how long they remember a token
    ordered_by_key: bool = False  # requests of one ordering key run one after another, as they came
    streaming: bool = False
    allowed_zones: tuple[str, ...] | None = None  # None: any
    allowed_kinds: tuple[str, ...] | None = None  # kinds of engines; None: any
    threads: int = 1  # that one query runs on
    locks_tables: bool = False  # a load: holds its group of tables at its engine
    waits_for_loads: bool = False  # a query that waits while a load holds its group

    def __post_init__(self) -> None:
        if not (self.latency_objective_ms > 0 and self.deadline_ms > 0 and self.threads >= 1):
            raise ValueError(f"class {self.name!r}: aim and deadline must be above 0, threads at least 1")


@dataclass(slots=True)
class TenantSpec:
    """A tenant: its fair share of the service, and its quota over all gateways together."""

    name: str
    share: float  # fraction
    quota_per_s: float | None = None  # requests a second; None: not told


@dataclass(slots=True)
class Settings:
    """What one gateway is told at its start. Optional mechanisms that are absent are off.

    Raises:
        ValueError: There is no class, or a count or period is not above 0.
    """

    classes: dict[str, RequestClass]
    tenants: dict[str, TenantSpec] = field(default_factory=dict)
    gateway_index: int = 0  # of this gateway among all
    gateway_count: int = 1
    zone: str = ""  # of this gateway
    cores_by_kind: dict[str, int] = field(default_factory=dict)  # of an engine of that kind
    memory_mb_by_kind: dict[str, float] = field(default_factory=dict)
    largest_grant_fraction: float = 1.0  # of an engine's memory
    memory_grants: bool = False  # engines heed memory grants
    priorities: bool = False  # engines heed priorities
    usage_reported: bool = False  # answers tell work and memory used
    progress_interval_ms: float = 0.0  # between progress notes of an attempt; 0: there are none
    over_quota_weight: float = 1.0  # factor on the value of requests beyond their tenant's quota
    must_subscribe: bool = False  # the endpoint list comes only to those who ask for it
    subscribe_within_ms: float = 0.0
    cancellation: bool = False  # engines heed cancels
    peer_messages: bool = False  # gateways may talk to each other
    health_checks: bool = False  # gateways may check engines' health and load
    load_report_fields: tuple[str, ...] = ()
    retry_after: bool = False  # a rejection may tell when to come back
    max_retry_after_ms: float = 0.0
    hedging: bool = False  # two attempts of a request may be out at once
    max_attempts: int = 1  # of one request
    slow_start_min_fraction: float = 1.0  # of its capacity that an engine bears right after its start
    slow_start_window_ms: float = 0.0  # from an engine's start until it bears its full capacity
    slow_start_overload_factor: float = 1.0  # times its present capacity that a starting engine survives
    slow_start_budget_window_ms: float = 0.0  # span over which that is counted
    drain_grace_ms: float = 0.0  # in which an attempt may still begin at an engine that was said to drain
    retry_budget_floor: float = 0.0  # retries allowed in a window whatever the traffic
    retry_budget_ratio: float | None = None  # retries allowed for each request taken; None: no budget
    retry_budget_window_ms: float = 0.0
    key_hold_down_ms: float = 0.0  # how long an ordering key rests after an attempt whose end is uncertain
    tick_ms: float = 1.0  # events are handed over in batches, one a tick
    goal_weights: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings need at least one class")
        if self.gateway_count < 1 or self.tick_ms <= 0:
            raise ValueError("fronts must be at least 1, tick above 0")
        if any(n <= 0 for n in self.cores_by_kind.values()):
            raise ValueError("cores must be above 0")


@dataclass(slots=True)
class Endpoint:
    """One engine as the endpoint list gives it."""

    engine_id: str
    zone: str
    kind: str
    cell: int
    phase: Phase
    capacity_hint: float = 1.0
    started_at_ms: float = 0.0  # its last start; 0: long ago


# Events: what the policy is told.


@dataclass(slots=True)
class EndpointsUpdated:
    """A change of the endpoint list, or the whole of it if `complete`.

    `failed`: a call or subscription broke, and nothing else is known.
    """

    endpoints: list[Endpoint]
    complete: bool
    failed: bool = False


@dataclass(slots=True)
class RequestArrived:
    """This gateway has accepted a request."""

    request_id: str
    request_class: str
    tenant: str
    time_left_ms: float  # until nobody waits for its answer any more
    table_group: int = 0  # the tables it reads or loads
    ordering_key: str | None = None
    estimated_work_ms: float = 0.0  # 0: no estimate
    estimated_memory_mb: float = 0.0  # 0: no estimate
    is_retry: bool = False  # of its client
    preferred_zone: str = ""  # "": any
    allowed_zones: Collection[str] | None = None  # beside what its class allows; None: any


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer has begun: from now on no other attempt can answer."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """The end of one attempt."""

    request_id: str
    attempt: int
    engine_id: str
    outcome: Outcome
    duration_ms: float
    request_finished: bool = False  # its request has had its final answer
    work_ms: float = 0.0  # that the engine reports; 0: it does not
    memory_mb: float = 0.0  # that the engine reports; 0: it does not
    load_report: dict[str, float] = field(default_factory=dict)
    authoritative: bool = False  # the engine itself vouches for this end: nothing can contradict it later


@dataclass(slots=True)
class CompletionUncertain:
    """The last attempt of an ordering key may not have ended when its answer came; by now its engine knows its end."""

    ordering_key: str


@dataclass(slots=True)
class AttemptProgress:
    """A progress note of an attempt that is out."""

    request_id: str
    attempt: int
    kind: int  # 1: `level` is the fraction done; 2: it spills to disk; 3: it waits
    level: float


@dataclass(slots=True)
class HealthCheckResult:
    """The answer to a health check, or why there was none."""

    engine_id: str
    outcome: Outcome
    duration_ms: float
    load_report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class ClientGone:
    """The client has cancelled or disconnected: it is owed no answer."""

    request_id: str


@dataclass(slots=True)
class TimerFired:
    """A timer that was set by `SetTimer` is due."""

    label: str


@dataclass(slots=True)
class ShutdownStarted:
    """This gateway is about to end: open requests get their final answer now."""


@dataclass(slots=True)
class PeerMessage:
    """A message of another gateway."""

    sender: int  # its index
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


# Actions: what the policy wants done.


@dataclass(slots=True)
class StartAttempt:
    """Send the request to an engine."""

    request_id: str
    engine_id: str
    timeout_ms: float = 0.0  # 0: until the request's own time is over


@dataclass(slots=True)
class SetResources:
    """Memory grant and priority of further attempts; the priority applies to those that are out as well."""

    request_id: str
    memory_mb: float  # 0: the engine's own choice
    priority: int  # 0 (least) to 3


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt and tell its engine."""

    request_id: str
    attempt: int


@dataclass(slots=True)
class CheckHealth:
    """Ask an engine whether it runs and how loaded it is."""

    engine_id: str


@dataclass(slots=True)
class Reject:
    """Final answer: not served, and a retry does no harm."""

    request_id: str
    retry_after_ms: float = 0.0  # 0: not told


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about what was done."""

    request_id: str


@dataclass(slots=True)
class SetTimer:
    """Send a `TimerFired` after a delay."""

    delay_ms: float
    label: str


@dataclass(slots=True)
class WatchEndpoints:
    """Subscribe to the endpoint list."""


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to one gateway, or to all others."""

    data: bytes
    peer: int = -1  # its index; -1: all others


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
