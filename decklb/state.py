"""What a front remembers: plain records and bookkeeping, no decision and no tuned value."""

from __future__ import annotations

import random
import struct
from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from math import gcd

from decklb.interface import Arrival, ClassSpec, Entry, Outcome, Phase, TenantSpec

NEVER_RAN = (Outcome.FULL, Outcome.NOCONN, Outcome.NOP)
DOUBTFUL = (Outcome.LATE, Outcome.RST, Outcome.CXL)
LONG_AGO = -1e12


@dataclass(slots=True, eq=False)
class Out:
    """When the attempts of one class and size that are out at one engine were sent, in order."""

    usual: Usual
    size: float
    threads: int  # of one
    sent: list[float] = field(default_factory=list)

    def add(self, a: Attempt) -> None:
        """One more; sends come in the order of time."""
        self.sent.append(a.sent)

    def drop(self, a: Attempt) -> None:
        """It ended, or is taken for lost."""
        del self.sent[bisect_left(self.sent, a.sent)]

    def since(self, start: float) -> int:
        """Threads of those sent after `start`."""
        return self.threads * (len(self.sent) - bisect_right(self.sent, start))


@dataclass(slots=True, eq=False)
class Engine:
    """An engine as this front knows it."""

    entry: Entry
    cores: float
    heard: float  # last answer
    running: int = 0  # own threads out
    out: dict[tuple[str, int], Attempt] = field(default_factory=dict)
    down_until: float = 0.0
    slow: float = 1.0  # times the usual that answers took of late
    told: bool = False  # there is news of that
    load: float = 0.0  # threads a core at its last report, own sends since included
    limit: float = 0.0  # load up to which this front sends until the next report
    read: float = LONG_AGO  # when that report came
    asked: float = LONG_AGO  # when a probe went out that has no answer yet
    back_off: float = 0.0
    users: int = 1  # how many fronts use it first
    place: int = 0  # this front's among all at this engine; those below `users` use it first
    trial: bool = False  # failed, and not yet answered since
    faults: float = 0.0  # share of its answers of late that were errors of its own
    cold_from: float = LONG_AGO
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # (time, work) of sends
    ranks: dict[int, bytes] = field(default_factory=dict)  # hash with each group of tables
    short: dict[tuple[str, float], Out] = field(default_factory=dict)  # what is out, by class and size

    def rank(self, group: int) -> bytes:
        """This engine's place in a group's hash order."""
        if group not in self.ranks:
            name = f"{group}/{self.entry.engine}".encode()
            self.ranks[group] = blake2b(name, digest_size=8).digest()
        return self.ranks[group]

    def tag(self) -> int:
        """A short name, the same at every front."""
        return int.from_bytes(self.rank(0)[:2], "big")

    @property
    def near(self) -> bool:
        """Whether this front uses it first."""
        return self.place < self.users

    def place_of(self, me: int, fronts: int) -> int:
        """The place of a front among all at this engine: each reckons it alone, and no two have the same."""
        seed = int.from_bytes(self.rank(0), "big")
        step = seed // fronts % fronts
        while gcd(step, fronts) != 1:
            step += 1
        return (seed + step * me) % fronts

    def sent_since(self, start: float) -> float:
        """Work sent from `start` on; what is older is forgotten."""
        while self.sent and self.sent[0][0] < start:
            self.sent.popleft()
        return sum(work for _, work in self.sent)

    def spend(self, now: float, work: float, span: float) -> None:
        """Book work sent; what is older than the span is forgotten."""
        self.sent.append((now, work))
        self.sent_since(now - span)

    def sort(self, a: Attempt, size: float) -> Out:
        """Where an attempt of that size counts."""
        lane = a.request.a.lane
        if (lane, size) not in self.short:
            self.short[lane, size] = Out(a.request.usual, size, a.request.spec.threads)
        return self.short[lane, size]

    def unsort(self, a: Attempt) -> None:
        """It counts no more. What is left empty goes: counts walk over all that is here, at each step."""
        out = self.sort(a, a.size)
        out.drop(a)
        if not out.sent:
            del self.short[a.request.a.lane, a.size]

    def loads(self, tables: int) -> bool:
        """Whether an own load on this group is out here."""
        return any(a.request.spec.holds and a.request.a.tables == tables for a in self.out.values())


