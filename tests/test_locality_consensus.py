"""Zones' states decided in common: votes, terms, quorums, isolation."""

from dataclasses import replace

from decklb.locality import messages
from decklb.locality.consensus import ZoneConsensus
from decklb.locality.coordinator import ZoneCoordinator
from decklb.locality.settings import LocalitySettings
from decklb.locality.zone_state import Decision, Vote, ZoneObservation, ZoneState, classify

SETTINGS = LocalitySettings()
UNREACHABLE, HEALTHY = ZoneObservation(0.0), ZoneObservation(1.0)


def make_coordinators(count=5):
    s = replace(SETTINGS, member_count=count, home_zone="z", regions=(("r", ("z",)),))
    made = {f"m{i}": ZoneCoordinator(s, f"m{i}", 0.0) for i in range(count)}
    for coordinator in made.values():
        coordinator.update_members(made)
        coordinator.consensus.voting_from = 0.0
    return made


def run_members(fleet, observations, start, span, cut=frozenset()):
    now = start
    while now < start + span:
        for name, coordinator in fleet.items():
            if observations.get(name) is not None:
                coordinator.observe(now, "z", observations[name])
            coordinator.tick(now)
            datagrams, coordinator.outgoing = coordinator.outgoing, []
            for other, to in fleet.items():
                if other != name and (name in cut) == (other in cut):
                    for datagram in datagrams:
                        to.receive(now, name, datagram)
        now += 100.0
    return {name: coordinator.state("z")[0] for name, coordinator in fleet.items()}


def test_a_majority_changes_a_zones_state_and_a_minority_does_not():
    for dead, wanted in ((1, ZoneState.HEALTHY), (2, ZoneState.HEALTHY), (3, ZoneState.OUT)):
        fleet = make_coordinators()
        observations = {f"m{i}": UNREACHABLE if i < dead else HEALTHY for i in range(5)}
        assert set(run_members(fleet, observations, 0.0, 3000.0).values()) == {wanted}, dead


def test_members_without_an_observation_follow_the_majority_of_those_with_one():
    fleet = make_coordinators()
    assert set(run_members(fleet, {"m0": UNREACHABLE, "m1": UNREACHABLE}, 0.0, 3000.0).values()) == {ZoneState.OUT}
    fleet = make_coordinators()
    assert set(run_members(fleet, {"m0": UNREACHABLE, "m1": HEALTHY}, 0.0, 3000.0).values()) == {ZoneState.HEALTHY}


def test_members_with_health_checks_only_follow_failing_requests_and_not_unreachable_engines():
    fleet, well = make_coordinators(), {f"m{i}": ZoneObservation(1.0, health_checks_only=True) for i in range(2, 5)}
    failing = dict.fromkeys(("m0", "m1"), ZoneObservation(1.0, error_rate=0.9))
    assert set(run_members(fleet, failing | well, 0.0, 3000.0).values()) == {ZoneState.OUT}
    fleet = make_coordinators()
    cut_off = dict.fromkeys(("m0", "m1"), UNREACHABLE)
    assert set(run_members(fleet, cut_off | well, 0.0, 3000.0).values()) == {ZoneState.HEALTHY}


def test_a_member_that_starts_votes_only_once_its_earlier_votes_have_lapsed():
    fleet = make_coordinators()
    for coordinator in fleet.values():
        coordinator.consensus.voting_from = SETTINGS.observation_ttl_ms + SETTINGS.vote_timeout_ms
    observations, lapse = dict.fromkeys(fleet, UNREACHABLE), SETTINGS.observation_ttl_ms + SETTINGS.vote_timeout_ms
    assert set(run_members(fleet, observations, 0.0, lapse).values()) == {ZoneState.HEALTHY}
    assert set(run_members(fleet, observations, lapse, 500.0).values()) == {ZoneState.OUT}


