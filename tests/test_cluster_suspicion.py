"""The timeout within which a suspected member has to refute the suspicion."""

from __future__ import annotations

from decklb.cluster.settings import MembershipSettings
from decklb.cluster.suspicion import Suspicion

SETTINGS = MembershipSettings(probe_interval_ms=1000.0, suspicion_multiplier=4.0, suspicion_max_multiplier=6.0)


def test_the_timeout_shrinks_as_other_members_confirm():
    suspicion = Suspicion.start(SETTINGS, 0.0, 100, "a")
    deadlines = [suspicion.deadline()]
    for reporter in ("a", "b", "c", "d", "e"):
        suspicion.confirm(reporter)
        deadlines.append(suspicion.deadline())
    assert (deadlines[0], deadlines[-1]) == (48_000.0, 8000.0)
    assert deadlines == sorted(deadlines, reverse=True)
    assert deadlines[0] == deadlines[1]  # a repeated report by the same member does not count


def test_with_two_members_the_shortest_timeout_applies_since_nobody_can_confirm():
    assert Suspicion.start(SETTINGS, 0.0, 2, "a").deadline() == 4000.0
