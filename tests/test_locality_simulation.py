"""States of zones decided by quorum and by each member alone, on the laboratory's simulated network."""

from decklb.lab.experiments.zone_agreement import play
from decklb.locality.settings import LocalitySettings

SETTINGS = LocalitySettings()


def test_a_bad_link_or_a_lying_member_misleads_members_that_decide_alone_but_no_quorum():
    for case in ("parted", "liar"):
        alone, quorum = (play(case, 1, common=common) for common in (False, True))
        assert alone.wrong > 0
        assert (quorum.wrong, quorum.changes) == (0, 0)


def test_a_lost_zone_is_out_for_all_members_and_returns_within_its_budget():
    for case in ("lost", "region"):
        outcome = play(case, 2, common=True)
        assert len(outcome.decided) == 12
        assert max(outcome.decided) < SETTINGS.stabilization_ms + 1000.0
        assert outcome.flood <= 1.0
        assert outcome.left == 0.0
