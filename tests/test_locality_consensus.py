"""Consensus on the states of zones: votes, terms, quorums, isolation."""

from dataclasses import replace

from decklb.locality import messages
from decklb.locality.consensus import ZoneConsensus
from decklb.locality.coordinator import ZoneCoordinator
from decklb.locality.settings import LocalitySettings
from decklb.locality.zone_state import Decision, Vote, ZoneObservation, ZoneState, classify

SETTINGS = LocalitySettings()
UNREACHABLE, HEALTHY = ZoneObservation(0.0), ZoneObservation(1.0)


def make_coordinators(count=5):
    settings = replace(SETTINGS, member_count=count, home_zone="z", regions=(("r", ("z",)),))
    fleet = {f"m{i}": ZoneCoordinator(settings, f"m{i}", 0.0) for i in range(count)}
    for coordinator in fleet.values():
        coordinator.update_members(fleet)
        coordinator.consensus.voting_from = 0.0
    return fleet


def run_members(fleet, observations, start, duration, partition=frozenset()):
    """Run the members for `duration` ms and return each member's state of the zone.

    Datagrams pass only between members on the same side of the partition.
    """
    now = start
    while now < start + duration:
        for name, coordinator in fleet.items():
            if observations.get(name) is not None:
                coordinator.observe(now, "z", observations[name])
            coordinator.tick(now)
            datagrams, coordinator.outgoing = coordinator.outgoing, []
            for other, receiver in fleet.items():
                if other != name and (name in partition) == (other in partition):
                    for datagram in datagrams:
                        receiver.receive(now, name, datagram)
        now += 100.0
    return {name: coordinator.state("z")[0] for name, coordinator in fleet.items()}


def test_a_majority_changes_a_zones_state_and_a_minority_does_not():
    for failing, expected in ((1, ZoneState.HEALTHY), (2, ZoneState.HEALTHY), (3, ZoneState.OUT)):
        fleet = make_coordinators()
        observations = {f"m{i}": UNREACHABLE if i < failing else HEALTHY for i in range(5)}
        assert set(run_members(fleet, observations, 0.0, 3000.0).values()) == {expected}, failing


def test_members_without_an_observation_follow_the_majority_of_those_with_one():
    fleet = make_coordinators()
    assert set(run_members(fleet, {"m0": UNREACHABLE, "m1": UNREACHABLE}, 0.0, 3000.0).values()) == {ZoneState.OUT}
    fleet = make_coordinators()
    assert set(run_members(fleet, {"m0": UNREACHABLE, "m1": HEALTHY}, 0.0, 3000.0).values()) == {ZoneState.HEALTHY}


def test_members_with_health_checks_only_follow_failing_requests_and_not_unreachable_engines():
    fleet, checked = make_coordinators(), {f"m{i}": ZoneObservation(1.0, health_checks_only=True) for i in range(2, 5)}
    failing = dict.fromkeys(("m0", "m1"), ZoneObservation(1.0, error_rate=0.9))
    assert set(run_members(fleet, failing | checked, 0.0, 3000.0).values()) == {ZoneState.OUT}
    fleet = make_coordinators()
    unreachable = dict.fromkeys(("m0", "m1"), UNREACHABLE)
    assert set(run_members(fleet, unreachable | checked, 0.0, 3000.0).values()) == {ZoneState.HEALTHY}


def test_a_member_that_starts_votes_only_once_its_earlier_votes_have_expired():
    fleet = make_coordinators()
    for coordinator in fleet.values():
        coordinator.consensus.voting_from = SETTINGS.observation_ttl_ms + SETTINGS.vote_timeout_ms
    observations, expiry = dict.fromkeys(fleet, UNREACHABLE), SETTINGS.observation_ttl_ms + SETTINGS.vote_timeout_ms
    assert set(run_members(fleet, observations, 0.0, expiry).values()) == {ZoneState.HEALTHY}
    assert set(run_members(fleet, observations, expiry, 500.0).values()) == {ZoneState.OUT}


