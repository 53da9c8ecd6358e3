"""Random draws of fault injection: what a link does to a datagram, and schedules that undo every fault."""

import random

from decklb.lab.faults.fault_schedule import CLEAN, FleetFaultKind, LinkConditions, draw_schedule


def test_a_clean_link_delivers_each_datagram_once_without_delay():
    rng = random.Random(1)
    assert all(CLEAN.arrival_delays_ms(rng) == [0.0] for _ in range(100))


def test_a_lossy_link_loses_duplicates_and_delays_datagrams_at_its_rates():
    rng, link = random.Random(2), LinkConditions(drop=0.25, duplicate=0.5, delay_ms=10.0, jitter_ms=40.0)
    arrivals = [link.arrival_delays_ms(rng) for _ in range(4000)]
    lost_fraction = sum(not a for a in arrivals) / len(arrivals)
    duplicated_fraction = sum(len(a) == 2 for a in arrivals) / sum(bool(a) for a in arrivals)
    delays_ms = [d for a in arrivals for d in a]
    assert 0.22 < lost_fraction < 0.28 and 0.46 < duplicated_fraction < 0.54
    assert min(delays_ms) >= 10.0 and max(delays_ms) <= 50.0 and len({round(d) for d in delays_ms}) > 30


def test_a_cut_link_delivers_nothing():
    assert not any(LinkConditions(cut=True).arrival_delays_ms(random.Random(3)) for _ in range(100))


def test_a_schedule_is_determined_by_its_seed_and_undoes_every_fault():
    members = ["m0", "m1", "m2", "m3"]
    schedule = draw_schedule(11, members, 10_000.0, 6)
    assert schedule == draw_schedule(11, members, 10_000.0, 6) != draw_schedule(12, members, 10_000.0, 6)
    assert len(schedule) == 12 and all(0 <= f.at_ms <= 10_000.0 for f in schedule)
    undone_by = {
        FleetFaultKind.KILL: FleetFaultKind.RESTART,
        FleetFaultKind.STOP: FleetFaultKind.CONT,
        FleetFaultKind.AHEAD: FleetFaultKind.CLOCK,
        FleetFaultKind.BEHIND: FleetFaultKind.CLOCK,
    }
    for fault, undo in zip(schedule[::2], schedule[1::2], strict=True):
        assert (
            fault.at_ms < undo.at_ms
            and undo.kind is undone_by.get(fault.kind, FleetFaultKind.HEAL)
            and undo.target == fault.target
        )
    assert [f.at_ms for f in schedule] == sorted(f.at_ms for f in schedule)
