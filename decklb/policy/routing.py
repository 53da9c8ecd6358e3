"""Routing by two choices: selects the engine for a request.

The power of two choices (Mitzenmacher): of the first two usable engines in the hash order of the request's
table group the less loaded one is chosen (docs/design.md). If there are many gateways, each has few threads
at an engine, and more than two engines are compared. Own threads in flight measure this gateway's fraction of
an engine's load; the slowness of its answers measures that of the other gateways. If engines report their
load, two with a recent report are compared, and a request waits for the answer to its probes. Stateless;
called by the gateway for requests that may be sent.
"""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from decklb.interface import Action, Effect, Settings
from decklb.policy import outlier_detection
from decklb.policy.concurrency import ConcurrencyLimit
from decklb.policy.engines import EngineRegistry
from decklb.policy.load_reports import LoadReports
from decklb.policy.records import Attempt, Engine, Request
from decklb.policy.slow_start import SlowStart

MIN_CHOICES = 2  # smallest number of engines that are compared
# As many engines are compared as together may have this many threads of this gateway in flight
MIN_COMPARED_THREADS = 8.0
# If load is polled, the search starts at a random one of this many engines at the head of the order
ROTATED_HEAD = 6


class Candidates(NamedTuple):
    """Usable engines if load is polled."""

    reported: list[Engine]  # engines with a recent report, at most as many as are compared
    unreported: list[Engine]  # engines to be probed
    last_resort: list[Engine]  # engines for use only if there is no other


class Router:
    """Selects engines by the state of the other mechanisms."""

    def __init__(
        self,
        settings: Settings,
        engines: EngineRegistry,
        limit: ConcurrencyLimit,
        slow_start: SlowStart,
        reports: LoadReports,
        rng: random.Random,
    ) -> None:
        self._settings, self._engines, self._limit = settings, engines, limit
        self._slow_start, self._reports, self._rng = slow_start, reports, rng

    def choose(self, request: Request, now: float, actions: list[Action]) -> Engine | None:
        """Return the engine for a request's next attempt, None if there is none now.

        Probes are added to `actions`.
        """
        order = self._engines.order(request.arrival.table_group)
        if self._reports.enabled:
            return self._choose_by_reports(request, order, now, actions)
        compared_count = max(
            MIN_CHOICES, math.ceil(MIN_COMPARED_THREADS * len(order) / max(1.0, self._limit.thread_limit))
        )
        preferred, last_resort = list[Engine](), list[Engine]()
        executed = request.first_possibly_executed()
        for engine in order:
            if not self._is_usable(request, engine, executed, now):
                continue
            if self._is_last_resort(request, engine):
                last_resort.append(engine)
                continue
            preferred.append(engine)
            if len(preferred) >= compared_count:
                break
        return min(
            self._prefer_cold(preferred, now) or last_resort[:compared_count],
            default=None,
            key=lambda engine: (
                engine.threads / engine.cores + (1 - self._limit.traffic_fraction) * engine.slowdown,
                round(engine.slowdown),
                engine.endpoint.zone != self._settings.zone,
                self._rng.random(),
            ),
        )

    def _choose_by_reports(
        self, request: Request, order: list[Engine], now: float, actions: list[Action]
    ) -> Engine | None:
        """Like `choose`, by load reports; None while the answer to a probe is awaited."""
        reports = self._reports
        candidates = self._sort_by_reports(request, order, now)
        reported, unreported = candidates.reported, candidates.unreported
        if len(reported) < MIN_CHOICES and unreported:
            request.awaits_reports_since = request.awaits_reports_since or now
            actions += reports.probe(unreported[: MIN_CHOICES - len(reported)], now)
            waited_ms = now - request.awaits_reports_since
            if waited_ms < reports.probe_timeout_ms or not reported and reports.has_recent_answer(now):
                return None
            reported = reported or unreported[:MIN_CHOICES]  # no engine answers probes any more
        return min(
            reported or candidates.last_resort[:MIN_CHOICES],
            default=None,
            key=lambda engine: (
                engine.reported_load * engine.slowdown,
                round(engine.slowdown),
                engine.endpoint.zone != self._settings.zone,
                self._rng.random(),
            ),
        )

    def _sort_by_reports(self, request: Request, order: list[Engine], now: float) -> Candidates:
        """Return the usable engines.

        The search starts at a random engine in the head of the order; in its tail engines with recent reports
        come first.
        """
        reports = self._reports
        offset, oldest = int(request.order_offset * ROTATED_HEAD), now - reports.max_age_ms
        tail = sorted(order[ROTATED_HEAD:], key=lambda engine: engine.reported_at < oldest)
        candidates = Candidates([], [], [])
        executed = request.first_possibly_executed()
        for i, engine in enumerate(order[offset:ROTATED_HEAD] + order[:offset] + tail):
            if not self._is_usable(request, engine, executed, now):
                continue
            if self._is_last_resort(request, engine):
                candidates.last_resort.append(engine)
            elif reports.is_current(engine, now):
                candidates.reported.append(engine)
                if len(candidates.reported) >= MIN_CHOICES:
                    break
            elif i >= ROTATED_HEAD and len(candidates.unreported) >= MIN_CHOICES:
                break
            elif reports.should_probe(engine, now):
                candidates.unreported.append(engine)
        return candidates

    def _is_usable(self, request: Request, engine: Engine, executed: Attempt | None, now: float) -> bool:
        """Return whether the engine is in use, has capacity and may execute the request."""
        if now < engine.ejected_until or self._limit.is_saturated(engine, now):
            return False
        if not is_placeable(request, engine, executed):
            return False
        if engine.on_trial and outlier_detection.is_trial_unavailable(engine, request):
            return False
        is_cold = now - engine.started_at < self._settings.slow_start_window_ms
        return not (is_cold and self._slow_start.is_exhausted(engine, request.statistics.work_ms, now))

    def _is_last_resort(self, request: Request, engine: Engine) -> bool:
        """Return whether the engine is to be used only if there is no other.

        That is the engine of the previous attempt; for data loads and queries that wait for them, an engine
        where a load of this gateway locks the table group; and any engine that only other gateways prefer or
        that is outside the preferred zone of the request.
        """
        if request.attempts and request.attempts[-1].engine is engine:
            return True
        spec, arrival = request.spec, request.arrival
        if (spec.waits_for_loads or spec.locks_tables) and engine.is_loading_tables(arrival.table_group):
            return True
        return not engine.preferred or arrival.preferred_zone not in ("", engine.endpoint.zone)

    def _prefer_cold(self, engines: list[Engine], now: float) -> list[Engine]:
        """Return only the cold engines, if there are any and more than two are compared.

        A cold engine is usable only when it is this gateway's turn, so the turn is used first.
        """
        if len(engines) <= MIN_CHOICES:
            return engines
        return [
            engine for engine in engines if now - engine.started_at < self._settings.slow_start_window_ms
        ] or engines


def is_placeable(request: Request, engine: Engine, executed: Attempt | None) -> bool:
    """Return whether the placement rules allow an engine.

    A keyed retry stays in the zone or cell that shares its deduplication tokens.
    """
    spec, endpoint = request.spec, engine.endpoint
    if request.allowed_zones is not None and endpoint.zone not in request.allowed_zones:
        return False
    if spec.allowed_kinds is not None and endpoint.kind not in spec.allowed_kinds:
        return False
    if executed is None or spec.effect is not Effect.KEYED or spec.deduplication_scope == "all":
        return True
    first_endpoint = executed.engine.endpoint
    return endpoint.zone == first_endpoint.zone and (
        spec.deduplication_scope == "zone" or endpoint.cell == first_endpoint.cell
    )