def test_a_partition_with_fewer_members_than_the_settings_quorum_decides_nothing():
    fleet = make_coordinators()
    for coordinator in fleet.values():
        coordinator.update_members(["m0", "m1"])
    observations = dict.fromkeys(fleet, UNREACHABLE)
    minority = frozenset(("m0", "m1"))
    states = run_members(fleet, observations, 0.0, 3000.0, minority)
    assert {name: state for name, state in states.items() if name in minority} == dict.fromkeys(
        minority, ZoneState.HEALTHY
    )


def test_malformed_datagrams_are_counted_and_change_nothing():
    fleet = make_coordinators()
    valid = messages.encode("z", 3.0, [Vote("z", "m1", 1, ZoneState.OUT, True)])[0]
    for malformed in (b"", b"\xc1", valid[:-1], valid[:1] + b"\x07" + valid[2:]):
        fleet["m0"].receive(0.0, "m1", malformed)
    assert (fleet["m0"].dropped, fleet["m0"].member_loads) == (4, {})
    fleet["m0"].receive(0.0, "m1", valid)
    assert fleet["m0"].load_cores(1.0) == {"z": 3.0}


def test_two_states_are_never_decided_in_one_term():
    consensus = ZoneConsensus(SETTINGS, "m0", ["z"], 0.0)
    consensus.update_members(["m0", "m1", "m2"])
    for member, state in (("m1", ZoneState.OUT), ("m2", ZoneState.DEGRADED), ("m1", ZoneState.DEGRADED)):
        consensus.receive(1.0, Vote("z", member, 1, state, True), member)
    consensus.receive(1.0, Vote("z", "m2", 1, ZoneState.OUT, True), "m1")  # vote of m2, but sent by m1: not counted
    consensus.tick(1.0)
    assert (consensus.zones["z"].term, consensus.state("z")[0]) == (1, ZoneState.DEGRADED)
    consensus.receive(2.0, Decision("z", 1, ZoneState.OUT), "m1")  # the term has already been decided
    assert consensus.state("z")[0] == ZoneState.DEGRADED


def test_a_state_changes_at_most_once_in_its_minimum_duration():
    fleet, changes, previous = make_coordinators(), 0, ZoneState.HEALTHY
    for i in range(60):  # the zone is unreachable and reachable for 1 s each in turn, for 30 s
        observations = dict.fromkeys(fleet, UNREACHABLE if i % 4 < 2 else HEALTHY)
        states = set(run_members(fleet, observations, i * 500.0, 500.0).values())
        assert len(states) == 1
        changes, previous = changes + (states != {previous}), next(iter(states))
    assert changes <= 30_000.0 / SETTINGS.min_state_duration_ms + 1
    assert changes > 0


def test_an_isolated_member_keeps_the_decision_for_the_grace_and_then_decides_alone():
    fleet, isolated = make_coordinators(), frozenset({"m0"})
    observations = {"m0": UNREACHABLE} | {f"m{i}": HEALTHY for i in range(1, 5)}
    assert run_members(fleet, observations, 0.0, SETTINGS.isolation_grace_ms, isolated)["m0"] == ZoneState.HEALTHY
    assert not fleet["m0"].decides_alone
    fleet["m0"].notices.clear()
    grace = SETTINGS.isolation_grace_ms
    assert (
        run_members(fleet, observations, grace, SETTINGS.observation_ttl_ms + 1000.0, isolated)["m0"] == ZoneState.OUT
    )
    assert fleet["m0"].decides_alone
    assert [n.event for n in fleet["m0"].notices] == ["zone-quorum-lost", "zone-state"]  # each is logged once
    assert set(run_members(fleet, observations, 2 * SETTINGS.isolation_grace_ms, 2000.0).values()) == {
        ZoneState.HEALTHY
    }


def test_the_threshold_for_leaving_a_state_is_lower_than_the_one_for_entering_it():
    for reachable, current, expected in (
        (0.31, ZoneState.HEALTHY, ZoneState.DEGRADED),
        (0.29, ZoneState.HEALTHY, ZoneState.OUT),
        (0.35, ZoneState.OUT, ZoneState.OUT),
        (0.5, ZoneState.OUT, ZoneState.DEGRADED),
        (0.75, ZoneState.DEGRADED, ZoneState.DEGRADED),
        (0.8, ZoneState.DEGRADED, ZoneState.HEALTHY),
    ):
        assert classify(ZoneObservation(reachable), current, SETTINGS) == expected, (reachable, current)
