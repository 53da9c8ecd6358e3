"""Slow start: how much work an engine that has just started may get.

The settings bound what all gateways together may send a cold engine within one span, rising as it warms
(the rule on cold engines). Each gateway spends an even fraction of it and needs no word of the others.
State: the recent sends of each engine. Asked by the router for engines that are cold.
"""

from __future__ import annotations

from decklb.interface import Settings
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.records import Engine

USED_BUDGET = 0.55  # share of its fraction of the budget that a gateway uses; the rest is for chance
SPAN_BUDGET = 0.5  # share of the budget given out where gateways take turns: two turns may meet in one span


class SlowStart:
    """The budget of cold engines."""

    def __init__(self, settings: Settings, statistics: dict[str, ClassStatistics]) -> None:
        self._settings, self._statistics = settings, statistics

    def record_send(self, engine: Engine, work_ms: float, now: float) -> None:
        """Book work sent; what is older than the span is forgotten."""
        engine.recent_work.append((now, work_ms))
        self._work_sent_since(
            engine, now - (self._settings.slow_start_budget_window_ms + self._settings.tick_ms)
        )

    def is_exhausted(self, engine: Engine, work_ms: float, now: float) -> bool:
        """Whether this work is more than a cold engine may get from this gateway now."""
        settings, age = self._settings, now - engine.started_at
        if age >= settings.slow_start_window_ms or settings.slow_start_budget_window_ms <= 0:
            return False
        if not engine.preferred:  # the budget is divided among those that prefer it
            return True
        share = (
            settings.slow_start_min_fraction
            + (1 - settings.slow_start_min_fraction) * max(0.0, age) / settings.slow_start_window_ms
        )
        budget = (
            USED_BUDGET
            * settings.slow_start_overload_factor
            * share
            * engine.cores
            * settings.slow_start_budget_window_ms
        )
        # Heavy classes have turns of their own: else their work fits no fraction at all.
        works = [statistics.work_ms for statistics in self._statistics.values()]
        heavy = work_ms > 2 * min(works)
        query_ms = max(works) if heavy else min(works)
        if budget < 2 * query_ms * engine.subset_size:
            # Where the fraction is below two queries gateways take turns, in an order that each computes
            # alone: half the budget goes whole to a few for each span, so no window sees more than all of it.
            at_once = int(budget / (4 * query_ms)) or 1  # gateways whose turn it is in a span
            budget *= SPAN_BUDGET * engine.subset_size / at_once
            turn = (
                engine.subset_rank
                + engine.subset_size // 2 * heavy
                + at_once * int(age / settings.slow_start_budget_window_ms)
            )
            if turn % engine.subset_size >= at_once:
                return True
        sent_ms = self._work_sent_since(engine, now - settings.slow_start_budget_window_ms - settings.tick_ms)
        return sent_ms + work_ms > budget / engine.subset_size

    def _work_sent_since(self, engine: Engine, start: float) -> float:
        """Work in ms sent from `start` on; what is older is forgotten."""
        while engine.recent_work and engine.recent_work[0][0] < start:
            engine.recent_work.popleft()
        return sum(work_ms for _, work_ms in engine.recent_work)
