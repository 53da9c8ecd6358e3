"""Where a caller's requests go: its own zone while that is safe, the nearest ones as far as needed (free of I/O).

Zone-aware routing as it is commonly published, with a common budget for a zone that returns: all managers reckon it
from the one moment at which its return was decided, so that together they never load it beyond the ramp.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from decklb.locality.consensus import State
from decklb.locality.settings import LocalitySettings


@dataclass(frozen=True, slots=True)
class Place:
    """A zone as it stands for routing."""

    region: str
    capacity: float  # requests a second that its engines up can bear
    load: float  # requests a second of the callers in it, as all managers report them
    state: State = State.HEALTHY
    since: float = 0.0  # when its state was decided
    up: float = 1.0  # share of its capacity that members reach


def usable(place: Place, now: float, settings: LocalitySettings) -> float:
    """What a zone may bear now, of all callers together."""
    if place.state is State.OUT:
        return 0.0
    if place.state is State.RETURNING:
        gone = min(1.0, max(0.0, (now - place.since) / settings.recovery_ramp_ms))
        least = settings.recovery_min_fraction
        return place.capacity * settings.max_utilization * (least + (1 - least) * gone)
    if place.state is State.DEGRADED:
        return place.capacity * settings.max_utilization / 2
    return place.capacity * settings.max_utilization


def shares(
    home: str,
    places: Mapping[str, Place],
    now: float,
    settings: LocalitySettings,
    allowed: Collection[str] | None = None,
) -> dict[str, float]:
    """The share of its requests that a caller in `home` sends to each zone; they come to 1, or nothing is allowed.

    `allowed`: zones that this request may go to at all, which always wins. Other regions are used only where no zone of
    the own region is healthy or degraded, and while those that return can't bear it all.
    """
    open_to = {z: p for z, p in places.items() if allowed is None or z in allowed}
    if not open_to:
        return {}
    room = {z: usable(p, now, settings) for z, p in open_to.items()}
    total = sum(p.capacity for p in open_to.values())
    if total <= 0 or sum(room.values()) < settings.panic_threshold * settings.max_utilization * total:
        return _alike(open_to, room)
    region = places[home].region if home in places else ""
    near = {z for z, p in open_to.items() if p.region == region and p.state is not State.OUT}
    whole = any(open_to[z].state is not State.RETURNING for z in near)
    field = near if whole else {z for z, r in room.items() if r > 0}
    # What each zone has left once its own callers are served, and what does not fit at home.
    load = {z: open_to[z].load if room[z] > 0 else 0.0 for z in field}
    own = places[home].load if home in places else 0.0
    stays = min(1.0, room[home] / own) if home in field and own > 0 else float(home in field)
    spare = {z: max(0.0, room[z] - load[z]) for z in field if z != home}
    made = {home: stays} if home in field and stays > 0 else {}
    away = 1.0 - stays
    if away <= 1e-9:
        return made
    # Where nobody has room to spare, those that are well bear it by what they can; never those that return.
    weights = (
        spare
        if sum(spare.values()) > 0
        else {z: room[z] for z in field if open_to[z].state is not State.RETURNING} or {z: room[z] for z in field}
    )
    for z, w in weights.items():
        if w > 0:
            made[z] = made.get(z, 0.0) + away * w / sum(weights.values())
    return made


def _alike(places: Mapping[str, Place], room: Mapping[str, float]) -> dict[str, float]:
    """Too little is healthy to bear what the rest would send it: all are used alike, by the capacity that is reached.
    Only zones that return keep to their budgets: what flees from there would strike them while they are cold."""
    load = sum(p.load for p in places.values())
    cold = {z: min(1.0, room[z] / load) if load > 0 else 1.0 for z, p in places.items() if p.state is State.RETURNING}
    rest = {z: p.capacity * p.up for z, p in places.items() if z not in cold}
    if sum(rest.values()) <= 0:
        rest = {z: max(p.capacity, 1e-9) for z, p in places.items() if z not in cold}
    given = sum(cold.values())
    if not rest or given > 1.0:
        return {z: share / given for z, share in cold.items()}
    return {z: s for z, s in cold.items() if s > 0} | {
        z: (1.0 - given) * c / sum(rest.values()) for z, c in rest.items() if c > 0
    }
