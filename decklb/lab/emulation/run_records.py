"""Records of one emulated run: rows of requests, attempts and engine states, and one summary of figures.

`Records` belongs to the run's context. Managers and clients report the ends of attempts and requests, the records
sample the engines periodically, and the emulator reads the summary at the end. The names of columns and figures are
those of the stored tables (`experiments.cell_runner.TABLES`) and must not change.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from decklb.core.attempts import Attempt
from decklb.interface import Outcome
from decklb.lab.emulation.emulated_world import EmulatedWorld
from decklb.lab.emulation.engine_model import Engine
from decklb.lab.emulation.simulated_loop import Loop
from decklb.lab.emulation.workload import Arrivals, RequestClass
from decklb.wirehost import WORD_BY_OUTCOME

SAMPLE_PERIOD_MS = 1000.0  # time between two samples of the engines' states
MAX_LATENCY_US = 3_600_000_000  # highest value of the histograms: 1 hour
HISTOGRAM_DIGITS = 3  # precision of the histograms in significant decimal digits
PERCENTILES = ((50.0, "p50"), (95.0, "p95"), (99.0, "p99"))  # percentiles and their names in the summary
REQUEST_ENDS = ("served", "refused", "failed", "left", "lost")  # how a request can end, as stored


def jain_index(values: list[float]) -> float:
    """Return the fairness index of an allocation; 1 if all values are equal (Jain, Chiu, Hawe, 1984)."""
    total, squares = sum(values), sum(v * v for v in values)
    return total * total / (len(values) * squares) if squares else 1.0


@dataclass(frozen=True, slots=True)
class RunTotals:
    """Figures of the whole run that the emulator passes to the summary.

    Attributes:
        seed: Seed of the run.
        health_checks: Number of health checks started; None if the world has none.
        violations: Number of violations by invariant.
        loop_calls: Number of calls that the simulated loop made.
        steps: Number of policy steps of all managers.
        step_seconds: Real time spent in these steps.
        run_seconds: Real time of the whole run.
    """

    seed: int
    health_checks: int | None
    violations: Mapping[str, int]
    loop_calls: int
    steps: int
    step_seconds: float
    run_seconds: float


class RequestsInSystem:
    """Time integrals of the requests in the system, for Little's law (L = lambda W).

    Attributes:
        area_ms: Integral over time of the number of requests in the system.
        time_in_system_ms: Sum of the times that the finished requests spent in the system.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._count = self._since_ms = 0.0
        self.area_ms = self.time_in_system_ms = 0.0

    def change(self, difference: float) -> None:
        """Add to the number of requests in the system: 1 for an arrival, -1 for an end."""
        now = self._loop.now()
        self.area_ms += self._count * (now - self._since_ms)
        self._since_ms = now
        self._count += difference


