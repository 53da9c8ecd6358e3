"""Memory grants and priorities: the terms on which an engine runs a query.

The grant is a high quantile of the memory that its class needed over estimated, so that the rest spill a
little; more would starve others. Short queries come first, since they gain most from a larger share of the
cores, and what locks tables is released early. From the protocol's terms of a send. No state; called by the
gateway for each send.
"""

from __future__ import annotations

from decklb.interface import Settings
from decklb.policy.class_statistics import MEMORY_ESTIMATE_EXPONENT, TRUSTED_ANSWERS, ClassStatistics
from decklb.policy.records import Engine, Request

GRANT_QUANTILE = 0.96  # of the memory needed over estimated
OUTLIER_SIZE = 4.0  # times the usual size of its class at which a query runs at the lowest priority
LOW_PRIORITY = 0
NORMAL_PRIORITY = 1
HIGH_PRIORITY = 2


def memory_grant_mb(request: Request, engine: Engine, settings: Settings) -> float:
    """The memory to grant in MB; 0 leaves it to the engine."""
    ratios = request.statistics.memory_ratios
    if not settings.memory_grants or len(ratios) < TRUSTED_ANSWERS:
        return 0.0
    ratio = ratios[int(GRANT_QUANTILE * len(ratios))]
    grant_mb: float = ratio * (request.arrival.estimated_memory_mb or 1.0) ** MEMORY_ESTIMATE_EXPONENT
    return min(
        grant_mb,
        settings.largest_grant_fraction * settings.memory_mb_by_kind.get(engine.endpoint.kind, grant_mb),
    )


def priority(request: Request, statistics: dict[str, ClassStatistics], settings: Settings) -> int:
    """The priority to run at; normal where engines heed none."""
    if not settings.priorities:
        return NORMAL_PRIORITY
    if request.relative_size() > OUTLIER_SIZE:
        return LOW_PRIORITY
    shortest = min(known.run_ms * settings.classes[name].threads for name, known in statistics.items())
    is_short = request.statistics.run_ms * request.spec.threads < 2 * shortest
    return HIGH_PRIORITY if is_short or request.spec.locks_tables else NORMAL_PRIORITY
