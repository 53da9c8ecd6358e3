"""Adaptive concurrency limits: how many threads this gateway may have in flight, per engine and in total.

By the design (docs/design.md) an engine gets at most two threads per core times this gateway's fraction of
all traffic, but at least one query; answers would show an overload too late. A factor adapts the limit as
TCP adapts its congestion window: it grows while answers are fast and shrinks while they are slow. The gateway
checks the total limit before each send, the router that of each engine.
"""

from __future__ import annotations

from collections.abc import Iterable

from decklb.interface import Settings
from decklb.policy.class_statistics import MAX_ANSWER_SLOWDOWN
from decklb.policy.constants import EWMA_WEIGHT, PEER_WEIGHT
from decklb.policy.lost_attempts import CERTAINLY_LOST_RUNS
from decklb.policy.records import Attempt, Engine, Request

THREADS_PER_CORE = 2.0  # threads per core under load (docs/design.md); beyond it engines lose throughput
# While answers are fast, this many queries of the class with the most threads may exceed the limit.
EXTRA_QUERIES = 1.0
PRESSURE_SLOWDOWN = 1.6  # mean slowdown of answers from which the limit shrinks
DECREASE_FACTOR = 0.7  # multiplies the limit each second while answers are slow
INCREASE_FACTOR = 1.2  # multiplies the limit each second otherwise
INITIAL_FACTOR = 4.0  # factor of the limit until the first endpoint list bounds it
MIN_FACTOR = 0.35  # lower bound of the factor
LONG_RUN_RATIO = 2.0  # attempts expected to run this many times as long as a request do not delay it
OWN_ANSWER_WEIGHT = 4 * EWMA_WEIGHT  # weight of one own answer in the mean slowdown


class ConcurrencyLimit:
    """The concurrency limit, and the own threads in flight that count against it.

    Attributes:
        traffic_fraction: This gateway's fraction of all traffic.
        thread_limit: Limit on all own threads in flight, before the factor.
        factor: Adaptive factor of the limits.
        slowdown: Moving average of the slowdown of answers, own and reported by peers.
    """

    def __init__(self, settings: Settings, uses_reports: bool, report_max_age_ms: float) -> None:
        self._settings = settings
        self._uses_reports = uses_reports
        self._report_max_age_ms = report_max_age_ms
        self.traffic_fraction = 1.0 / settings.gateway_count
        self.thread_limit = 1.0
        self.factor = INITIAL_FACTOR
        self.slowdown = 1.0
        # By class and size bucket: expected run time in ms and threads
        self._threads: dict[tuple[str, float], tuple[float, int]] = {}

    def observe_answer(self, slowdown: float) -> None:
        """Update the mean slowdown with an own answer."""
        self.slowdown += OWN_ANSWER_WEIGHT * (slowdown - self.slowdown)

    def observe_peer(self, slowdown: float) -> None:
        """Update the mean slowdown with that reported by a peer."""
        self.slowdown += PEER_WEIGHT * (min(slowdown, MAX_ANSWER_SLOWDOWN) - self.slowdown)

    def adapt(self) -> None:
        """Increase or decrease the factor by one step."""
        self.factor *= INCREASE_FACTOR if self.slowdown < PRESSURE_SLOWDOWN else DECREASE_FACTOR

    def resize(self, traffic_fraction: float, engines: list[Engine], now: float) -> None:
        """Recompute the limit for this gateway's fraction of the traffic and the engines in use."""
        self.traffic_fraction = traffic_fraction
        cores = sum(engine.cores for engine in engines if now >= engine.ejected_until)
        self.thread_limit = THREADS_PER_CORE * traffic_fraction * cores
        max_threads = max(spec.threads for spec in self._settings.classes.values())
        max_factor = 1 + EXTRA_QUERIES * max_threads / max(1.0, self.thread_limit)
        self.factor = max(MIN_FACTOR, 1 / max_factor, min(max_factor, self.factor))

    def count_threads(self, engines: Iterable[Engine], now: float) -> None:
        """Count own threads in flight by class and size bucket.

        Called once per step of the gateway, since thousands of attempts may be in flight.
        """
        self._threads.clear()
        for engine in engines:
            for key, group in engine.in_flight.items():
                run_ms = group.statistics.run_ms * group.size_bucket
                _, threads = self._threads.get(key, (run_ms, 0))
                # Attempts that are certainly lost must not use up the limit.
                self._threads[key] = run_ms, threads + group.threads_since(now - CERTAINLY_LOST_RUNS * run_ms)

    def add_attempt(self, attempt: Attempt) -> None:
        """Count an attempt that was sent after `count_threads`."""
        spec = attempt.request.spec
        key = spec.name, attempt.size_bucket
        run_ms, threads = self._threads.get(key, (attempt.request.expected_run_ms(), 0))
        self._threads[key] = run_ms, threads + spec.threads

    def admits(self, request: Request) -> bool:
        """Return whether the limit on all own threads admits one more request.

        Attempts that run much longer than the request do not count, otherwise short requests would wait
        seconds behind them where the limit is small. If engines report their load, only the limits of single
        engines apply.
        """
        if self._uses_reports:
            return True
        limit, bound_ms = (
            max(1.0, self.thread_limit * self.factor),
            LONG_RUN_RATIO * request.expected_run_ms(),
        )
        return limit > sum(threads for run_ms, threads in self._threads.values() if run_ms < bound_ms)

    def is_saturated(self, engine: Engine, now: float) -> bool:
        """Return whether an engine may get no more requests.

        Decided by its load report if that is recent, otherwise by own threads in flight.
        """
        if now - engine.reported_at < self._report_max_age_ms:
            return engine.reported_load >= engine.load_limit
        limit = THREADS_PER_CORE * engine.cores * self.traffic_fraction * self.factor
        return engine.threads >= max(1.0, limit)

    def all_saturated(self, engines: list[Engine], now: float) -> bool:
        """Return whether no engine may get more requests, so that routing need not be tried.

        Always False if engines report their load.
        """
        if self._uses_reports:
            return False
        for engine in engines:  # noqa: SIM110 - a generator expression would add a frame per engine
            if not self.is_saturated(engine, now):
                return False
        return True
