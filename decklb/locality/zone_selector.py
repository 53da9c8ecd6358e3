"""Selects the zone of each request of this member's own callers according to the shares of `spillover.py`.

Owns the current shares of each request class, the round robin over them, and the recovery budgets of returning zones.
Called by `runtime.py` for each request. Does no I/O. Times are ms on this member's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from decklb.interface import Endpoint, Phase, RequestClass
from decklb.locality.coordinator import ZoneCoordinator
from decklb.locality.recovery_budget import RecoveryBudget
from decklb.locality.settings import LocalitySettings
from decklb.locality.spillover import ZoneStatus, routing_shares
from decklb.locality.weighted_round_robin import WeightedRoundRobin
from decklb.locality.zone_state import AVAILABLE_STATES, ZoneState

SHARES_TTL_MS = 100.0  # ms after which shares are recomputed


class ZoneSelection(NamedTuple):
    """The zones that a request may use."""

    preferred: str  # zone to use first; "": any
    allowed: Sequence[str] | None  # all zones that it may use; None: any


ANY_ZONE = ZoneSelection("", None)


@dataclass(slots=True)
class ClassRouting:
    """The current distribution of the requests of one class."""

    computed_at: float
    zones: WeightedRoundRobin
    without_returning: WeightedRoundRobin  # the same without returning zones
    recovery_cores: dict[str, float]  # cores that this member may use in each returning zone
    selections: dict[str, ZoneSelection]  # selections by preferred zone


class ZoneSelector:
    """Selects zones for the requests of one member's own callers.

    Attributes:
        region_of: The region of each zone in the settings.
        counts: Number of requests sent to the own zone (`near`) and to other zones (`away`).
    """

    def __init__(
        self, settings: LocalitySettings, classes: Mapping[str, RequestClass], cores_by_kind: Mapping[str, int]
    ) -> None:
        self.region_of = dict(settings.region_of)
        self.counts = {"near": 0, "away": 0}
        self._settings, self._classes, self._cores_by_kind = settings, classes, cores_by_kind
        self._capacity: dict[str, dict[str, float]] = {}  # cores of engines that are up, by zone and kind
        self._routing: dict[str, ClassRouting] = {}  # by request class
        self._budgets: dict[str, RecoveryBudget] = {}  # by returning zone

    def update_engines(self, endpoints: Sequence[Endpoint]) -> None:
        """Apply a new endpoint list."""
        self._capacity = {}
        for endpoint in endpoints:
            if endpoint.phase is Phase.UP:
                kinds = self._capacity.setdefault(endpoint.zone, {})
                cores = max(1, self._cores_by_kind.get(endpoint.kind, 1))
                kinds[endpoint.kind] = kinds.get(endpoint.kind, 0.0) + cores
        self._routing.clear()

    def select(self, now: float, request_class: str, work_ms: float, coordinator: ZoneCoordinator) -> ZoneSelection:
        """Return the zones for the next request of a class.

        If none of its allowed zones is on the endpoint list, the result is `ANY_ZONE`, and the policy delays or ends
        the request.

        Args:
            now: The current time.
            request_class: The request's class.
            work_ms: The request's estimated work, charged to the budget of a returning zone.
            coordinator: Supplies the states and loads of zones.
        """
        routing = self._routing.get(request_class)
        if routing is None or now - routing.computed_at >= SHARES_TTL_MS:
            routing = self._refresh(now, request_class, coordinator)
            if routing is None:
                return ANY_ZONE
        zone = routing.zones.pick()
        if zone in routing.recovery_cores and routing.without_returning.weights:
            budget = self._budgets.setdefault(zone, RecoveryBudget(0.0, now))
            if not budget.try_spend(now, routing.recovery_cores[zone], work_ms):
                zone = routing.without_returning.pick()
        self.counts["near" if zone == self._settings.home_zone else "away"] += 1
        return routing.selections[zone]

    def _refresh(self, now: float, request_class: str, coordinator: ZoneCoordinator) -> ClassRouting | None:
        """Recompute the routing of a class and store it; return None if no zone is allowed."""
        routing, previous = self._compute(now, request_class, coordinator), self._routing.get(request_class)
        if routing is None:
            return None
        if previous is not None:
            routing.zones.inherit_credit(previous.zones)
            routing.without_returning.inherit_credit(previous.without_returning)
        self._routing[request_class] = routing
        return routing

    def _compute(self, now: float, request_class: str, coordinator: ZoneCoordinator) -> ClassRouting | None:
        spec = self._classes.get(request_class)
        zones = self._zone_statuses(now, coordinator, spec.allowed_kinds if spec else None)
        shares = routing_shares(
            self._settings.home_zone, zones, now, self._settings, spec.allowed_zones if spec else None
        )
        if not shares:
            return None
        # A retry may use the available zones and the preferred zone. Other returning zones are excluded, as only the
        # selection of the preferred zone is charged to their budgets. Below the panic threshold a preferred zone may
        # be in any state.
        permitted = [name for name in zones if spec is None or spec.allowed_zones is None or name in spec.allowed_zones]
        available = {name for name in permitted if zones[name].state in AVAILABLE_STATES}
        returning = {name: share for name, share in shares.items() if zones[name].state is ZoneState.RETURNING}
        self._budgets = {name: budget for name, budget in self._budgets.items() if name in returning}
        rest = {name: share for name, share in shares.items() if name not in returning}
        if returning and not rest:  # requests beyond the recovery budgets go to all available zones
            rest = dict.fromkeys(available, 1.0)
        total = sum(rest.values())
        return ClassRouting(
            now,
            WeightedRoundRobin(shares),
            WeightedRoundRobin({name: share / total for name, share in rest.items()} if total > 0 else {}),
            {name: share * coordinator.own_load_cores for name, share in returning.items()},
            {name: ZoneSelection(name, tuple(sorted(available | {name}))) for name in {*shares, *rest}},
        )

    def _zone_statuses(
        self, now: float, coordinator: ZoneCoordinator, kinds: Sequence[str] | None
    ) -> dict[str, ZoneStatus]:
        """Return the status of all zones that have engines of these kinds (None: of any kind)."""
        loads, statuses = coordinator.load_cores(now), {}
        for zone, by_kind in self._capacity.items():
            cores = sum(count for kind, count in by_kind.items() if kinds is None or kind in kinds)
            if cores > 0:
                state, since = coordinator.state(zone)
                # For a zone that is out or returning the full capacity counts. What is reachable of a zone that is out
                # matters only below the panic threshold, as otherwise its state already keeps requests away.
                reachable = coordinator.reachable_fraction(zone, now)
                capacity = cores * reachable if state in AVAILABLE_STATES else cores
                region = self.region_of.get(zone, zone)
                statuses[zone] = ZoneStatus(region, capacity, loads.get(zone, 0.0), state, since, reachable)
        return statuses
