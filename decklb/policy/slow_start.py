"""Slow start: limits the work sent to an engine that has just started.

The settings bound the work that all gateways together may send to a cold engine within one window; the bound
rises as the engine warms up. Each gateway uses an even fraction of it, without messages to the others. State:
the recent sends to each engine. Called by the router for cold engines.
"""

from __future__ import annotations

from decklb.interface import Settings
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.records import Engine

BUDGET_FRACTION = 0.55  # fraction of its budget that a gateway uses; the rest covers random variation
TURN_BUDGET_FRACTION = 0.5  # fraction of the budget given out in turns: two may overlap in one window


class SlowStart:
    """The work budget of cold engines."""

    def __init__(self, settings: Settings, statistics: dict[str, ClassStatistics]) -> None:
        self._settings, self._statistics = settings, statistics

    def record_send(self, engine: Engine, work_ms: float, now: float) -> None:
        """Record work that was sent, and remove records older than the window."""
        engine.recent_work.append((now, work_ms))
        self._work_sent_since(
            engine, now - (self._settings.slow_start_budget_window_ms + self._settings.tick_ms)
        )

    def is_exhausted(self, engine: Engine, work_ms: float, now: float) -> bool:
        """Return whether this work exceeds what a cold engine may get from this gateway now."""
        settings, age = self._settings, now - engine.started_at
        if age >= settings.slow_start_window_ms or settings.slow_start_budget_window_ms <= 0:
            return False
        if not engine.preferred:  # the budget is divided among the gateways that prefer it
            return True
        capacity_fraction = (
            settings.slow_start_min_fraction
            + (1 - settings.slow_start_min_fraction) * max(0.0, age) / settings.slow_start_window_ms
        )
        budget = (
            BUDGET_FRACTION
            * settings.slow_start_overload_factor
            * capacity_fraction
            * engine.cores
            * settings.slow_start_budget_window_ms
        )
        # Heavy classes have separate turns: their work would not fit into any gateway's fraction.
        work_by_class = [statistics.work_ms for statistics in self._statistics.values()]
        heavy = work_ms > 2 * min(work_by_class)
        query_work_ms = max(work_by_class) if heavy else min(work_by_class)
        if budget < 2 * query_work_ms * engine.subset_size:
            # If a gateway's fraction is below two queries, gateways take turns, in an order that each
            # computes by itself. Half of the budget is divided among the few whose turn it is, so that no
            # window exceeds the whole budget even if two turns overlap in it.
            gateways_per_turn = int(budget / (4 * query_work_ms)) or 1  # gateways whose turn it is
            budget *= TURN_BUDGET_FRACTION * engine.subset_size / gateways_per_turn
            turn = (
                engine.subset_rank
                + engine.subset_size // 2 * heavy
                + gateways_per_turn * int(age / settings.slow_start_budget_window_ms)
            )
            if turn % engine.subset_size >= gateways_per_turn:
                return True
        sent_ms = self._work_sent_since(engine, now - settings.slow_start_budget_window_ms - settings.tick_ms)
        return sent_ms + work_ms > budget / engine.subset_size

    def _work_sent_since(self, engine: Engine, since: float) -> float:
        """Return the work in ms sent at or after `since`; older records are removed."""
        while engine.recent_work and engine.recent_work[0][0] < since:
            engine.recent_work.popleft()
        return sum(work_ms for _, work_ms in engine.recent_work)
