"""Types shared by the decision module and whatever embeds it: settings, events, actions.

Times are milliseconds in floats on the caller's own monotonic clock; memory is in MB. Nothing here decides.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How one attempt ended."""

    GOOD = "GOOD"
    BAD = "BAD"
    FULL = "FULL"
    LATE = "LATE"
    NOCONN = "NOCONN"
    RST = "RST"
    CXL = "CXL"
    NOP = "NOP"


class Effect(Enum):
    """What a repeat of a request may do."""

    SAFE = "idempotent"
    KEYED = "deduplicated"
    UNSAFE = "at_most_once"


class Phase(Enum):
    """What the list says of an engine."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(slots=True)
class ClassSpec:
    """A request class; `stretch` lengthens the aim by that multiple of work over threads."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    stretch: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: str = "all"
    memory_span: float = 0.0
    serial: bool = False
    streaming: bool = False
    zones: tuple[str, ...] | None = None
    kinds: tuple[str, ...] | None = None
    threads: int = 1
    holds: bool = False
    yields: bool = False

    def __post_init__(self) -> None:
        if not (self.aim > 0 and self.deadline > 0 and self.threads >= 1):
            raise ValueError(f"class {self.name!r}: aim and deadline must be above 0, threads at least 1")


@dataclass(slots=True)
class TenantSpec:
    """A tenant, its share, and its quota over all fronts (None: not told)."""

    name: str
    share: float
    quota_per_s: float | None = None


@dataclass(slots=True)
class Settings:
    """What a front is told at its start. Absent options are off."""

    classes: dict[str, ClassSpec]
    tenants: dict[str, TenantSpec] = field(default_factory=dict)
    me: int = 0
    fronts: int = 1
    zone: str = ""
    cores: dict[str, int] = field(default_factory=dict)
    memory: dict[str, float] = field(default_factory=dict)
    largest_share: float = 1.0
    grants: bool = False
    ranks: bool = False
    bills: bool = False
    progress: float = 0.0
    over_share_worth: float = 1.0
    must_ask: bool = False
    ask_within: float = 0.0
    cancelling: bool = False
    peers: bool = False
    probes: bool = False
    fields: tuple[str, ...] = ()  # values of a load report
    retry_after: bool = False
    max_retry_after: float = 0.0
    duplicates: bool = False
    max_attempts: int = 1
    cold_share: float = 1.0
    cold: float = 0.0
    overload_factor: float = 1.0
    fall: float = 0.0
    drain_grace: float = 0.0
    extra_floor: float = 0.0
    extra_ratio: float | None = None
    extra_window: float = 0.0
    settle: float = 0.0
    tick: float = 1.0
    goal: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("settings need at least one class")
        if self.fronts < 1 or self.tick <= 0:
            raise ValueError("fronts must be at least 1, tick above 0")
        if any(n <= 0 for n in self.cores.values()):
            raise ValueError("cores must be above 0")


@dataclass(slots=True)
class Entry:
    """One line of the list of engines; `ready_at` is its last start, 0 for long ago."""

    engine: str
    zone: str
    kind: str
    cell: int
    phase: Phase
    hint: float = 1.0
    ready_at: float = 0.0


@dataclass(slots=True)
class Members:
    """News of the list. `failed`: a call or subscription broke and nothing else is known."""

    entries: list[Entry]
    complete: bool
    failed: bool = False


@dataclass(slots=True)
class Arrival:
    """A request this front has accepted."""

    req: str
    lane: str
    tenant: str
    time_left: float
    tables: int = 0
    key: str | None = None
    cost: float = 0.0
    need: float = 0.0
    repeat: bool = False
    zone: str = ""  # where it had better run; "" for any
    zones: Collection[str] | None = None  # all that it may use beside what its class says; None for any


@dataclass(slots=True)
class Started:
    """A streamed answer has begun."""

    req: str
    leg: int


@dataclass(slots=True)
class Verdict:
    """The end of one attempt; `work` and `memory` are billed, 0 when they are not."""

    req: str
    leg: int
    engine: str
    outcome: Outcome
    rtt: float
    finished: bool = False
    work: float = 0.0
    memory: float = 0.0
    report: dict[str, float] = field(default_factory=dict)
    certain: bool = False  # the engine itself vouches for it, as in the simulator: nothing can contradict it later


@dataclass(slots=True)
class Doubted:
    """The last answered attempt of a key may not have ended when it was answered; its engine knows of its end now."""

    key: str


@dataclass(slots=True)
class Progress:
    """Word of an attempt still out: kind 1 share done, 2 spills, 3 waits."""

    req: str
    leg: int
    kind: int
    level: float


@dataclass(slots=True)
class Probed:
    """The answer to a probe, or why there was none; with a load report where the engines give one."""

    engine: str
    outcome: Outcome
    rtt: float
    report: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Left:
    """The client has gone; nothing is owed."""

    req: str


@dataclass(slots=True)
class Tick:
    """A timer of this front is due."""

    label: str


@dataclass(slots=True)
class Closing:
    """This front is about to end: what is open gets its final answer now."""


@dataclass(slots=True)
class Datagram:
    """A message of a peer."""

    sender: int
    data: bytes


Event = Members | Arrival | Started | Verdict | Doubted | Progress | Probed | Left | Tick | Closing | Datagram


@dataclass(slots=True)
class Send:
    """Start an attempt; `max_wait` 0 means until the client gives up."""

    req: str
    engine: str
    max_wait: float = 0.0


@dataclass(slots=True)
class Terms:
    """Memory and priority for further sends; the priority also for attempts that are out."""

    req: str
    memory: float
    rank: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    req: str
    leg: int


@dataclass(slots=True)
class Probe:
    """Ask an engine whether it runs and how loaded it is."""

    engine: str


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away, a retry does no harm."""

    req: str
    wait: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise."""

    req: str


@dataclass(slots=True)
class Sleep:
    """Ask for a Tick."""

    delay: float
    label: str


@dataclass(slots=True)
class Watch:
    """Subscribe to the list."""


@dataclass(slots=True)
class Tell:
    """Send a message to one peer, or to all of them (-1)."""

    data: bytes
    peer: int = -1


Action = Send | Terms | Cancel | Probe | Refuse | Fail | Sleep | Watch | Tell
