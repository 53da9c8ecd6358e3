"""The fault rig's draws: what a link does to a datagram, and a schedule that ends healed."""

import random

from decklb.lab.faults.fault_schedule import CLEAN, FleetFaultKind, LinkConditions, draw_schedule


def test_a_clean_link_passes_each_datagram_once_at_once():
    rng = random.Random(1)
    assert all(CLEAN.arrival_delays_ms(rng) == [0.0] for _ in range(100))


def test_a_lossy_link_loses_duplicates_and_reorders_in_its_shares():
    rng, link = random.Random(2), LinkConditions(drop=0.25, duplicate=0.5, delay_ms=10.0, jitter_ms=40.0)
    fates = [link.arrival_delays_ms(rng) for _ in range(4000)]
    lost = sum(not f for f in fates) / len(fates)
    twice = sum(len(f) == 2 for f in fates) / sum(bool(f) for f in fates)
    delays = [d for f in fates for d in f]
    assert 0.22 < lost < 0.28 and 0.46 < twice < 0.54
    assert min(delays) >= 10.0 and max(delays) <= 50.0 and len({round(d) for d in delays}) > 30


def test_a_cut_link_passes_nothing():
    assert not any(LinkConditions(cut=True).arrival_delays_ms(random.Random(3)) for _ in range(100))


def test_a_schedule_is_the_seeds_own_and_ends_with_all_undone():
    members = ["m0", "m1", "m2", "m3"]
    first = draw_schedule(11, members, 10_000.0, 6)
    assert first == draw_schedule(11, members, 10_000.0, 6) != draw_schedule(12, members, 10_000.0, 6)
    assert len(first) == 12 and all(0 <= f.at_ms <= 10_000.0 for f in first)
    undo = {
        FleetFaultKind.KILL: FleetFaultKind.RESTART,
        FleetFaultKind.STOP: FleetFaultKind.CONT,
        FleetFaultKind.AHEAD: FleetFaultKind.CLOCK,
        FleetFaultKind.BEHIND: FleetFaultKind.CLOCK,
    }
    for strike, end in zip(first[::2], first[1::2], strict=True):
        assert (
            strike.at_ms < end.at_ms
            and end.kind is undo.get(strike.kind, FleetFaultKind.HEAL)
            and end.target == strike.target
        )
    assert [f.at_ms for f in first] == sorted(f.at_ms for f in first)
