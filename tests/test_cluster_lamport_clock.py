"""The logical clock that issues terms."""

from __future__ import annotations

from decklb.cluster.lamport_clock import LamportClock


def test_new_terms_are_above_all_received_times():
    clock = LamportClock()
    clock.observe(7)
    assert (clock.next_term(), clock.next_term()) == (8, 9)
    clock.observe(3)
    assert clock.value == 9
