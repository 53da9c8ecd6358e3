"""Load reports: polls engines for their load, if the settings allow health checks that report it.

Each request that arrives earns a few probes, so that probes are sent at a rate proportional to that of
requests, as in Prequal (Wydrowski et al.). Reports are late and slightly inaccurate: a report is valid for a
fraction of the shortest latency objective, what was sent since is added to it, and the load limit that comes
with it is random. The gateway passes in the reports, the router reads them. State: the probe credit, the mean
threads of a query, and four fields of each engine.
"""

from __future__ import annotations

import random

from decklb.interface import Action, CheckHealth, HealthCheckResult, Outcome, Settings
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.concurrency import DECREASE_FACTOR, INCREASE_FACTOR, THREADS_PER_CORE
from decklb.policy.constants import CONTROL_PERIOD_MS, LONG_AGO, SCAN_TICKS
from decklb.policy.records import Engine, Request

QUERIES_FIELD = "rif"  # field of a load report: queries in flight at the engine (named by the platform)
PROBES_PER_REQUEST = 2.0  # probes that each accepted request earns
MAX_PROBE_CREDIT = 8.0  # largest number of probes earned but not sent
MAX_AGE_FRACTION = 0.25  # time for which a report is valid, as a fraction of the shortest latency objective
MIN_LIMIT_FRACTION = 0.6  # load limits are drawn at random from this fraction of the maximum to all of it
INITIAL_THREADS_PER_QUERY = 1.5  # mean threads of a query until the first answers


class LoadReports:
    """Decides when to probe an engine and evaluates the reports."""

    def __init__(self, settings: Settings) -> None:
        self.enabled = settings.health_checks and QUERIES_FIELD in settings.load_report_fields
        self.max_age_ms = MAX_AGE_FRACTION * min(
            spec.latency_objective_ms for spec in settings.classes.values()
        )
        self.probe_timeout_ms = SCAN_TICKS * settings.tick_ms  # time that a probe has to be answered
        self.last_report_at = 0.0
        self._classes = settings.classes
        self._probe_credit = MAX_PROBE_CREDIT
        self._threads_per_query = INITIAL_THREADS_PER_QUERY

    def add_request(self, request: Request, rng: random.Random) -> None:
        """Earn the probes of a request, and draw where in the order of engines its search starts."""
        if self.enabled:
            request.order_offset = rng.random()
            self._probe_credit = min(MAX_PROBE_CREDIT, self._probe_credit + PROBES_PER_REQUEST)

    def probe(self, engines: list[Engine], now: float) -> list[Action]:
        """Return probes of those engines that have none outstanding, as far as the credit allows."""
        actions: list[Action] = []
        for engine in engines:
            if self._probe_credit >= 1 and engine.probe_sent_at == LONG_AGO:
                self._probe_credit -= 1
                engine.probe_sent_at = now
                actions.append(CheckHealth(engine.endpoint.engine_id))
        return actions

    def record(
        self, engine: Engine, result: HealthCheckResult, factor: float, now: float, rng: random.Random
    ) -> None:
        """Record the answer to a probe; `factor` is that of the concurrency limit.

        The load limit is random: with equal limits all waiting gateways would send at once.
        """
        engine.probe_sent_at = LONG_AGO
        if result.outcome is Outcome.SUCCESS and QUERIES_FIELD in result.load_report:
            engine.reported_load = result.load_report[QUERIES_FIELD] * self._threads_per_query / engine.cores
            engine.reported_at = self.last_report_at = now
            limit = THREADS_PER_CORE * max(DECREASE_FACTOR, min(INCREASE_FACTOR, factor))
            engine.load_limit = limit * rng.uniform(MIN_LIMIT_FRACTION, 1.0)

    def is_current(self, engine: Engine, now: float) -> bool:
        """Return whether the last report is still valid."""
        return now - engine.reported_at < self.max_age_ms

    def should_probe(self, engine: Engine, now: float) -> bool:
        """Return whether to probe an engine.

        An engine that has left a probe unanswered is skipped while others answer.
        """
        overdue = LONG_AGO < engine.probe_sent_at < now - self.probe_timeout_ms
        return not overdue or now - self.last_report_at > CONTROL_PERIOD_MS

    def has_recent_answer(self, now: float) -> bool:
        """Return whether any probe was answered within the last control period."""
        return now - self.last_report_at < CONTROL_PERIOD_MS

    def update_threads_per_query(self, statistics: dict[str, ClassStatistics]) -> None:
        """Recompute the mean threads of a query from the requests of this gateway.

        Load reports count queries, while limits count threads.
        """
        weights = [max(1, stats.answers) * stats.run_ms for stats in statistics.values()]
        threads = [self._classes[name].threads for name in statistics]
        weighted_threads = sum(weight * count for weight, count in zip(weights, threads, strict=True))
        self._threads_per_query = weighted_threads / sum(weights)