class Records:
    """Rows of every n-th request and attempt, and sums over all of them.

    n is chosen so that at most `EmulatedWorld.max_recorded_requests` requests are stored. Requests and attempts that
    started during the warm-up are not counted.

    Attributes:
        requests, attempts, engines: Rows; the order of values is that of the stored columns.
        seconds: Offered and earned weight, by the second of arrival.
        ends: Number of requests by kind of end.
        outcomes: Number of attempts by outcome.
    """

    def __init__(self, world: EmulatedWorld, loop: Loop, arrivals: Arrivals, engines: Mapping[str, Engine]) -> None:
        self._world, self._loop, self._arrivals, self._engines = world, loop, arrivals, engines
        classes, tenants = world.workload.classes, world.workload.tenants
        self._record_interval = max(1, -(-len(arrivals) // max(1, world.max_recorded_requests)))
        self.requests: list[tuple[Any, ...]] = []
        self.attempts: list[tuple[Any, ...]] = []
        self.engines: list[tuple[Any, ...]] = []
        self.seconds: dict[int, list[float]] = {}
        self.ends: Counter[str] = Counter()
        self.outcomes: Counter[str] = Counter()
        self._offered = [0.0] * len(classes)
        self._earned = [0.0] * len(classes)
        self._tenant_offered = [0.0] * len(tenants)
        self._tenant_earned = [0.0] * len(tenants)
        self._requests_counted = self._requests_in_time = self._attempts_counted = 0
        self._latency_us = [HdrHistogram(1, MAX_LATENCY_US, HISTOGRAM_DIGITS) for _ in classes]
        self._load_sum = 0.0
        self._load_samples = 0
        self._in_system = RequestsInSystem(loop)

    def start(self) -> None:
        """Start the periodic samples of the engines' states."""
        self._loop.call_later(SAMPLE_PERIOD_MS, self._sample_engines)

    def _sample_engines(self) -> None:
        now = self._loop.now()
        for engine in self._engines.values():
            self._load_sum += engine.threads / engine.spec.cores
            self._load_samples += 1
            waiting = sum(map(len, engine.waiting.values()))
            running = len(engine.running)
            self.engines.append(
                (now, engine.name, engine.threads, running, waiting, engine.up, engine.memory_mb, engine.speed)
            )
        if now < self._world.duration_ms:
            self._loop.call_later(SAMPLE_PERIOD_MS, self._sample_engines)

    def request_arrived(self, index: int) -> None:
        """Count a request before its first submission."""
        self._in_system.change(1.0)
        arrivals = self._arrivals
        if arrivals.time_ms[index] < self._world.warm_up_ms:
            return
        weight = self._class_of(index).priority_weight
        self._requests_counted += 1
        self._offered[arrivals.class_index[index]] += weight
        self._tenant_offered[arrivals.tenant_index[index]] += weight
        self._second_of(index)[0] += weight

    def request_ended(self, index: int, end: str, issued_ms: float, submissions: int, attempts: int) -> None:
        """Count a request that has ended.

        Args:
            index: Index of the request in the arrivals.
            end: One of REQUEST_ENDS.
            issued_ms: Time of its first submission.
            submissions: Number of submissions by its client.
            attempts: Number of attempts over all submissions.
        """
        self._in_system.change(-1.0)
        arrivals = self._arrivals
        took_ms = self._loop.now() - issued_ms
        self._in_system.time_in_system_ms += took_ms
        if arrivals.time_ms[index] < self._world.warm_up_ms:
            return
        self.ends[end] += 1
        earned = self._earn(index, took_ms) if end == "served" else 0.0
        if index % self._record_interval == 0:
            tenant = self._world.workload.tenants[arrivals.tenant_index[index]].name
            self.requests.append(
                (
                    float(arrivals.time_ms[index]),
                    index,
                    self._class_of(index).name,
                    tenant,
                    float(arrivals.work_ms[index]),
                    int(arrivals.table_group[index]),
                    end,
                    took_ms,
                    submissions,
                    attempts,
                    earned,
                )
            )

    def _earn(self, index: int, took_ms: float) -> float:
        """Add the weight earned by a served request to the sums and return it."""
        arrivals, spec = self._arrivals, self._class_of(index)
        in_time = took_ms <= spec.latency_objective_ms
        earned = spec.priority_weight * (1.0 if in_time else spec.late_priority_weight)
        self._requests_in_time += in_time
        self._earned[arrivals.class_index[index]] += earned
        self._tenant_earned[arrivals.tenant_index[index]] += earned
        self._second_of(index)[1] += earned
        self._latency_us[arrivals.class_index[index]].record_value(max(1, int(took_ms * 1000)))
        return earned

    def _class_of(self, index: int) -> RequestClass:
        spec: RequestClass = self._world.workload.classes[self._arrivals.class_index[index]]
        return spec

    def _second_of(self, index: int) -> list[float]:
        return self.seconds.setdefault(int(self._arrivals.time_ms[index] // 1000), [0.0, 0.0])

    def attempt_ended(self, attempt: Attempt, outcome: Outcome) -> None:
        """Count an attempt that has ended."""
        if attempt.started_at_ms < self._world.warm_up_ms:
            return
        self._attempts_counted += 1
        self.outcomes[WORD_BY_OUTCOME[outcome]] += 1
        if self._attempts_counted % self._record_interval == 0:
            took_ms = self._loop.now() - attempt.started_at_ms
            self.attempts.append(
                (
                    attempt.started_at_ms,
                    attempt.request.incoming.client_request_id,
                    attempt.number,
                    attempt.engine_id,
                    WORD_BY_OUTCOME[outcome],
                    took_ms,
                )
            )

    # The summary. Apart from the figures that start with `cost_`, it depends on the world and the seed only.

    def summary(self, totals: RunTotals) -> dict[str, Any]:
        """Return the figures of the run, in the order of the stored columns."""
        return {
            "policy": self._world.policy,
            "seed": totals.seed,
            "managers": self._world.managers,
            "engines": self._world.engines,
            **self._request_figures(),
            **self._latency_figures(),
            **self._engine_figures(),
            **self._check_figures(totals),
            "cost_run_s": totals.run_seconds,
            "cost_step_us": 1e6 * totals.step_seconds / max(1, totals.steps),
            "cost_steps_s": totals.step_seconds,
        }

    def _request_figures(self) -> dict[str, Any]:
        offered, earned = sum(self._offered), sum(self._earned)
        requests = self._requests_counted
        earned_ratio_by_tenant = _ratios(self._tenant_earned, self._tenant_offered)
        earned_ratio_by_class = _ratios(self._earned, self._offered)
        return {
            "requests": requests,
            "worth": earned / offered if offered else 0.0,
            "in_time": self._requests_in_time / requests if requests else 0.0,
            **{end: self.ends[end] for end in REQUEST_ENDS},
            "attempts": self._attempts_counted,
            "attempts_a_request": self._attempts_counted / requests if requests else 0.0,
            "fairness": jain_index(earned_ratio_by_tenant),
            "least_class": min(earned_ratio_by_class, default=0.0),
        }

    def _latency_figures(self) -> dict[str, float | None]:
        classes = self._world.workload.classes
        return {
            f"{name}_{spec.name}": (
                histogram.get_value_at_percentile(percentile) / 1000.0 if histogram.get_total_count() else None
            )
            for percentile, name in PERCENTILES
            for spec, histogram in zip(classes, self._latency_us, strict=True)
        }

    def _engine_figures(self) -> dict[str, Any]:
        accounts = [engine.account for engine in self._engines.values()]
        return {
            "load": self._load_sum / self._load_samples if self._load_samples else 0.0,
            "work_served": sum(account.served_ms for account in accounts),
            "work_lost": sum(account.lost_ms for account in accounts),
            "work_done": sum(account.executed_ms for account in accounts),
            "work_open": sum(engine.work_in_progress_ms() for engine in self._engines.values()),
            "falls": sum(account.crashes for account in accounts),
            "full": sum(account.rejections for account in accounts),
        }

    def _check_figures(self, totals: RunTotals) -> dict[str, Any]:
        now = self._loop.now()
        figures: dict[str, Any] = {}
        if totals.health_checks is not None:
            checks_ms = totals.health_checks * self._world.health_check_period_ms
            figures["probes_an_engine_a_period"] = checks_ms / (self._world.engines * now)
        figures["little_l"] = self._in_system.area_ms / now if now else 0.0
        figures["little_lw"] = self._in_system.time_in_system_ms / now if now else 0.0
        figures |= {f"broken_{rule}": count for rule, count in sorted(totals.violations.items())}
        figures["broken"] = sum(totals.violations.values())
        figures["events"] = totals.loop_calls
        return figures


def _ratios(earned: list[float], offered: list[float]) -> list[float]:
    return [
        earned_weight / offered_weight
        for earned_weight, offered_weight in zip(earned, offered, strict=True)
        if offered_weight
    ]
