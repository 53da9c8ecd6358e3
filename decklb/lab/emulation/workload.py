"""What clients ask, drawn ahead in arrays so that no policy can change it: open arrivals, works, keys, plans.

Or a trace: recorded arrivals from a CSV file with the columns of TRACE.
"""

from __future__ import annotations

import csv
import math
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import numpy as np

from decklb.lab.emulation.random_streams import Streams

TRACE = ("time_ms", "class", "tenant", "work_ms", "tables", "key")
SMALLEST = 0.05  # of the mean: the least work of a query


@dataclass(frozen=True, slots=True)
class Class:
    """One class of requests. Times are ms; `work` is the mean of one thread's work, all threads together."""

    name: str
    share: float  # of arrivals
    work: float
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    threads: int = 1
    io: float = 0.3
    memory: float = 100.0
    spread: float = 0.6  # sigma of a lognormal work
    tail: float = 0.0  # share of requests that take `tail_times` the work
    tail_times: float = 10.0
    runaway: float = 0.0  # share of attempts with a bad plan
    runaway_times: float = 12.0
    effect: str = "idempotent"
    serial: bool = False
    keys: int = 0  # different keys, 0 for none
    holds: bool = False
    yields: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, its share by contract, and what it really sends."""

    name: str
    share: float
    sends: float = -1.0  # share of arrivals; as by contract where below 0


@dataclass(frozen=True, slots=True)
class Swell:
    """More arrivals for a while: of one tenant, of one group of tables, or of all."""

    start: float
    length: float
    times: float
    tenant: str = ""
    tables: int = -1


@dataclass(frozen=True, slots=True)
class Workload:
    """Arrivals. `rate` is a second, over all managers."""

    rate: float
    classes: tuple[Class, ...]
    tenants: tuple[Tenant, ...] = (Tenant("t", 1.0),)
    groups: int = 20  # of tables
    zipf: float = 0.7
    day: float = 0.0  # amplitude of a daily shape, 0 to 1, over `day_length`
    day_length: float = 86_400_000.0
    swells: tuple[Swell, ...] = ()
    retries: int = 0  # of a refused request by its client
    patience: float = 1.0  # share of the deadline after which a client leaves; 1 for never before
    trace: str = ""


@dataclass(slots=True)
class Arrivals:
    """Drawn requests, one entry of each array a request, in the order of time."""

    time: np.ndarray  # ms
    lane: np.ndarray  # index of the class
    tenant: np.ndarray
    work: np.ndarray  # ms of one thread
    tables: np.ndarray
    key: np.ndarray  # -1 for none
    plan: np.ndarray  # four uniforms a request, one for each attempt
    manager: np.ndarray  # uniform, which manager it comes to
    leaves: np.ndarray = field(default_factory=lambda: np.empty(0))  # ms after arrival, inf for never

    def __len__(self) -> int:
        return len(self.time)


def _rates(w: Workload, at: np.ndarray) -> np.ndarray:
    """How many times the plain rate holds for everybody at each moment."""
    shape = 1.0 + w.day * np.sin(2 * math.pi * at / w.day_length)
    for s in w.swells:
        if not s.tenant and s.tables < 0:
            shape = shape * np.where((at >= s.start) & (at < s.start + s.length), s.times, 1.0)
    return shape


def _poisson(rng: np.random.Generator, w: Workload, span: float) -> np.ndarray:
    """Arrivals of a Poisson process with that rate in time, by thinning (Lewis and Shedler, 1979)."""
    most = (1.0 + w.day) * math.prod([max(1.0, s.times) for s in w.swells if not s.tenant and s.tables < 0])
    count = rng.poisson(w.rate / 1000.0 * most * span)
    at = np.sort(rng.uniform(0.0, span, count))
    return at[rng.uniform(size=count) * most < _rates(w, at)]


def draw(w: Workload, streams: Streams, span: float) -> Arrivals:
    """All requests of a run of so many ms."""
    if w.trace:
        return _replay(w, streams)
    at = _poisson(streams.get("arrivals"), w, span)
    parts = [_fill(w, streams, "", at, None, None)]
    for i, s in enumerate(w.swells):
        if not s.tenant and s.tables < 0:
            continue
        rng = streams.get(f"swell {i}")
        sends = next((_sends(t) for t in w.tenants if t.name == s.tenant), 1.0)
        rate = w.rate * (sends * (s.times - 1.0) if s.tenant else s.times)
        count = rng.poisson(rate / 1000.0 * s.length)
        more = np.sort(rng.uniform(s.start, s.start + s.length, count))
        names = [t.name for t in w.tenants]
        parts.append(
            _fill(
                w,
                streams,
                f" of swell {i}",
                more,
                names.index(s.tenant) if s.tenant else None,
                s.tables if s.tables >= 0 else None,
            )
        )
    return _sorted(parts)


def _sends(t: Tenant) -> float:
    return t.sends if t.sends >= 0 else t.share


def _fill(w: Workload, streams: Streams, name: str, at: np.ndarray, tenant: int | None, tables: int | None) -> Arrivals:
    n = len(at)
    shares = np.array([c.share for c in w.classes])
    lane = streams.get("classes" + name).choice(len(w.classes), n, p=shares / shares.sum())
    sends = np.array([_sends(t) for t in w.tenants])
    who = streams.get("tenants" + name).choice(len(w.tenants), n, p=sends / sends.sum())
    if tenant is not None:
        who = np.full(n, tenant)
    weights = 1.0 / np.arange(1, w.groups + 1) ** w.zipf
    group = streams.get("tables" + name).choice(w.groups, n, p=weights / weights.sum())
    if tables is not None:
        group = np.full(n, tables)
    works, tails = streams.get("works" + name).standard_normal(n), streams.get("tails" + name).uniform(size=n)
    work, key = np.empty(n), np.full(n, -1)
    keys = streams.get("keys" + name).uniform(size=n)
    for i, c in enumerate(w.classes):
        mine = lane == i
        # A lognormal of mean 1; spread 0 is always the mean.
        work[mine] = c.work * np.exp(c.spread * works[mine] - c.spread**2 / 2)
        work[mine] = np.maximum(work[mine], SMALLEST * c.work) if c.spread else c.work
        work[mine & (tails < c.tail)] *= c.tail_times
        if c.keys:
            key[mine] = (keys[mine] * c.keys).astype(int)
    return _with_leaves(
        w,
        Arrivals(
            at,
            lane,
            who,
            work,
            group,
            key,
            streams.get("plans" + name).uniform(size=(n, 4)),
            streams.get("managers" + name).uniform(size=n),
        ),
    )


def _with_leaves(w: Workload, a: Arrivals) -> Arrivals:
    deadlines = np.array([c.deadline for c in w.classes])[a.lane] if len(a) else np.empty(0)
    a.leaves = np.where(w.patience < 1.0, deadlines * w.patience, np.inf)
    return a


def _sorted(parts: list[Arrivals]) -> Arrivals:
    names = ("time", "lane", "tenant", "work", "tables", "key", "plan", "manager", "leaves")
    whole = {n: np.concatenate([getattr(p, n) for p in parts]) for n in names}
    order = np.argsort(whole["time"], kind="stable")
    return Arrivals(**{n: v[order] for n, v in whole.items()})


class TraceError(ValueError):
    """A trace that can't be read; the message names file and line."""


