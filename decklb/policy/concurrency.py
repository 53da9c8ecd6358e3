"""Concurrency limits: how many own threads may be in flight, at one engine and in all.

The design page bounds an engine to two threads a core times this gateway's fraction of all gateways, at
least one query, since answers tell of a jam too late. The limit adapts as TCP's window does, by factors: it
opens while answers are quick and closes under pressure. Asked by the gateway before each send and by the
router for each engine.
"""

from __future__ import annotations

from collections.abc import Iterable

from decklb.interface import Settings
from decklb.policy.class_statistics import MAX_ANSWER_SLOWDOWN
from decklb.policy.constants import EWMA_WEIGHT, PEER_WEIGHT
from decklb.policy.lost_attempts import SURELY_LOST_RUNS
from decklb.policy.records import Attempt, Engine, Request

THREADS_PER_CORE = 2.0  # threads a core under pressure (design page); beyond it engines lose work
EXTRA_QUERIES = 1.0  # further queries of the widest class that may be in flight while answers are quick
PRESSURE_SLOWDOWN = 1.6  # times the usual that answers take, from which on there is pressure
CLOSE_FACTOR = 0.7  # step of the limit each second under pressure
OPEN_FACTOR = 1.2  # step of the limit each second without
INITIAL_FACTOR = 4.0  # of the limit, until the first endpoint list bounds it
MIN_FACTOR = 0.35  # of the limit
LONGER_RUN = 2.0  # times as long as a query, from which on what is in flight does not hold it back
OWN_WEIGHT = 4 * EWMA_WEIGHT  # weight of one own answer in the slowdown at large


class ConcurrencyLimit:
    """The limit, what it follows, and the own threads in flight that it is held against."""

    def __init__(self, settings: Settings, polls_load: bool, report_max_age_ms: float) -> None:
        self._settings = settings
        self._polls_load = polls_load
        self._report_max_age_ms = report_max_age_ms
        self.traffic_fraction = 1.0 / settings.gateway_count  # this gateway's, of all traffic
        self.thread_limit = 1.0  # all own threads, before the factor
        self.factor = INITIAL_FACTOR
        self.slowdown = 1.0  # times the usual that answers took of late, own and peers'
        self._threads: dict[tuple[str, float], tuple[float, int]] = {}  # class, size step: (run ms, threads)

    def observe_answer(self, slowdown: float) -> None:
        """Follow the slowdown of an own answer."""
        self.slowdown += OWN_WEIGHT * (slowdown - self.slowdown)

    def observe_peer(self, slowdown: float) -> None:
        """Follow the slowdown that a peer reports."""
        self.slowdown += PEER_WEIGHT * (min(slowdown, MAX_ANSWER_SLOWDOWN) - self.slowdown)

    def adapt(self) -> None:
        """Open or close by one step."""
        self.factor *= OPEN_FACTOR if self.slowdown < PRESSURE_SLOWDOWN else CLOSE_FACTOR

    def resize(self, traffic_fraction: float, engines: list[Engine], now: float) -> None:
        """Set the limit from this gateway's fraction of the traffic and the engines in use."""
        self.traffic_fraction = traffic_fraction
        cores = sum(engine.cores for engine in engines if now >= engine.ejected_until)
        self.thread_limit = THREADS_PER_CORE * traffic_fraction * cores
        widest = max(spec.threads for spec in self._settings.classes.values())
        most = 1 + EXTRA_QUERIES * widest / max(1.0, self.thread_limit)
        self.factor = max(MIN_FACTOR, 1 / most, min(most, self.factor))

    def count_threads(self, engines: Iterable[Engine], now: float) -> None:
        """Count own threads by class and size, once a step: thousands may be in flight."""
        self._threads.clear()
        for engine in engines:
            for key, group in engine.in_flight.items():
                run_ms = group.statistics.run_ms * group.size_bucket
                _, threads = self._threads.get(key, (run_ms, 0))
                # What was surely lost must not fill the limit.
                self._threads[key] = run_ms, threads + group.threads_since(now - SURELY_LOST_RUNS * run_ms)

    def add_attempt(self, attempt: Attempt) -> None:
        """Count an attempt sent since."""
        spec = attempt.request.spec
        key = spec.name, attempt.size_bucket
        run_ms, threads = self._threads.get(key, (attempt.request.expected_run_ms(), 0))
        self._threads[key] = run_ms, threads + spec.threads

    def admits(self, request: Request) -> bool:
        """Whether one more fits the limit on all own threads.

        Much longer work does not count, else short work waits seconds behind it where the limit is small.
        Where engines report their load these reports limit, each for its engine.
        """
        if self._polls_load:
            return True
        limit, longest = max(1.0, self.thread_limit * self.factor), LONGER_RUN * request.expected_run_ms()
        return limit > sum(threads for run_ms, threads in self._threads.values() if run_ms < longest)

    def is_saturated(self, engine: Engine, now: float) -> bool:
        """Whether an engine may get no more, by its load report if it is recent, else by own threads."""
        if now - engine.reported_at < self._report_max_age_ms:
            return engine.reported_load >= engine.load_limit
        limit = THREADS_PER_CORE * engine.cores * self.traffic_fraction * self.factor
        return engine.threads >= max(1.0, limit)

    def all_saturated(self, engines: list[Engine], now: float) -> bool:
        """Whether no engine may get more, so that routing is in vain; never said where load is polled."""
        if self._polls_load:
            return False
        for engine in engines:  # noqa: SIM110 - a generator would cost a frame each
            if not self.is_saturated(engine, now):
                return False
        return True
