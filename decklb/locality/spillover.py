"""Spillover: the share of a zone's requests that goes to each zone.

This is zone-aware routing as in Envoy (zone-aware and locality-weighted load balancing with a panic threshold):
requests stay in the zone of their caller while it has the capacity, and only the excess spills over to the nearest
zones. In addition, a returning zone has a recovery budget that is common to all managers: each computes it from the
time at which the return was decided, so that together they never load the zone beyond its recovery ramp.

Pure functions without state. Called by `zone_selector.py` and by the laboratory.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from decklb.locality.settings import LocalitySettings
from decklb.locality.zone_state import ZoneState

DEGRADED_FACTOR = 0.5  # fraction of its usable capacity that a zone keeps while it is degraded
ROUNDING_TOLERANCE = 1e-9  # a spillover share up to this is a rounding error
MIN_CAPACITY = 1e-9  # used instead of 0, so that shares can be computed from capacities


@dataclass(frozen=True, slots=True)
class ZoneStatus:
    """The data of a zone that routing needs. Capacity and load have the same unit: cores, or requests per second."""

    region: str
    capacity: float  # capacity of the engines that are up
    load: float  # load of the callers in this zone, summed over the reports of all managers
    state: ZoneState = ZoneState.HEALTHY
    state_since: float = 0.0  # ms
    reachable_fraction: float = 1.0  # fraction of the capacity that members can reach


def usable_capacity(zone: ZoneStatus, now: float, settings: LocalitySettings) -> float:
    """Return the load that all callers together may send to a zone now."""
    if zone.state is ZoneState.OUT:
        return 0.0
    if zone.state is ZoneState.RETURNING:
        elapsed_fraction = min(1.0, max(0.0, (now - zone.state_since) / settings.recovery_ramp_ms))
        min_fraction = settings.recovery_min_fraction
        return zone.capacity * settings.max_utilization * (min_fraction + (1 - min_fraction) * elapsed_fraction)
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
    """Return the share of its requests that a caller sends to each zone.

    The shares sum to 1; the result is empty if no zone is allowed. Zones of other regions are used only if no zone of
    the caller's region is healthy or degraded.

    Args:
        home: The caller's zone.
        zones: All zones by name.
        now: The current time in ms.
        settings: Thresholds and the recovery ramp.
        allowed: The only zones that may be used, regardless of all else; None for any.
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
    home_share = min(1.0, usable[home] / own_load) if home in candidates and own_load > 0 else float(home in candidates)
    shares = {home: home_share} if home in candidates and home_share > 0 else {}
    spillover_share = 1.0 - home_share
    if spillover_share <= ROUNDING_TOLERANCE:
        return shares
    weights = _spillover_weights(home, permitted, usable, candidates)
    for name, weight in weights.items():
        if weight > 0:
            shares[name] = shares.get(name, 0.0) + spillover_share * weight / sum(weights.values())
    return shares


def _candidates(
    home: str, zones: Mapping[str, ZoneStatus], permitted: Mapping[str, ZoneStatus], usable: Mapping[str, float]
) -> set[str]:
    """Return the zones to use: those of the own region if one of them is healthy or degraded, else all usable zones."""
    region = zones[home].region if home in zones else ""
    in_region = {name for name, zone in permitted.items() if zone.region == region and zone.state is not ZoneState.OUT}
    if any(permitted[name].state is not ZoneState.RETURNING for name in in_region):
        return in_region
    return {name for name, capacity in usable.items() if capacity > 0}


def _spillover_weights(
    home: str, permitted: Mapping[str, ZoneStatus], usable: Mapping[str, float], candidates: set[str]
) -> dict[str, float]:
    """Return the weights by which the requests beyond the home zone's capacity are distributed.

    The weight of a zone is the capacity left after serving its own callers. If no zone has any left, the weights are
    the usable capacities of the healthy and degraded zones, or of the returning ones if there are no others.
    """
    loads = {name: permitted[name].load if usable[name] > 0 else 0.0 for name in candidates}
    spare = {name: max(0.0, usable[name] - loads[name]) for name in candidates if name != home}
    if sum(spare.values()) > 0:
        return spare
    available = {name: usable[name] for name in candidates if permitted[name].state is not ZoneState.RETURNING}
    return available or {name: usable[name] for name in candidates}


def _panic_shares(zones: Mapping[str, ZoneStatus], usable: Mapping[str, float]) -> dict[str, float]:
    """Return the shares below the panic threshold, where the healthy zones could not take the load of the others.

    All zones are used in proportion to their reachable capacity, regardless of their state. Only returning zones keep
    to their recovery budgets, as moving load there would overload them while they are cold.
    """
    load = sum(zone.load for zone in zones.values())
    returning = {
        name: min(1.0, usable[name] / load) if load > 0 else 1.0
        for name, zone in zones.items()
        if zone.state is ZoneState.RETURNING
    }
    rest = {name: zone.capacity * zone.reachable_fraction for name, zone in zones.items() if name not in returning}
    if sum(rest.values()) <= 0:
        rest = {name: max(zone.capacity, MIN_CAPACITY) for name, zone in zones.items() if name not in returning}
    budget = sum(returning.values())
    if not rest or budget > 1.0:
        return {name: share / budget for name, share in returning.items()}
    return {name: share for name, share in returning.items() if share > 0} | {
        name: (1.0 - budget) * capacity / sum(rest.values()) for name, capacity in rest.items() if capacity > 0
    }
