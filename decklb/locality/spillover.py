"""Spillover: which share of a zone's requests goes to which zone.

Zone-aware routing as it is commonly published (Envoy's zone-aware and locality-weighted balancing, with a panic
threshold): a caller's requests stay in its own zone while that has the capacity, and spill over to the nearest ones as
far as needed. Beyond that, a common budget for a zone that returns: all managers compute it from the one moment at
which its return was decided, so that together they never load it beyond the ramp.

Pure functions, no state. Called by `zone_selector.py` and by the laboratory.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from decklb.locality.settings import LocalitySettings
from decklb.locality.zone_state import ZoneState

DEGRADED_FACTOR = 0.5  # of its usual capacity that a degraded zone is given
ROUNDING = 1e-9  # of a share that does not count as spilling over
LEAST_CAPACITY = 1e-9  # in place of none, so that shares can be taken of it


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """A zone as it stands for routing. Capacity and load are in one unit: cores, or requests a second."""

    region: str
    capacity: float  # of its engines that are up
    load: float  # of the callers in it, as all managers report them
    state: ZoneState = ZoneState.HEALTHY
    state_since: float = 0.0  # ms
    reachable_fraction: float = 1.0  # of its capacity, by members


def usable_capacity(zone: ZoneStatus, now: float, settings: LocalitySettings) -> float:
    """The load that a zone may be given now, by all callers together."""
    if zone.state is ZoneState.OUT:
        return 0.0
    if zone.state is ZoneState.RETURNING:
        elapsed = min(1.0, max(0.0, (now - zone.state_since) / settings.recovery_ramp_ms))
        least = settings.recovery_min_fraction
        return zone.capacity * settings.max_utilization * (least + (1 - least) * elapsed)
    if zone.state is ZoneState.DEGRADED:
        return zone.capacity * settings.max_utilization * DEGRADED_FACTOR
    return zone.capacity * settings.max_utilization


def routing_shares(
    home: str,
    zones: Mapping[str, ZoneStatus],
    now: float,
    settings: LocalitySettings,
    allowed: Collection[str] | None = None,
) -> dict[str, float]:
    """The share of its requests that a caller sends to each zone; they come to 1, or nothing is allowed.

    Other regions are used only where no zone of the own region is healthy or degraded.

    Args:
        home: The caller's zone.
        zones: All zones by name.
        now: The time, ms.
        settings: Thresholds and the recovery ramp.
        allowed: Zones that the requests may go to at all, which always wins; None for any.
    """
    permitted = {name: zone for name, zone in zones.items() if allowed is None or name in allowed}
    if not permitted:
        return {}
    usable = {name: usable_capacity(zone, now, settings) for name, zone in permitted.items()}
    total = sum(zone.capacity for zone in permitted.values())
    if total <= 0 or sum(usable.values()) < settings.panic_threshold * settings.max_utilization * total:
        return _panic_shares(permitted, usable)
    candidates = _candidates(home, zones, permitted, usable)
    own_load = zones[home].load if home in zones else 0.0
    stays = min(1.0, usable[home] / own_load) if home in candidates and own_load > 0 else float(home in candidates)
    shares = {home: stays} if home in candidates and stays > 0 else {}
    spilling = 1.0 - stays
    if spilling <= ROUNDING:
        return shares
    weights = _spillover_weights(home, permitted, usable, candidates)
    for name, weight in weights.items():
        if weight > 0:
            shares[name] = shares.get(name, 0.0) + spilling * weight / sum(weights.values())
    return shares


def _candidates(
    home: str, zones: Mapping[str, ZoneStatus], permitted: Mapping[str, ZoneStatus], usable: Mapping[str, float]
) -> set[str]:
    """Zones of the own region if one of them is healthy or degraded, else all that may be given any load."""
    region = zones[home].region if home in zones else ""
    near = {name for name, zone in permitted.items() if zone.region == region and zone.state is not ZoneState.OUT}
    if any(permitted[name].state is not ZoneState.RETURNING for name in near):
        return near
    return {name for name, capacity in usable.items() if capacity > 0}


def _spillover_weights(
    home: str, permitted: Mapping[str, ZoneStatus], usable: Mapping[str, float], candidates: set[str]
) -> dict[str, float]:
    """What does not fit at home goes by what each zone can spare once its own callers are served.

    Where no zone has any to spare, available zones share it by their usable capacity; never those that return.
    """
    loads = {name: permitted[name].load if usable[name] > 0 else 0.0 for name in candidates}
    spare = {name: max(0.0, usable[name] - loads[name]) for name in candidates if name != home}
    if sum(spare.values()) > 0:
        return spare
    available = {name: usable[name] for name in candidates if permitted[name].state is not ZoneState.RETURNING}
    return available or {name: usable[name] for name in candidates}


def _panic_shares(zones: Mapping[str, ZoneStatus], usable: Mapping[str, float]) -> dict[str, float]:
    """Shares below the panic threshold: too little is healthy to take the load of the rest.

    All zones are used alike, by the capacity that is reached. Only zones that return keep to their budgets: load
    that moves there would hit them while they are cold.
    """
    load = sum(zone.load for zone in zones.values())
    returning = {
        name: min(1.0, usable[name] / load) if load > 0 else 1.0
        for name, zone in zones.items()
        if zone.state is ZoneState.RETURNING
    }
    rest = {name: zone.capacity * zone.reachable_fraction for name, zone in zones.items() if name not in returning}
    if sum(rest.values()) <= 0:
        rest = {name: max(zone.capacity, LEAST_CAPACITY) for name, zone in zones.items() if name not in returning}
    budget = sum(returning.values())
    if not rest or budget > 1.0:
        return {name: share / budget for name, share in returning.items()}
    return {name: share for name, share in returning.items() if share > 0} | {
        name: (1.0 - budget) * capacity / sum(rest.values()) for name, capacity in rest.items() if capacity > 0
    }
