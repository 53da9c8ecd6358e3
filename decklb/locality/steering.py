"""To which zone each request goes, one by one, so that the shares of `spill` come out exactly (free of I/O)."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from decklb.interface import ClassSpec, Entry, Phase
from decklb.locality.council import Council
from decklb.locality.settings import LocalitySettings
from decklb.locality.spill import Place, shares
from decklb.locality.zones import State

AGAIN = 100.0  # ms for which shares are kept
BURST = 250.0  # ms of a returning zone's budget that may come at once


@dataclass(slots=True)
class Turns:
    """Smooth weighted round robin over zones: after any number of draws each zone is within one of its share."""

    weights: dict[str, float]
    credit: dict[str, float] = field(default_factory=dict)

    def draw(self) -> str:
        """The zone of the next request."""
        for zone, weight in self.weights.items():
            self.credit[zone] = self.credit.get(zone, 0.0) + weight
        best = max(self.weights, key=lambda z: (self.credit[z], z))
        self.credit[best] -= 1.0
        return best


@dataclass(slots=True)
class Budget:
    """What this member's callers may send to a zone that returns: a token bucket in ms of work, since requests come in
    bursts and a cold zone has nothing to spare for them."""

    tokens: float = 0.0
    filled: float = 0.0

    def take(self, now: float, cores: float, work: float) -> bool:
        """Whether one more request may go, at that many cores. One may always come to be saved for."""
        most = max(work, cores * BURST)
        self.tokens = min(most, self.tokens + cores * max(0.0, now - self.filled))
        self.filled = now
        if self.tokens < work:
            return False
        self.tokens -= work
        return True


@dataclass(slots=True)
class Plan:
    """How the requests of one class go for now."""

    made: float
    turns: Turns
    spare: Turns  # the same without zones that return
    returning: dict[str, float]  # cores that this member may use of each zone that returns
    open: dict[str, tuple[str, ...]]  # by the zone drawn: all that the request may use


class Steering:
    """One member's own callers."""

    def __init__(self, settings: LocalitySettings, classes: Mapping[str, ClassSpec], cores: Mapping[str, int]) -> None:
        self.s, self.classes, self.cores = settings, classes, cores
        self.region = dict(settings.region_of)
        self.capacity: dict[str, dict[str, float]] = {}  # by zone and kind, cores of engines that the list calls up
        self.plans: dict[str, Plan] = {}
        self.budgets: dict[str, Budget] = {}
        self.counts = {"near": 0, "away": 0}

    def listed(self, entries: Sequence[Entry]) -> None:
        """The list of engines."""
        self.capacity = {}
        for e in entries:
            if e.phase is Phase.UP:
                kinds = self.capacity.setdefault(e.zone, {})
                kinds[e.kind] = kinds.get(e.kind, 0.0) + max(1, self.cores.get(e.kind, 1))
        self.plans.clear()

    def place(self, now: float, lane: str, work: float, council: Council) -> tuple[str, Sequence[str] | None]:
        """For the next request of a class, of so many ms of work: the zone to use first, and all that it may use. Any,
        where nothing of its allowed targets is on the list: the module holds it or ends it."""
        plan = self.plans.get(lane)
        if plan is None or now - plan.made >= AGAIN:
            made = self._plan(now, lane, council)
            if made is None:
                return "", None
            if plan is not None:  # whoever was short of its share stays so
                for new, old in ((made.turns, plan.turns), (made.spare, plan.spare)):
                    new.credit = {z: c for z, c in old.credit.items() if z in new.weights}
            plan = self.plans[lane] = made
        zone = plan.turns.draw()
        if zone in plan.returning and plan.spare.weights:
            budget = self.budgets.setdefault(zone, Budget(0.0, now))
            if not budget.take(now, plan.returning[zone], work):
                zone = plan.spare.draw()
        self.counts["near" if zone == self.s.zone else "away"] += 1
        return zone, plan.open[zone]

    def places(self, now: float, council: Council, kinds: Sequence[str] | None = None) -> dict[str, Place]:
        """All zones that have engines of these kinds."""
        demand, made = council.demand(now), {}
        for zone, by_kind in self.capacity.items():
            cores = sum(c for kind, c in by_kind.items() if kinds is None or kind in kinds)
            if cores > 0:
                state, since = council.state(zone)
                # What is up of a zone that is out counts in a panic alone: its state keeps requests away.
                up = council.up(zone, now)
                whole = cores * up if state in (State.HEALTHY, State.DEGRADED) else cores
                made[zone] = Place(self.region.get(zone, zone), whole, demand.get(zone, 0.0), state, since, up)
        return made

    def _plan(self, now: float, lane: str, council: Council) -> Plan | None:
        spec = self.classes.get(lane)
        places = self.places(now, council, spec.kinds if spec else None)
        weights = shares(self.s.zone, places, now, self.s, spec.zones if spec else None)
        if not weights:
            return None
        # Where a try fails, another goes to any zone that is well or to the one drawn; never to one that returns, whose
        # budget is spent by draws alone. Where all are used alike (panic), all are open.
        allowed = [z for z in places if spec is None or spec.zones is None or z in spec.zones]
        well = {z for z in allowed if places[z].state in (State.HEALTHY, State.DEGRADED)}
        returning = {z: w * council.load for z, w in weights.items() if places[z].state is State.RETURNING}
        self.budgets = {z: b for z, b in self.budgets.items() if z in returning}
        rest = {z: w for z, w in weights.items() if z not in returning}
        if returning and not rest:  # what is over goes to where requests may go at all
            rest = dict.fromkeys(well, 1.0)
        total = sum(rest.values())
        return Plan(
            now,
            Turns(weights),
            Turns({z: w / total for z, w in rest.items()} if total > 0 else {}),
            returning,
            {z: tuple(sorted(well | {z})) for z in {*weights, *rest}},
        )
