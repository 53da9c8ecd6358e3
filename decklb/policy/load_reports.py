"""Load reports: polls engines for their load where the settings have them answer probes.

A request that arrives pays for a few probes (as Prequal, Wydrowski et al., probes at the rate of requests).
Reports are late and a little noisy: each is good for a part of the shortest objective, counts own sends
since, and comes with a limit drawn by chance. The gateway feeds answers, the router asks. State: the probes
saved up, five fields of an engine.
"""

from __future__ import annotations

import random

from decklb.interface import Action, CheckHealth, HealthCheckResult, Outcome, Settings
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.concurrency import CLOSE_FACTOR, OPEN_FACTOR, THREADS_PER_CORE
from decklb.policy.constants import CONTROL_PERIOD_MS, LONG_AGO, SCAN_TICKS
from decklb.policy.records import Engine, Request

QUERIES_FIELD = "rif"  # of a load report: queries in flight at the engine (the platform's word)
PROBES_PER_REQUEST = 2.0  # probes that a request taken pays for
MAX_SAVED_PROBES = 8.0  # probes saved up at most
MAX_AGE_OBJECTIVES = 0.25  # of the shortest objective: how long a report holds
MIN_LIMIT_SHARE = 0.6  # of the limit on reported load: gateways draw theirs between this and all of it
INITIAL_THREADS_PER_QUERY = 1.5  # mean threads of a query before the first answers


class LoadReports:
    """When to probe, and how reports are read."""

    def __init__(self, settings: Settings) -> None:
        self.enabled = settings.health_checks and QUERIES_FIELD in settings.load_report_fields
        self.max_age_ms = MAX_AGE_OBJECTIVES * min(
            spec.latency_objective_ms for spec in settings.classes.values()
        )
        self.wait_ms = SCAN_TICKS * settings.tick_ms  # for the answer to a probe
        self.last_report_at = 0.0
        self._classes = settings.classes
        self._saved_probes = MAX_SAVED_PROBES
        self._threads_per_query = INITIAL_THREADS_PER_QUERY

    def add_request(self, request: Request, rng: random.Random) -> None:
        """Earn the probes of a request, and draw where in the order of engines it starts."""
        if self.enabled:
            request.order_offset = rng.random()
            self._saved_probes = min(MAX_SAVED_PROBES, self._saved_probes + PROBES_PER_REQUEST)

    def probe(self, engines: list[Engine], now: float) -> list[Action]:
        """Probe those with no probe unanswered, as far as probes are saved up."""
        actions: list[Action] = []
        for engine in engines:
            if self._saved_probes >= 1 and engine.probe_sent_at == LONG_AGO:
                self._saved_probes -= 1
                engine.probe_sent_at = now
                actions.append(CheckHealth(engine.endpoint.engine_id))
        return actions

    def record(
        self, engine: Engine, result: HealthCheckResult, factor: float, now: float, rng: random.Random
    ) -> None:
        """Take the answer to a probe; `factor` is that of the concurrency limit.

        With one limit for all, every gateway that waits would send at once.
        """
        engine.probe_sent_at = LONG_AGO
        if result.outcome is Outcome.SUCCESS and QUERIES_FIELD in result.load_report:
            engine.reported_load = result.load_report[QUERIES_FIELD] * self._threads_per_query / engine.cores
            engine.reported_at = self.last_report_at = now
            limit = THREADS_PER_CORE * max(CLOSE_FACTOR, min(OPEN_FACTOR, factor))
            engine.load_limit = limit * rng.uniform(MIN_LIMIT_SHARE, 1.0)

    def is_current(self, engine: Engine, now: float) -> bool:
        """Whether its last report still holds."""
        return now - engine.reported_at < self.max_age_ms

    def may_answer(self, engine: Engine, now: float) -> bool:
        """Whether a probe is worth while: one that answers none, while others do, is passed over."""
        overdue = LONG_AGO < engine.probe_sent_at < now - self.wait_ms
        return not overdue or now - self.last_report_at > CONTROL_PERIOD_MS

    def are_answered(self, now: float) -> bool:
        """Whether any probe has been answered within a control period."""
        return now - self.last_report_at < CONTROL_PERIOD_MS

    def update_threads_per_query(self, statistics: dict[str, ClassStatistics]) -> None:
        """Reports count queries: their mean threads are taken from what this gateway sends."""
        weights = [max(1, known.answers) * known.run_ms for known in statistics.values()]
        threads = [self._classes[name].threads for name in statistics]
        weighed = sum(weight * count for weight, count in zip(weights, threads, strict=True))
        self._threads_per_query = weighed / sum(weights)
