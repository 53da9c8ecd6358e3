"""Memory grants and priorities: the resources with which an engine executes a query.

The grant is a high quantile of the memory that queries of the class needed over the estimate, so that few of
them spill to disk; larger grants would take memory from others. Short queries get a high priority, since they
gain most from a larger share of the cores, and so do queries that lock tables, to release the locks early.
Both are sent to the engine with the attempt. Stateless; called by the gateway for each send.
"""

from __future__ import annotations

from decklb.interface import Settings
from decklb.policy.class_statistics import MEMORY_ESTIMATE_EXPONENT, MIN_ANSWERS, ClassStatistics
from decklb.policy.records import Engine, Request

GRANT_QUANTILE = 0.96  # quantile of the memory ratios that a grant covers
LOW_PRIORITY_SIZE = 4.0  # relative size above which a query gets the lowest priority
LOW_PRIORITY = 0
NORMAL_PRIORITY = 1
HIGH_PRIORITY = 2


def memory_grant_mb(request: Request, engine: Engine, settings: Settings) -> float:
    """Return the memory to grant in MB; 0: the engine decides."""
    ratios = request.statistics.memory_ratios
    if not settings.memory_grants or len(ratios) < MIN_ANSWERS:
        return 0.0
    ratio = ratios[int(GRANT_QUANTILE * len(ratios))]
    grant_mb: float = ratio * (request.arrival.estimated_memory_mb or 1.0) ** MEMORY_ESTIMATE_EXPONENT
    return min(
        grant_mb,
        settings.largest_grant_fraction * settings.memory_mb_by_kind.get(engine.endpoint.kind, grant_mb),
    )


def priority(request: Request, statistics: dict[str, ClassStatistics], settings: Settings) -> int:
    """Return the priority for a request; normal if engines do not apply priorities."""
    if not settings.priorities:
        return NORMAL_PRIORITY
    if request.relative_size() > LOW_PRIORITY_SIZE:
        return LOW_PRIORITY
    shortest = min(stats.run_ms * settings.classes[name].threads for name, stats in statistics.items())
    is_short = request.statistics.run_ms * request.spec.threads < 2 * shortest
    return HIGH_PRIORITY if is_short or request.spec.locks_tables else NORMAL_PRIORITY
