"""Deterministic subsetting: which gateways prefer an engine.

As in the SRE book ('Load balancing in the datacenter'): where gateways are many, each would hold a
connection to every engine, a query of each would be over the engine's limit, and none would learn much of
any. Each gateway computes its rank alone, and no two have the same. Called at each update of the list;
state: three fields of each engine.
"""

from __future__ import annotations

import math

from decklb.interface import Settings
from decklb.policy.concurrency import THREADS_PER_CORE
from decklb.policy.records import Engine

MIN_SUBSET = 4  # engines that a gateway prefers, at least


def assign_subsets(engines: list[Engine], settings: Settings, polls_load: bool) -> None:
    """Set how many gateways prefer each engine (as many as its limit has threads), and whether this does."""
    gateways = settings.gateway_count
    least = gateways if polls_load else gateways * MIN_SUBSET / max(1, len(engines))
    for engine in engines:
        engine.subset_size = min(gateways, math.ceil(max(THREADS_PER_CORE * engine.cores, least)))
        engine.subset_rank = subset_rank(engine, settings.gateway_index, gateways)
        engine.preferred = engine.subset_rank < engine.subset_size


def subset_rank(engine: Engine, gateway: int, gateways: int) -> int:
    """The rank of a gateway among all at this engine."""
    seed = int.from_bytes(engine.hash_for(0), "big")
    step = seed // gateways % gateways
    while math.gcd(step, gateways) != 1:
        step += 1
    return (seed + step * gateway) % gateways
