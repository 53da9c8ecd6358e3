"""Deterministic subsetting: which gateways prefer an engine.

As in the SRE book ('Load Balancing in the Datacenter'). If there are many gateways and all of them used all
engines, each would hold a connection to every engine, one query of each gateway would exceed an engine's
limit, and none would get enough answers to learn much about any engine. Each gateway computes its rank by
itself, and no two have the same rank. Called at each update of the endpoint list; state: three fields of each
engine.
"""

from __future__ import annotations

import math

from decklb.interface import Settings
from decklb.policy.concurrency import THREADS_PER_CORE
from decklb.policy.records import Engine

MIN_SUBSET_SIZE = 4  # smallest number of engines that a gateway prefers


def assign_subsets(engines: list[Engine], settings: Settings, uses_reports: bool) -> None:
    """Set the number of gateways that prefer each engine, and whether this gateway does.

    An engine is preferred by as many gateways as its limit has threads.
    """
    gateway_count = settings.gateway_count
    min_size = gateway_count if uses_reports else gateway_count * MIN_SUBSET_SIZE / max(1, len(engines))
    for engine in engines:
        engine.subset_size = min(gateway_count, math.ceil(max(THREADS_PER_CORE * engine.cores, min_size)))
        engine.subset_rank = subset_rank(engine, settings.gateway_index, gateway_count)
        engine.preferred = engine.subset_rank < engine.subset_size


def subset_rank(engine: Engine, gateway_index: int, gateway_count: int) -> int:
    """Return the rank of a gateway among all gateways at this engine."""
    seed = int.from_bytes(engine.hash_for(0), "big")
    step = seed // gateway_count % gateway_count
    while math.gcd(step, gateway_count) != 1:
        step += 1
    return (seed + step * gateway_index) % gateway_count