@dataclass(slots=True, eq=False)
class Usual:
    """What is known of a class."""

    hold: float  # ms that an answered query ran
    work: float  # ms of work on one thread
    alone: float  # ms that an answered query of usual size ran
    best: float  # the least of it
    cost: float = 0.0  # mean estimate
    n: int = 0
    need: list[float] = field(default_factory=list)  # sorted sample: memory needed over estimated
    last: float = 0.0  # last of these, not yet told to peers

    @classmethod
    def guess(cls, hold: float, threads: int) -> Usual:
        """Before any answer."""
        return cls(hold, hold * threads, hold, hold)

    def sample(self, value: float, keep: int, rng: random.Random) -> None:
        """Keep a sorted random sample of needs; nothing is no need."""
        if value <= 0:
            return
        if len(self.need) > keep:
            del self.need[rng.randrange(len(self.need))]
        insort(self.need, value)

    def news(self) -> float:
        """The last need, once."""
        last, self.last = self.last, 0.0
        return last

    def size(self, cost: float) -> float:
        """An estimate against the mean of its class; 1 where there is none."""
        return cost / self.cost if cost > 0 and self.cost > 0 else 1.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One send."""

    request: Request
    number: int
    engine: Engine
    sent: float
    size: float = 1.0  # against the usual of its class, in steps of two
    outcome: Outcome | None = None
    lost: bool = False  # taken for lost
    noted: float = LONG_AGO  # when the last progress note came
    certain: bool = False  # its engine vouches for its outcome

    @property
    def doubtful(self) -> bool:
        """Whether its engine may still be at it, for all that is known here."""
        return self.outcome in DOUBTFUL or not self.certain


@dataclass(slots=True, eq=False)
class Request:
    """An accepted request until its last attempt has ended."""

    a: Arrival
    spec: ClassSpec
    usual: Usual
    tenant: Tenant
    arrived: float
    seq: int
    over: bool = False  # beyond its tenant's quota
    legs: list[Attempt] = field(default_factory=list)
    done: bool = False
    queued: bool = False
    stream: bool = False
    spin: float = 0.0  # where in its group's order it starts, by chance
    asked: float = 0.0  # when it first waited for reports
    zones: Collection[str] | None = None  # all that its class, and what was settled on its way here, let it use

    def __post_init__(self) -> None:
        mine, its = self.a.zones, self.spec.zones
        self.zones = its if mine is None else mine if its is None else [z for z in its if z in mine]

    def out(self) -> bool:
        """Whether an attempt still lacks its outcome."""
        return any(leg.outcome is None for leg in self.legs)

    def may_have_run(self) -> Attempt | None:
        """The first attempt that is out or may have run."""
        return next((leg for leg in self.legs if leg.outcome not in NEVER_RAN), None)


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant's queue, its weight and its last period."""

    spec: TenantSpec
    weight: float
    queue: list[tuple[float, int, Request]] = field(default_factory=list)
    waiting: dict[str, int] = field(default_factory=dict)  # how many of each class are in it
    turn: float = 0.0  # virtual time of the round robin
    tokens: float = 0.0
    filled: float = LONG_AGO
    rate: float = 0.0  # own arrivals a second
    came: int = 0
    latency: float = 0.0
    aims: float = 0.0
    count: int = 0
    integral: float = 0.0

    def book(self, latency: float, aim: float) -> None:
        """Count an answer in this period."""
        self.count += 1
        self.latency += latency
        self.aims += aim

    def clear(self) -> None:
        """A new period begins."""
        self.count, self.latency, self.aims = 0, 0.0, 0.0

    def pace(self, span: float, weight: float) -> None:
        """Follow the rate of arrivals."""
        self.rate += (weight if self.rate else 1.0) * (self.came * 1000 / span - self.rate)
        self.came = 0

    def over(self, pace: float, most: float, now: float) -> bool:
        """Take a token, refilled at this pace a second up to the most; true if there is none."""
        self.tokens = min(most, self.tokens + pace * (now - self.filled) / 1000)
        self.filled = now
        if self.tokens < 1:
            return True
        self.tokens -= 1
        return False

    def push(self, r: Request) -> None:
        """Queue a request, oldest first."""
        r.queued = True
        self.waiting[r.spec.name] = self.waiting.get(r.spec.name, 0) + 1
        insort(self.queue, (r.arrived, r.seq, r))

    def pull(self, r: Request) -> None:
        """Take a request out of the queue if it is there."""
        if r.queued:
            del self.queue[bisect_left(self.queue, (r.arrived, r.seq))]
            r.queued = False
            self.waiting[r.spec.name] -= 1


class Window(deque[float]):
    """Times, oldest first. Those older than `span` before the newest are forgotten as new ones come, so that a window
    nobody asks of for long does not grow with every request."""

    def __init__(self, span: float) -> None:
        super().__init__()
        self.span = span

    def add(self, now: float) -> None:
        """Count one at this moment."""
        self.append(now)
        self.since(now - self.span)

    def drop(self, when: float) -> None:
        """One of that time doesn't count after all, if it is still here."""
        i = bisect_left(self, when)
        if i < len(self) and self[i] == when:
            del self[i]

    def since(self, start: float) -> int:
        """How many at or after `start`; what is older is forgotten."""
        while self and self[0] < start:
            self.popleft()
        return len(self)