def test_a_partition_with_fewer_members_than_the_settings_quorum_decides_nothing():
    fleet = make_coordinators()
    for coordinator in fleet.values():
        coordinator.update_members(["m0", "m1"])
    observations = dict.fromkeys(fleet, UNREACHABLE)
    cut = frozenset(("m0", "m1"))
    states = run_members(fleet, observations, 0.0, 3000.0, cut)
    assert {name: state for name, state in states.items() if name in cut} == dict.fromkeys(cut, ZoneState.HEALTHY)


def test_malformed_datagrams_are_counted_and_change_nothing():
    fleet = make_coordinators()
    good = messages.encode("z", 3.0, [Vote("z", "m1", 1, ZoneState.OUT, True)])[0]
    for bad in (b"", b"\xc1", good[:-1], good[:1] + b"\x07" + good[2:]):
        fleet["m0"].receive(0.0, "m1", bad)
    assert (fleet["m0"].dropped, fleet["m0"].member_loads) == (4, {})
    fleet["m0"].receive(0.0, "m1", good)
    assert fleet["m0"].load_cores(1.0) == {"z": 3.0}


def test_two_states_are_never_decided_in_one_term():
    a = ZoneConsensus(SETTINGS, "m0", ["z"], 0.0)
    a.update_members(["m0", "m1", "m2"])
    for member, state in (("m1", ZoneState.OUT), ("m2", ZoneState.DEGRADED), ("m1", ZoneState.DEGRADED)):
        a.receive(1.0, Vote("z", member, 1, state, True), member)
    a.receive(1.0, Vote("z", "m2", 1, ZoneState.OUT, True), "m1")  # in another's name
    a.tick(1.0)
    assert (a.zones["z"].term, a.state("z")[0]) == (1, ZoneState.DEGRADED)
    a.receive(2.0, Decision("z", 1, ZoneState.OUT), "m1")  # the term is spent
    assert a.state("z")[0] == ZoneState.DEGRADED


def test_a_state_changes_at_most_once_in_its_minimum_duration():
    fleet, changes, before = make_coordinators(), 0, ZoneState.HEALTHY
    for i in range(60):  # the zone comes and goes twice a second, for half a minute
        observations = dict.fromkeys(fleet, UNREACHABLE if i % 4 < 2 else HEALTHY)
        now = set(run_members(fleet, observations, i * 500.0, 500.0).values())
        assert len(now) == 1
        changes, before = changes + (now != {before}), next(iter(now))
    assert changes <= 30_000.0 / SETTINGS.min_state_duration_ms + 1
    assert changes > 0


def test_an_isolated_member_keeps_the_decision_for_the_grace_and_then_decides_alone():
    fleet, cut = make_coordinators(), frozenset({"m0"})
    observations = {"m0": UNREACHABLE} | {f"m{i}": HEALTHY for i in range(1, 5)}
    assert run_members(fleet, observations, 0.0, SETTINGS.isolation_grace_ms, cut)["m0"] == ZoneState.HEALTHY
    assert not fleet["m0"].decides_alone
    fleet["m0"].notices.clear()
    grace = SETTINGS.isolation_grace_ms
    assert run_members(fleet, observations, grace, SETTINGS.observation_ttl_ms + 1000.0, cut)["m0"] == ZoneState.OUT
    assert fleet["m0"].decides_alone
    assert [n.event for n in fleet["m0"].notices] == ["zone-quorum-lost", "zone-state"]  # said once
    assert set(run_members(fleet, observations, 2 * SETTINGS.isolation_grace_ms, 2000.0).values()) == {
        ZoneState.HEALTHY
    }


def test_a_state_is_left_well_past_the_threshold_where_it_was_entered():
    for up, before, wanted in (
        (0.31, ZoneState.HEALTHY, ZoneState.DEGRADED),
        (0.29, ZoneState.HEALTHY, ZoneState.OUT),
        (0.35, ZoneState.OUT, ZoneState.OUT),
        (0.5, ZoneState.OUT, ZoneState.DEGRADED),
        (0.75, ZoneState.DEGRADED, ZoneState.DEGRADED),
        (0.8, ZoneState.DEGRADED, ZoneState.HEALTHY),
    ):
        assert classify(ZoneObservation(up), before, SETTINGS) == wanted, (up, before)
