"""The workload of an emulated world: classes, tenants, traffic surges, and the requests drawn from them.

Arrivals are open (they do not wait for answers) and drawn ahead of the run into arrays, so that no policy can change
them. In place of draws a workload may replay a trace: recorded arrivals from a CSV file with the columns of
TRACE_COLUMNS. Used by the emulator and by load on running programs. Times are milliseconds.
"""

from __future__ import annotations

import csv
import math
from collections.abc import Iterator
from dataclasses import dataclass, field, fields
from pathlib import Path

import numpy as np

from decklb.interface import Effect
from decklb.lab.emulation.random_streams import Streams

TRACE_COLUMNS = ("time_ms", "class", "tenant", "work_ms", "tables", "key")
MAX_TRACE_TIME_MS = 1e12
MAX_TRACE_WORK_MS = 1e9
MIN_WORK_SHARE = 0.05  # of the class's mean: the least work that is drawn for a query
PLAN_DRAWS = 4  # drawn plans a request, one for each attempt
NO_KEY = -1
ANY_TABLES = -1  # a surge that is not of one table group


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: As the program's settings name it.
        arrival_share: Of all arrivals; shares of all classes need not add up to 1.
        mean_work_ms: Mean work of a query, in ms of one thread, all threads together.
        latency_objective_ms: Within which an answer earns the full weight.
        deadline_ms: After which an answer earns nothing.
        priority_weight: What an answer in time is worth.
        late_priority_weight: Share of that weight that an answer after the objective earns.
        threads: That a query runs on at an engine.
        io_share: Share of the work that reads from disk.
        memory_mb: That a query takes at an engine.
        work_sigma: Sigma of the lognormal work; 0 for the mean always.
        tail_share: Share of requests that take `tail_factor` times the work.
        tail_factor: See above.
        bad_plan_share: Share of attempts whose plan takes `bad_plan_factor` times the work.
        bad_plan_factor: See above.
        effect: Whether a query may be repeated after it may have run.
        ordered_by_key: Whether requests of one key run one after another.
        distinct_keys: How many keys are drawn from; 0 for requests without a key.
        locks_tables: Whether a query is a load that locks its table group.
        waits_for_loads: Whether a query waits while its table group is locked.
    """

    name: str
    arrival_share: float
    mean_work_ms: float
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    threads: int = 1
    io_share: float = 0.3
    memory_mb: float = 100.0
    work_sigma: float = 0.6
    tail_share: float = 0.0
    tail_factor: float = 10.0
    bad_plan_share: float = 0.0
    bad_plan_factor: float = 12.0
    effect: Effect = Effect.SAFE
    ordered_by_key: bool = False
    distinct_keys: int = 0
    locks_tables: bool = False
    waits_for_loads: bool = False


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant, its contracted share, and the share of arrivals that it really sends."""

    name: str
    contract_share: float
    sent_share: float = -1.0  # as contracted where below 0

    @property
    def arrival_share(self) -> float:
        """Share of arrivals."""
        return self.sent_share if self.sent_share >= 0 else self.contract_share


@dataclass(frozen=True, slots=True)
class TrafficSurge:
    """More arrivals for a while: of one tenant, of one group of tables, or of everybody."""

    start_ms: float
    duration_ms: float
    factor: float  # times the plain rate
    tenant: str = ""
    table_group: int = ANY_TABLES

    @property
    def of_everybody(self) -> bool:
        """Whether it raises the rate of all arrivals alike."""
        return not self.tenant and self.table_group < 0


@dataclass(frozen=True, slots=True)
class Workload:
    """All arrivals of a world.

    Attributes:
        requests_per_second: Mean rate over all managers.
        classes, tenants: Whose requests arrive.
        table_groups: Number of table groups, drawn by a Zipf law with exponent `zipf_exponent`.
        daily_amplitude: Amplitude, 0 to 1, of a sine shape of the rate over `day_length_ms`.
        surges: Additional arrivals.
        client_retries: How often a client submits a rejected request again.
        patience_share: Share of the deadline after which a client leaves; 1 for never before it.
        trace_path: CSV file that is replayed in place of draws; empty for draws.
    """

    requests_per_second: float
    classes: tuple[RequestClass, ...]
    tenants: tuple[Tenant, ...] = (Tenant("t", 1.0),)
    table_groups: int = 20
    zipf_exponent: float = 0.7
    daily_amplitude: float = 0.0
    day_length_ms: float = 86_400_000.0
    surges: tuple[TrafficSurge, ...] = ()
    client_retries: int = 0
    patience_share: float = 1.0
    trace_path: str = ""


