"""Selection of the zone of each request: round robin by shares, recovery budgets, allowed zones."""

from dataclasses import replace

import pytest

from decklb.interface import Endpoint, Phase, RequestClass
from decklb.locality.coordinator import ZoneCoordinator
from decklb.locality.settings import LocalitySettings
from decklb.locality.spillover import ZoneStatus, usable_capacity
from decklb.locality.zone_selector import ZoneSelector
from decklb.locality.zone_state import ZoneState

SETTINGS = LocalitySettings()


def zone_status(region="r0", load=600.0, state=ZoneState.HEALTHY, since=0.0):
    return ZoneStatus(region, 1000.0, load, state, since)


def make_selector(**zones):
    settings = replace(SETTINGS, home_zone="a", regions=(("r0", ("a", "b")), ("r1", ("c",))))
    coordinator = ZoneCoordinator(settings, "m0", 0.0)
    for zone, state in zones.items():
        coordinator.consensus.zones[zone].state, coordinator.consensus.zones[zone].decided_at = state, 0.0
    classes = {
        "q": RequestClass("q", 1000.0, 5000.0),
        "only-c": RequestClass("only-c", 1000.0, 5000.0, allowed_zones=("c",)),
        "kind-y": RequestClass("kind-y", 1000.0, 5000.0, allowed_kinds=("y",)),
    }
    selector = ZoneSelector(settings, classes, {"x": 10, "y": 10})
    selector.update_engines(
        [Endpoint(f"{z}-{k}", z, k, 0, Phase.UP) for z, k in (("a", "x"), ("b", "x"), ("b", "y"), ("c", "x"))]
    )
    return selector, coordinator


def distribution(selector, coordinator, request_class="q", now=0.0, count=200):
    """Return the share of each preferred zone, and the allowed zones by preferred zone."""
    selections = [selector.select(now, request_class, 100.0, coordinator) for _ in range(count)]
    return {z: sum(s[0] == z for s in selections) / count for z in {s[0] for s in selections}}, dict(selections)


def test_requests_stay_in_their_zone_and_retries_may_go_to_any_available_zone():
    assert distribution(*make_selector()) == ({"a": 1.0}, {"a": ("a", "b", "c")})


def test_requests_beyond_the_capacity_of_the_own_zone_spill_over_in_exact_shares():
    selector, coordinator = make_selector()
    coordinator.own_load_cores = 17.0  # the zone has 10 cores, of which 8.5 may be used
    assert distribution(selector, coordinator)[0] == {"a": 0.5, "b": 0.5}


def test_a_returning_zone_takes_no_retries():
    selector, coordinator = make_selector(a=ZoneState.RETURNING)
    coordinator.own_load_cores = 4.25
    assert distribution(selector, coordinator)[1] == {"b": ("b", "c")}  # at the start the budget of zone a is empty
    admitted = [selector.select(now, "q", 100.0, coordinator)[0] for now in range(0, 2000, 20)].count("a")
    # Usable capacity of 1000, scaled to the 10 cores of the zone; 1000 ms is the middle of the measured time.
    expected = usable_capacity(zone_status(state=ZoneState.RETURNING), 1000.0, SETTINGS) / 100
    assert 100 * admitted / 2000 == pytest.approx(expected, abs=0.25 * expected, rel=0)


def test_only_allowed_zones_and_kinds_of_engines_are_used():
    selector, coordinator = make_selector()
    assert distribution(selector, coordinator, "only-c") == ({"c": 1.0}, {"c": ("c",)})
    assert distribution(selector, coordinator, "kind-y") == ({"b": 1.0}, {"b": ("b",)})
    selector.update_engines([])
    assert selector.select(0.0, "q", 100.0, coordinator) == ("", None)
