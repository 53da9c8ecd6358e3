"""Workload of an emulated world: classes, tenants, traffic surges, and the requests generated from them.

The workload is open-loop: arrivals do not wait for answers. All requests are generated into arrays before the run, so
that no policy can influence them. Instead of random requests, a workload can replay a trace: recorded arrivals from a
CSV file with the columns TRACE_COLUMNS. The emulator and the load generator for running programs use this module.
Times are milliseconds.
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
MIN_WORK_FRACTION = 0.05  # minimum work of a query as a fraction of its class's mean
PLAN_DRAWS = 4  # random draws for query plans per request; attempts use them in turn
NO_KEY = -1
ANY_TABLE_GROUP = -1  # marks a surge that is not limited to one table group


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests.

    Attributes:
        name: Name of the class in the settings.
        arrival_share: Weight among all arrivals; the shares of all classes need not add up to 1.
        mean_work_ms: Mean execution time of a query in ms, summed over all threads.
        latency_objective_ms: Time in ms from arrival within which an answer has its full value.
        deadline_ms: Time in ms after which an answer has no value.
        priority_weight: Value of an answer within the latency objective.
        late_priority_weight: Fraction of that value that a later answer still has.
        threads: Number of threads on which an engine runs one query.
        io_share: Fraction of the work that reads from disk.
        memory_mb: Memory in MB that a query uses at an engine.
        work_sigma: Sigma of the lognormal distribution of the work; 0: always the mean.
        tail_share: Fraction of the requests whose work is multiplied by `tail_factor`.
        tail_factor: Factor on the work of these requests.
        bad_plan_share: Fraction of the attempts whose work is multiplied by `bad_plan_factor`.
        bad_plan_factor: Factor on the work of these attempts.
        effect: Whether a query may be executed more than once.
        ordered_by_key: Whether requests with the same ordering key run one after another.
        distinct_keys: Number of ordering keys; 0: the requests have no key.
        locks_tables: Whether a query is a data load, which locks its table group.
        waits_for_loads: Whether a query waits while a data load locks its table group.
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
    """A tenant with its contracted share of the service and its actual share of the arrivals."""

    name: str
    contract_share: float
    sent_share: float = -1.0  # actual share; below 0: equal to the contracted share

    @property
    def arrival_share(self) -> float:
        """Actual share of the arrivals."""
        return self.sent_share if self.sent_share >= 0 else self.contract_share


@dataclass(frozen=True, slots=True)
class TrafficSurge:
    """A temporary increase of the arrival rate: for one tenant, for one table group or for all requests."""

    start_ms: float
    duration_ms: float
    factor: float  # multiple of the normal rate
    tenant: str = ""
    table_group: int = ANY_TABLE_GROUP

    @property
    def is_global(self) -> bool:
        """Whether it affects all arrivals."""
        return not self.tenant and self.table_group < 0


@dataclass(frozen=True, slots=True)
class Workload:
    """Definition of all arrivals of a world.

    Attributes:
        requests_per_second: Mean arrival rate over all managers.
        classes, tenants: Classes and tenants of the requests.
        table_groups: Number of table groups; requests choose theirs by a Zipf distribution.
        zipf_exponent: Exponent of that distribution.
        daily_amplitude: Relative amplitude, from 0 to 1, of a sinusoidal variation of the arrival rate.
        day_length_ms: Period of that variation.
        surges: Temporary increases of the arrival rate.
        client_retries: Number of times that a client submits a rejected request again.
        patience_share: Fraction of the deadline after which a client leaves; 1: clients never leave before it.
        trace_path: CSV file to replay instead of generating requests; empty: requests are generated.
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
    """The requests of a run as arrays: entry i of each array belongs to request i, in order of arrival.

    Attributes:
        time_ms: Arrival time from the start of the run.
        class_index, tenant_index: Indexes into the workload's classes and tenants.
        work_ms: Work of the query in ms of one thread.
        table_group: Table group that the query reads or loads data into.
        key: Number of the ordering key, or NO_KEY.
        plan_draw: PLAN_DRAWS uniform random numbers per request, which decide about bad plans of its attempts.
        manager_draw: Uniform random number that selects the manager.
        leave_after_ms: Time in ms from arrival after which the client leaves; infinite: never.
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
    """Generate all requests of a run, or read them from the trace.

    Each property has its own random stream, so that a change of one does not affect the random numbers of the others.

    Raises:
        TraceError: The trace cannot be read.
    """
    if workload.trace_path:
        return _replay(workload, streams)
    times = _poisson_times(streams.get("arrivals"), workload, duration_ms)
    batches = [_draw_batch(workload, streams, "", times)]
    for number, surge in enumerate(workload.surges):
        if not surge.is_global:
            times = _surge_times(streams.get(f"swell {number}"), workload, surge)
            batches.append(_draw_batch(workload, streams, f" of swell {number}", times, surge))
    return _merge(batches)


def _rate_factors(workload: Workload, times: np.ndarray) -> np.ndarray:
    """Return the factor on the arrival rate at each time, without the surges of single tenants or table groups."""
    factors = 1.0 + workload.daily_amplitude * np.sin(2 * math.pi * times / workload.day_length_ms)
    for surge in workload.surges:
        if surge.is_global:
            is_active = (times >= surge.start_ms) & (times < surge.start_ms + surge.duration_ms)
            factors = factors * np.where(is_active, surge.factor, 1.0)
    return factors


def _poisson_times(rng: np.random.Generator, workload: Workload, duration_ms: float) -> np.ndarray:
    """Draw the arrival times of a Poisson process with a varying rate, by thinning (Lewis and Shedler, 1979)."""
    surge_factors = [max(1.0, surge.factor) for surge in workload.surges if surge.is_global]
    max_factor = (1.0 + workload.daily_amplitude) * math.prod(surge_factors)
    count = rng.poisson(workload.requests_per_second / 1000.0 * max_factor * duration_ms)
    times = np.sort(rng.uniform(0.0, duration_ms, count))
    return times[rng.uniform(size=count) * max_factor < _rate_factors(workload, times)]


def _surge_times(rng: np.random.Generator, workload: Workload, surge: TrafficSurge) -> np.ndarray:
    """Draw the times of the additional arrivals of a surge of one tenant or table group."""
    rate = workload.requests_per_second * surge.factor
    if surge.tenant:
        share = next((t.arrival_share for t in workload.tenants if t.name == surge.tenant), 1.0)
        rate = workload.requests_per_second * (share * (surge.factor - 1.0))
    count = rng.poisson(rate / 1000.0 * surge.duration_ms)
    return np.sort(rng.uniform(surge.start_ms, surge.start_ms + surge.duration_ms, count))


def _draw_batch(
    workload: Workload, streams: Streams, suffix: str, times: np.ndarray, surge: TrafficSurge | None = None
) -> Arrivals:
    """Draw the properties of requests that arrive at these times; `suffix` selects the random streams of the batch."""
    count = len(times)
    class_shares = np.array([spec.arrival_share for spec in workload.classes])
    class_index = _draw_indexes(streams.get("classes" + suffix), class_shares, count)
    tenant_shares = np.array([tenant.arrival_share for tenant in workload.tenants])
    tenant_index = _draw_indexes(streams.get("tenants" + suffix), tenant_shares, count)
    zipf_weights = 1.0 / np.arange(1, workload.table_groups + 1) ** workload.zipf_exponent
    table_group = _draw_indexes(streams.get("tables" + suffix), zipf_weights, count)
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


def _draw_indexes(rng: np.random.Generator, weights: np.ndarray, count: int) -> np.ndarray:
    return rng.choice(len(weights), count, p=weights / weights.sum())


def _draw_work_ms(workload: Workload, streams: Streams, suffix: str, class_index: np.ndarray) -> np.ndarray:
    """Draw the work of each request: lognormal with the mean of its class, multiplied in the tail."""
    count = len(class_index)
    normals = streams.get("works" + suffix).standard_normal(count)
    tails = streams.get("tails" + suffix).uniform(size=count)
    work_ms = np.empty(count)
    for index, spec in enumerate(workload.classes):
        of_class = class_index == index
        if spec.work_sigma:
            lognormal = spec.mean_work_ms * np.exp(spec.work_sigma * normals[of_class] - spec.work_sigma**2 / 2)
            work_ms[of_class] = np.maximum(lognormal, MIN_WORK_FRACTION * spec.mean_work_ms)
        else:
            work_ms[of_class] = spec.mean_work_ms
        work_ms[of_class & (tails < spec.tail_share)] *= spec.tail_factor
    return work_ms


def _draw_keys(workload: Workload, streams: Streams, suffix: str, class_index: np.ndarray) -> np.ndarray:
    count = len(class_index)
    draws = streams.get("keys" + suffix).uniform(size=count)
    keys = np.full(count, NO_KEY)
    for index, spec in enumerate(workload.classes):
        if spec.distinct_keys:
            of_class = class_index == index
            keys[of_class] = (draws[of_class] * spec.distinct_keys).astype(int)
    return keys


def _leave_after_ms(workload: Workload, class_index: np.ndarray) -> np.ndarray:
    if not len(class_index):
        return np.empty(0)
    deadlines_ms = np.array([spec.deadline_ms for spec in workload.classes])[class_index]
    return np.where(workload.patience_share < 1.0, deadlines_ms * workload.patience_share, np.inf)


def _merge(batches: list[Arrivals]) -> Arrivals:
    """Merge all batches into one, in order of arrival."""
    columns = {f.name: np.concatenate([getattr(batch, f.name) for batch in batches]) for f in fields(Arrivals)}
    order = np.argsort(columns["time_ms"], kind="stable")
    return Arrivals(**{name: values[order] for name, values in columns.items()})


class TraceError(ValueError):
    """A trace cannot be read; the message names the file and line."""


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
    return _merge([recorded])


def read_trace(workload: Workload) -> Iterator[tuple[float, int, int, float, int, int]]:
    """Yield recorded arrivals: time in ms, class index, tenant index, work in ms, table group, key.

    Raises:
        TraceError: The file or one of its lines cannot be read.
    """
    path = workload.trace_path
    class_index = {spec.name: i for i, spec in enumerate(workload.classes)}
    tenant_index = {tenant.name: i for i, tenant in enumerate(workload.tenants)}
    try:
        with Path(path).open(newline="") as file:
            reader = csv.DictReader(file)
            if reader.fieldnames is None or set(TRACE_COLUMNS) - set(reader.fieldnames):
                raise TraceError(f"{path}:1: columns {', '.join(TRACE_COLUMNS)} are required")
            for row in reader:
                try:
                    yield _trace_row(row, class_index, tenant_index)
                except KeyError as error:
                    raise TraceError(f"{path}:{reader.line_num}: undefined class or tenant {error}") from error
                except (ValueError, TypeError) as error:
                    raise TraceError(f"{path}:{reader.line_num}: {error}") from error
    except OSError as error:
        raise TraceError(f"{path}: {error.strerror}") from error


def _trace_row(
    row: dict[str, str], class_index: dict[str, int], tenant_index: dict[str, int]
) -> tuple[float, int, int, float, int, int]:
    time_ms, work_ms = float(row["time_ms"]), float(row["work_ms"])
    if not (0 <= time_ms < MAX_TRACE_TIME_MS and 0 < work_ms < MAX_TRACE_WORK_MS):
        raise ValueError(f"time_ms must be in [0, {MAX_TRACE_TIME_MS:g}) and work_ms in (0, {MAX_TRACE_WORK_MS:g})")
    return (
        time_ms,
        class_index[row["class"]],
        tenant_index[row["tenant"]],
        work_ms,
        int(row["tables"] or 0),
        int(row["key"] or NO_KEY),
    )
