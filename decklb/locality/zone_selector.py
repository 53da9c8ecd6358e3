"""The zone of each request of this member's own callers, so that the shares of `spillover.py` come out exactly.

Owns, for each request class, the shares for now and the round robin over them, and the recovery budgets of zones that
return. Called by `runtime.py` for each request; free of I/O. Times are ms on this member's monotonic clock.
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

SHARES_TTL_MS = 100.0  # for which shares are used before they are computed anew


class ZoneSelection(NamedTuple):
    """Where a request may go."""

    preferred: str  # the zone to use first; "" for any
    allowed: Sequence[str] | None  # all zones that it may use; None for any


ANY_ZONE = ZoneSelection("", None)


@dataclass(slots=True)
class ClassRouting:
    """How the requests of one class are spread for now."""

    computed_at: float
    zones: WeightedRoundRobin
    without_returning: WeightedRoundRobin  # the same without zones that return
    recovery_cores: dict[str, float]  # that this member may use of each zone that returns
    selections: dict[str, ZoneSelection]  # by preferred zone


class ZoneSelector:
    """One member's own callers.

    Attributes:
        region_of: The region of each zone that the settings name.
        counts: Requests that went to the own zone (`near`) and to others (`away`).
    """

    def __init__(
        self, settings: LocalitySettings, classes: Mapping[str, RequestClass], cores_by_kind: Mapping[str, int]
    ) -> None:
        self.region_of = dict(settings.region_of)
        self.counts = {"near": 0, "away": 0}
        self._settings, self._classes, self._cores_by_kind = settings, classes, cores_by_kind
        self._capacity: dict[str, dict[str, float]] = {}  # cores of engines that are up, by zone and kind
        self._routing: dict[str, ClassRouting] = {}  # by request class
        self._budgets: dict[str, RecoveryBudget] = {}  # by zone that returns

    def update_engines(self, entries: Sequence[Endpoint]) -> None:
        """Take over the endpoint list."""
        self._capacity = {}
        for entry in entries:
            if entry.phase is Phase.UP:
                kinds = self._capacity.setdefault(entry.zone, {})
                cores = max(1, self._cores_by_kind.get(entry.kind, 1))
                kinds[entry.kind] = kinds.get(entry.kind, 0.0) + cores
        self._routing.clear()

    def select(self, now: float, request_class: str, work_ms: float, coordinator: ZoneCoordinator) -> ZoneSelection:
        """The zones of the next request of a class.

        Any, where none of its allowed zones is on the endpoint list: the policy holds the request or ends it.

        Args:
            now: The time.
            request_class: The request's class.
            work_ms: Its estimated work, for the budget of a zone that returns.
            coordinator: The states and loads of zones.
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
        """Compute the routing of a class anew and keep it; None where no zone is allowed."""
        routing, previous = self._compute(now, request_class, coordinator), self._routing.get(request_class)
        if routing is None:
            return None
        if previous is not None:
            routing.zones.take_over(previous.zones)
            routing.without_returning.take_over(previous.without_returning)
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
        # A retry goes to any zone that is available or to the preferred one; never to another that returns, whose
        # budget is spent by preferred zones alone. Where all are used alike (panic), all are open.
        permitted = [name for name in zones if spec is None or spec.allowed_zones is None or name in spec.allowed_zones]
        available = {name for name in permitted if zones[name].state in AVAILABLE_STATES}
        returning = {name: share for name, share in shares.items() if zones[name].state is ZoneState.RETURNING}
        self._budgets = {name: budget for name, budget in self._budgets.items() if name in returning}
        rest = {name: share for name, share in shares.items() if name not in returning}
        if returning and not rest:  # requests over the budgets go to all available zones
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
        """All zones that have engines of these kinds; None for any kind."""
        loads, statuses = coordinator.load_cores(now), {}
        for zone, by_kind in self._capacity.items():
            cores = sum(count for kind, count in by_kind.items() if kinds is None or kind in kinds)
            if cores > 0:
                state, since = coordinator.state(zone)
                # What is up of a zone that is out counts in a panic alone: its state keeps requests away.
                reachable = coordinator.reachable_fraction(zone, now)
                capacity = cores * reachable if state in AVAILABLE_STATES else cores
                region = self.region_of.get(zone, zone)
                statuses[zone] = ZoneStatus(region, capacity, loads.get(zone, 0.0), state, since, reachable)
        return statuses
