"""The share of a zone's requests that goes to each zone."""

from dataclasses import replace

import pytest

from decklb.locality.settings import LocalitySettings
from decklb.locality.spillover import ZoneStatus, routing_shares, usable_capacity
from decklb.locality.zone_state import ZoneState

SETTINGS = LocalitySettings()


def zone_status(region="r0", load=600.0, state=ZoneState.HEALTHY, since=0.0):
    return ZoneStatus(region, 1000.0, load, state, since)


def test_requests_stay_while_their_zone_has_the_capacity():
    zones = {"a": zone_status(load=850.0), "b": zone_status(), "c": zone_status("r1")}
    assert routing_shares("a", zones, 0.0, SETTINGS) == {"a": 1.0}


def test_excess_requests_spill_over_within_the_region_by_spare_capacity():
    zones = {
        "a": zone_status(load=1700.0),
        "b": zone_status(load=650.0),
        "c": zone_status(load=450.0),
        "d": zone_status("r1", load=0.0),
    }
    shares = routing_shares("a", zones, 0.0, SETTINGS)
    assert [round(shares[z], 3) for z in "abc"] == [0.5, 0.167, 0.333]
    assert "d" not in shares  # another region


def test_another_region_is_used_only_if_no_zone_of_the_own_region_is_available():
    zones = {"a": zone_status(state=ZoneState.OUT), "b": zone_status(), "c": zone_status("r1")}
    assert routing_shares("a", zones, 0.0, SETTINGS) == {"b": 1.0}
    zones["b"] = zone_status(state=ZoneState.OUT)
    zones["d"] = zone_status("r1")
    assert routing_shares("a", zones, 0.0, SETTINGS) == {"c": 0.5, "d": 0.5}


def test_only_allowed_zones_are_used_whatever_their_state():
    zones = {"a": zone_status(), "b": zone_status(state=ZoneState.OUT), "c": zone_status("r1")}
    assert routing_shares("a", zones, 0.0, SETTINGS, ["c"]) == {"c": 1.0}
    assert routing_shares("a", zones, 0.0, SETTINGS, []) == {}


def test_a_returning_zone_is_never_loaded_beyond_its_recovery_ramp():
    for now in range(0, 10_001, 500):
        zones = {"a": zone_status(state=ZoneState.RETURNING), "b": zone_status(), "c": zone_status(load=700.0)}
        shares = routing_shares("a", zones, float(now), SETTINGS)
        assert 600.0 * shares.get("a", 0.0) <= usable_capacity(zones["a"], float(now), SETTINGS) + 1e-6
        assert sum(shares.values()) == pytest.approx(1.0, abs=5e-8, rel=0)


def test_below_the_panic_threshold_all_zones_are_used_alike():
    zones = {"a": zone_status(), **{z: zone_status(state=ZoneState.OUT) for z in "bcd"}}
    assert routing_shares("a", zones, 0.0, SETTINGS) == dict.fromkeys("abcd", 0.25)
    zones |= {z: replace(zones[z], reachable_fraction=0.0) for z in "bc"}  # unreachable zones get no requests
    assert routing_shares("a", zones, 0.0, SETTINGS) == dict.fromkeys("ad", 0.5)


def test_below_the_panic_threshold_the_budget_of_a_returning_zone_is_kept():
    zones = {
        "a": zone_status(state=ZoneState.RETURNING),
        "b": zone_status(state=ZoneState.OUT),
        "c": zone_status("r1", load=0.0),
    }
    zones["b"] = replace(zones["b"], reachable_fraction=0.0)
    for now in (0.0, 500.0, 1000.0):
        shares = routing_shares("a", zones, now, SETTINGS)
        assert 1200.0 * shares["a"] == pytest.approx(usable_capacity(zones["a"], now, SETTINGS), abs=5e-8, rel=0)
        assert shares["a"] + shares["c"] == pytest.approx(1.0, abs=5e-8, rel=0)