@dataclass(slots=True)
class Arrivals:
    """Drawn requests: entry i of each array is request i, in the order of time.

    Attributes:
        time_ms: Of arrival, from the start of the run.
        class_index, tenant_index: Among the workload's classes and tenants.
        work_ms: Work of the query, in ms of one thread.
        table_group: That the query reads.
        key: Number of the key; NO_KEY for none.
        plan_draw: PLAN_DRAWS uniform numbers a request, one for each attempt.
        manager_draw: Uniform number that chooses the manager.
        leave_after_ms: After which the client gives up; infinite for never.
    """

    time_ms: np.ndarray
    class_index: np.ndarray
    tenant_index: np.ndarray
    work_ms: np.ndarray
    table_group: np.ndarray
    key: np.ndarray
    plan_draw: np.ndarray
    manager_draw: np.ndarray
    leave_after_ms: np.ndarray = field(default_factory=lambda: np.empty(0))

    def __len__(self) -> int:
        return len(self.time_ms)


def draw(workload: Workload, streams: Streams, duration_ms: float) -> Arrivals:
    """Draw all requests of a run, or read them from the trace.

    Each concern has its stream of random numbers, so that a change in one leaves the others' draws as they were.

    Raises:
        TraceError: The trace can't be read.
    """
    if workload.trace_path:
        return _replay(workload, streams)
    times = _poisson_times(streams.get("arrivals"), workload, duration_ms)
    batches = [_draw_batch(workload, streams, "", times)]
    for number, surge in enumerate(workload.surges):
        if not surge.of_everybody:
            times = _surge_times(streams.get(f"swell {number}"), workload, surge)
            batches.append(_draw_batch(workload, streams, f" of swell {number}", times, surge))
    return _merged(batches)


def _rate_factors(workload: Workload, times: np.ndarray) -> np.ndarray:
    """Return how many times the plain rate holds at each moment, without surges of single tenants or tables."""
    factors = 1.0 + workload.daily_amplitude * np.sin(2 * math.pi * times / workload.day_length_ms)
    for surge in workload.surges:
        if surge.of_everybody:
            during = (times >= surge.start_ms) & (times < surge.start_ms + surge.duration_ms)
            factors = factors * np.where(during, surge.factor, 1.0)
    return factors


def _poisson_times(rng: np.random.Generator, workload: Workload, duration_ms: float) -> np.ndarray:
    """Draw a Poisson process whose rate varies in time, by thinning (Lewis and Shedler, 1979)."""
    surge_factors = [max(1.0, surge.factor) for surge in workload.surges if surge.of_everybody]
    max_factor = (1.0 + workload.daily_amplitude) * math.prod(surge_factors)
    count = rng.poisson(workload.requests_per_second / 1000.0 * max_factor * duration_ms)
    times = np.sort(rng.uniform(0.0, duration_ms, count))
    return times[rng.uniform(size=count) * max_factor < _rate_factors(workload, times)]


def _surge_times(rng: np.random.Generator, workload: Workload, surge: TrafficSurge) -> np.ndarray:
    """Draw the additional arrivals of one tenant or one table group."""
    rate = workload.requests_per_second * surge.factor
    if surge.tenant:
        share = next((t.arrival_share for t in workload.tenants if t.name == surge.tenant), 1.0)
        rate = workload.requests_per_second * (share * (surge.factor - 1.0))
    count = rng.poisson(rate / 1000.0 * surge.duration_ms)
    return np.sort(rng.uniform(surge.start_ms, surge.start_ms + surge.duration_ms, count))


def _draw_batch(
    workload: Workload, streams: Streams, suffix: str, times: np.ndarray, surge: TrafficSurge | None = None
) -> Arrivals:
    """Draw what arrives at these moments; `suffix` names the batch's own streams."""
    count = len(times)
    class_shares = np.array([spec.arrival_share for spec in workload.classes])
    class_index = _choices(streams.get("classes" + suffix), class_shares, count)
    tenant_shares = np.array([tenant.arrival_share for tenant in workload.tenants])
    tenant_index = _choices(streams.get("tenants" + suffix), tenant_shares, count)
    zipf_weights = 1.0 / np.arange(1, workload.table_groups + 1) ** workload.zipf_exponent
    table_group = _choices(streams.get("tables" + suffix), zipf_weights, count)
    if surge is not None and surge.tenant:
        tenant_index = np.full(count, [tenant.name for tenant in workload.tenants].index(surge.tenant))
    if surge is not None and surge.table_group >= 0:
        table_group = np.full(count, surge.table_group)
    return Arrivals(
        times,
        class_index,
        tenant_index,
        _draw_work_ms(workload, streams, suffix, class_index),
        table_group,
        _draw_keys(workload, streams, suffix, class_index),
        streams.get("plans" + suffix).uniform(size=(count, PLAN_DRAWS)),
        streams.get("managers" + suffix).uniform(size=count),
        _leave_after_ms(workload, class_index),
    )


