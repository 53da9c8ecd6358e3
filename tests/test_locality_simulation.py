"""Zones decided in common and alone on the laboratory's simulated network."""

from decklb.lab.experiments.zone_agreement import play
from decklb.locality.settings import LocalitySettings

SETTINGS = LocalitySettings()


def test_a_bad_link_or_a_lying_member_misleads_members_alone_and_not_the_quorum():
    for case in ("parted", "liar"):
        alone, common = (play(case, 1, common=c) for c in (False, True))
        assert alone.wrong > 0
        assert (common.wrong, common.changes) == (0, 0)


def test_a_lost_zone_is_out_for_all_members_and_returns_within_its_budget():
    for case in ("lost", "region"):
        told = play(case, 2, common=True)
        assert len(told.decided) == 12
        assert max(told.decided) < SETTINGS.stabilization_ms + 1000.0
        assert told.flood <= 1.0
        assert told.left == 0.0
