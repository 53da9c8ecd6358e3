"""Two-choice routing: which engine a request goes to.

The power of two choices (Mitzenmacher): of the first two engines in the hash order of the request's group
of tables, the less loaded one, moving on past those that can't take it (design page). Where gateways are
many each engine carries few own threads, and more than two are compared. Own threads tell of this gateway's
fraction of an engine's load, the slowness of its answers of the others'. Where engines report their load,
two with a recent report are compared, and a request waits for the answer to its probes. No state of its
own; called by the gateway for requests that may be sent.
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

CHOICES = 2  # engines compared, at least
THREADS_COMPARED = 8.0  # own threads that the engines compared may bear
REPORTED_HEAD = 6  # head of the order: engines drawn among where load is polled


class Candidates(NamedTuple):
    """Usable engines where load is polled."""

    reported: list[Engine]  # with a recent report, as many as are compared
    unreported: list[Engine]  # to be probed
    last_resort: list[Engine]  # for when no other is free


class Router:
    """Chooses engines, from what the mechanisms that it is given know."""

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
        """The engine for a request's next attempt, None while there is none; probes go into the actions."""
        order = self._engines.order(request.arrival.table_group)
        if self._reports.enabled:
            return self._choose_by_reports(request, order, now, actions)
        wanted = max(CHOICES, math.ceil(THREADS_COMPARED * len(order) / max(1.0, self._limit.thread_limit)))
        preferred, last_resort = list[Engine](), list[Engine]()
        executed = request.first_possibly_executed()
        for engine in order:
            if not self._is_usable(request, engine, executed, now):
                continue
            if self._is_last_resort(request, engine):
                last_resort.append(engine)
                continue
            preferred.append(engine)
            if len(preferred) >= wanted:
                break
        return min(
            self._prefer_cold(preferred, now) or last_resort[:wanted],
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
        """As `choose`, among engines with a recent report; None while the answer to a probe is awaited."""
        reports = self._reports
        candidates = self._sort_by_reports(request, order, now)
        reported, unreported = candidates.reported, candidates.unreported
        if len(reported) < CHOICES and unreported:
            request.awaits_reports_since = request.awaits_reports_since or now
            actions += reports.probe(unreported[: CHOICES - len(reported)], now)
            waited_ms = now - request.awaits_reports_since
            if waited_ms < reports.wait_ms or not reported and reports.are_answered(now):
                return None
            reported = reported or unreported[:CHOICES]  # no probe is answered any more
        return min(
            reported or candidates.last_resort[:CHOICES],
            default=None,
            key=lambda engine: (
                engine.reported_load * engine.slowdown,
                round(engine.slowdown),
                engine.endpoint.zone != self._settings.zone,
                self._rng.random(),
            ),
        )

    def _sort_by_reports(self, request: Request, order: list[Engine], now: float) -> Candidates:
        """The usable engines; their order starts at random in its head, recent reports lead the tail."""
        reports = self._reports
        first, oldest = int(request.order_offset * REPORTED_HEAD), now - reports.max_age_ms
        tail = sorted(order[REPORTED_HEAD:], key=lambda engine: engine.reported_at < oldest)
        candidates = Candidates([], [], [])
        executed = request.first_possibly_executed()
        for i, engine in enumerate(order[first:REPORTED_HEAD] + order[:first] + tail):
            if not self._is_usable(request, engine, executed, now):
                continue
            if self._is_last_resort(request, engine):
                candidates.last_resort.append(engine)
            elif reports.is_current(engine, now):
                candidates.reported.append(engine)
                if len(candidates.reported) >= CHOICES:
                    break
            elif i >= REPORTED_HEAD and len(candidates.unreported) >= CHOICES:
                break
            elif reports.may_answer(engine, now):
                candidates.unreported.append(engine)
        return candidates

    def _is_usable(self, request: Request, engine: Engine, executed: Attempt | None, now: float) -> bool:
        """Whether the engine is in use, has capacity, and may run the request."""
        if now < engine.ejected_until or self._limit.is_saturated(engine, now):
            return False
        if not is_placeable(request, engine, executed):
            return False
        if engine.on_trial and outlier_detection.refuses_trial(engine, request):
            return False
        is_cold = now - engine.started_at < self._settings.slow_start_window_ms
        return not (is_cold and self._slow_start.is_exhausted(engine, request.statistics.work_ms, now))

    def _is_last_resort(self, request: Request, engine: Engine) -> bool:
        """Whether the engine is for when no other is free.

        A retry goes elsewhere, and readers go round an own load on their group, if they can; engines that
        other gateways prefer, or out of the request's zone, come last too.
        """
        if request.attempts and request.attempts[-1].engine is engine:
            return True
        spec, arrival = request.spec, request.arrival
        if (spec.waits_for_loads or spec.locks_tables) and engine.is_loading_tables(arrival.table_group):
            return True
        return not engine.preferred or arrival.preferred_zone not in ("", engine.endpoint.zone)

    def _prefer_cold(self, engines: list[Engine], now: float) -> list[Engine]:
        """A turn at a cold engine is used first where several are compared."""
        if len(engines) <= CHOICES:
            return engines
        return [
            engine for engine in engines if now - engine.started_at < self._settings.slow_start_window_ms
        ] or engines


def is_placeable(request: Request, engine: Engine, executed: Attempt | None) -> bool:
    """Whether placement allows an engine; a keyed retry stays in the group that drops its repeats."""
    spec, entry = request.spec, engine.endpoint
    if request.allowed_zones is not None and entry.zone not in request.allowed_zones:
        return False
    if spec.allowed_kinds is not None and entry.kind not in spec.allowed_kinds:
        return False
    if executed is None or spec.effect is not Effect.KEYED or spec.deduplication_scope == "all":
        return True
    home = executed.engine.endpoint
    return entry.zone == home.zone and (spec.deduplication_scope == "zone" or entry.cell == home.cell)