def _choices(rng: np.random.Generator, weights: np.ndarray, count: int) -> np.ndarray:
    return rng.choice(len(weights), count, p=weights / weights.sum())


def _draw_work_ms(workload: Workload, streams: Streams, suffix: str, class_index: np.ndarray) -> np.ndarray:
    """Draw lognormal work with the mean of each class, and its tail."""
    count = len(class_index)
    normals = streams.get("works" + suffix).standard_normal(count)
    tails = streams.get("tails" + suffix).uniform(size=count)
    work_ms = np.empty(count)
    for index, spec in enumerate(workload.classes):
        mine = class_index == index
        if spec.work_sigma:
            lognormal = spec.mean_work_ms * np.exp(spec.work_sigma * normals[mine] - spec.work_sigma**2 / 2)
            work_ms[mine] = np.maximum(lognormal, MIN_WORK_SHARE * spec.mean_work_ms)
        else:
            work_ms[mine] = spec.mean_work_ms
        work_ms[mine & (tails < spec.tail_share)] *= spec.tail_factor
    return work_ms


def _draw_keys(workload: Workload, streams: Streams, suffix: str, class_index: np.ndarray) -> np.ndarray:
    count = len(class_index)
    draws = streams.get("keys" + suffix).uniform(size=count)
    keys = np.full(count, NO_KEY)
    for index, spec in enumerate(workload.classes):
        if spec.distinct_keys:
            mine = class_index == index
            keys[mine] = (draws[mine] * spec.distinct_keys).astype(int)
    return keys


def _leave_after_ms(workload: Workload, class_index: np.ndarray) -> np.ndarray:
    if not len(class_index):
        return np.empty(0)
    deadlines_ms = np.array([spec.deadline_ms for spec in workload.classes])[class_index]
    return np.where(workload.patience_share < 1.0, deadlines_ms * workload.patience_share, np.inf)


def _merged(batches: list[Arrivals]) -> Arrivals:
    """Return all batches as one, in the order of time."""
    columns = {f.name: np.concatenate([getattr(batch, f.name) for batch in batches]) for f in fields(Arrivals)}
    order = np.argsort(columns["time_ms"], kind="stable")
    return Arrivals(**{name: values[order] for name, values in columns.items()})


class TraceError(ValueError):
    """A trace that can't be read; the message names file and line."""


def _replay(workload: Workload, streams: Streams) -> Arrivals:
    rows = list(read_trace(workload))
    types: tuple[type, ...] = (float, int, int, float, int, int)
    columns: list[np.ndarray] = [np.array([row[i] for row in rows], dtype=kind) for i, kind in enumerate(types)]
    time_ms, class_index, tenant_index, work_ms, table_group, key = columns
    recorded = Arrivals(
        time_ms,
        class_index,
        tenant_index,
        work_ms,
        table_group,
        key,
        streams.get("plans").uniform(size=(len(rows), PLAN_DRAWS)),
        streams.get("managers").uniform(size=len(rows)),
        _leave_after_ms(workload, class_index),
    )
    return _merged([recorded])


def read_trace(workload: Workload) -> Iterator[tuple[float, int, int, float, int, int]]:
    """Yield recorded arrivals: time in ms, class index, tenant index, work in ms, table group, key.

    Raises:
        TraceError: File or line can't be read.
    """
    path = workload.trace_path
    class_index = {spec.name: i for i, spec in enumerate(workload.classes)}
    tenant_index = {tenant.name: i for i, tenant in enumerate(workload.tenants)}
    try:
        with Path(path).open(newline="") as file:
            reader = csv.DictReader(file)
            if reader.fieldnames is None or set(TRACE_COLUMNS) - set(reader.fieldnames):
                raise TraceError(f"{path}:1: columns {', '.join(TRACE_COLUMNS)} would be right")
            for row in reader:
                try:
                    yield _trace_row(row, class_index, tenant_index)
                except KeyError as error:
                    raise TraceError(f"{path}:{reader.line_num}: nobody defines {error}") from error
                except (ValueError, TypeError) as error:
                    raise TraceError(f"{path}:{reader.line_num}: {error}") from error
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from error


def _trace_row(
    row: dict[str, str], class_index: dict[str, int], tenant_index: dict[str, int]
) -> tuple[float, int, int, float, int, int]:
    time_ms, work_ms = float(row["time_ms"]), float(row["work_ms"])
    if not (0 <= time_ms < MAX_TRACE_TIME_MS and 0 < work_ms < MAX_TRACE_WORK_MS):
        raise ValueError("time_ms from 0 and work_ms above 0 would be right")
    return (
        time_ms,
        class_index[row["class"]],
        tenant_index[row["tenant"]],
        work_ms,
        int(row["tables"] or 0),
        int(row["key"] or NO_KEY),
    )