def _replay(w: Workload, streams: Streams) -> Arrivals:
    rows = list(read_trace(w))
    n = len(rows)
    kinds: tuple[type, ...] = (float, int, int, float, int, int)
    made: list[np.ndarray] = [np.array([row[i] for row in rows], dtype=kind) for i, kind in enumerate(kinds)]
    at, lane, tenant, work, tables, key = made
    return _sorted(
        [
            _with_leaves(
                w,
                Arrivals(
                    at,
                    lane,
                    tenant,
                    work,
                    tables,
                    key,
                    streams.get("plans").uniform(size=(n, 4)),
                    streams.get("managers").uniform(size=n),
                ),
            )
        ]
    )


def read_trace(w: Workload) -> Iterator[tuple[float, int, int, float, int, int]]:
    """Recorded arrivals: time, class, tenant, work, tables, key (-1). Raises TraceError with the line."""
    classes = {c.name: i for i, c in enumerate(w.classes)}
    tenants = {t.name: i for i, t in enumerate(w.tenants)}
    try:
        with Path(w.trace).open(newline="") as file:
            reader = csv.DictReader(file)
            if reader.fieldnames is None or set(TRACE) - set(reader.fieldnames):
                raise TraceError(f"{w.trace}:1: columns {', '.join(TRACE)} would be right")
            for row in reader:
                try:
                    at, work = float(row["time_ms"]), float(row["work_ms"])
                    if not (0 <= at < 1e12 and 0 < work < 1e9):
                        raise ValueError("time_ms from 0 and work_ms above 0 would be right")
                    yield (
                        at,
                        classes[row["class"]],
                        tenants[row["tenant"]],
                        work,
                        int(row["tables"] or 0),
                        int(row["key"] or -1),
                    )
                except KeyError as error:
                    raise TraceError(f"{w.trace}:{reader.line_num}: nobody defines {error}") from error
                except (ValueError, TypeError) as error:
                    raise TraceError(f"{w.trace}:{reader.line_num}: {error}") from error
    except OSError as error:
        raise TraceError(f"{w.trace}: {error.strerror}") from error