class Fleet:
    """The engines that any list has named, and their hash order for each group of tables."""

    def __init__(self) -> None:
        self.engines: dict[str, Engine] = {}
        self.ups: list[Engine] = []
        self.tags: dict[int, Engine] = {}
        self.orders: dict[int, list[Engine]] = {}

    def up(self) -> list[Engine]:
        """Engines that the list calls up."""
        return self.ups

    def update(self, entries: list[Entry], complete: bool, now: float, cores: dict[str, int]) -> None:
        """Take news of the list; whatever a complete list lacks is removed."""
        for e in entries:
            x = self.engines.get(e.engine)
            if x is None:
                x = self.engines[e.engine] = Engine(e, float(max(1, cores.get(e.kind, 1))), now)
            x.entry = e
            x.cold_from = max(x.cold_from, e.ready_at or LONG_AGO)
        listed = {e.engine for e in entries}
        for name, x in list(self.engines.items()):
            if complete and name not in listed:
                x.entry = replace(x.entry, phase=Phase.REMOVED)
            if x.entry.phase is Phase.REMOVED and not x.out:
                del self.engines[name]
        ups = [x for x in self.engines.values() if x.entry.phase is Phase.UP]
        if ups != self.ups:
            self.ups, self.tags = ups, {x.tag(): x for x in ups}
            self.orders.clear()

    def news(self) -> list[tuple[int, float]]:
        """Tag and slowness of the engines marked since the last call."""
        fresh = [x for x in self.ups if x.told]
        for x in fresh:
            x.told = False
        return [(x.tag(), x.slow) for x in fresh]

    def order(self, group: int) -> list[Engine]:
        """Engines that are up in the group's hash order, the same at every front."""
        if group not in self.orders:
            self.orders[group] = sorted(self.ups, key=lambda x: (not x.near, x.rank(group), x.entry.engine))
        return self.orders[group]


class Keys:
    """Requests that share a key, in the order taken."""

    def __init__(self) -> None:
        self.lines: dict[str, deque[Request]] = {}
        self.rest: dict[str, float] = {}  # when a key may go on

    def join(self, key: str, r: Request) -> bool:
        """Take a place; true if it is the first."""
        line = self.lines.setdefault(key, deque())
        line.append(r)
        return len(line) == 1

    def advance(self, key: str | None, until: float) -> Request | None:
        """Drop what has ended, resting until then after a doubtful end; the new head if it never moved.

        An answer that was read on a socket is a doubtful end too: its engine may count the attempt as cut off.
        """
        line = self.lines.get(key) if key is not None else None
        if key is None or line is None:
            return None
        while line and line[0].done and not line[0].out():
            if any(a.doubtful for a in line[0].legs):
                self.rest[key] = max(until, self.rest.get(key, until))
            line.popleft()
        if not line:
            self.lines.pop(key, None)
            return None
        head = line[0]
        return None if head.done or head.queued or head.legs else head

    def doubt(self, key: str, now: float, until: float) -> None:
        """The last end was not one yet: rest anew, unless the rest is over and another may be under way."""
        if self.rest.get(key, now) > now:
            self.rest[key] = max(until, self.rest[key])

    def rested(self, now: float) -> None:
        """Forget rests that are over: keys are always new."""
        self.rest = {key: until for key, until in self.rest.items() if until > now}

    def waiting(self) -> list[Request]:
        """Requests behind another of their key."""
        return [r for line in self.lines.values() for r in line if not (r.done or r.queued or r.legs)]


@dataclass(slots=True)
class Word:
    """A peer message: a rate a tenant, slowness at large, a need a class, slowness by engine tag."""

    rates: list[float]
    stress: float
    needs: list[float]
    marks: list[tuple[int, float]]

    def pack(self) -> bytes:
        """Floats, then three bytes a mark, as many as fit a message."""
        head = [*self.rates, self.stress, *self.needs]
        marks = self.marks[: (256 - 4 * len(head)) // 3]
        flat = [v for tag, slow in marks for v in (tag, min(255, max(0, int(16 * slow))))]
        return struct.pack(f"<{len(head)}f" + "HB" * len(marks), *head, *flat)

    @classmethod
    def read(cls, data: bytes, tenants: int, classes: int) -> Word | None:
        """None if it is not such a message."""
        n = tenants + 1 + classes
        if len(data) < 4 * n or (len(data) - 4 * n) % 3:
            return None
        head = list(struct.unpack_from(f"<{n}f", data))
        if not all(0 <= v < 1e9 for v in head):
            return None
        marks = [(tag, slow / 16) for tag, slow in struct.iter_unpack("<HB", data[4 * n :])]
        return cls(head[:tenants], head[tenants], head[tenants + 1 :], marks)
