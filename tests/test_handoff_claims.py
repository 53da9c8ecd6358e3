"""Claims and ballots of one key."""

from decklb.handoff.claims import Claim
from decklb.handoff.record_table import RecordTable
from decklb.handoff.records import Stage
from tests.handoff_samples import SMALL_SETTINGS as SETTINGS
from tests.handoff_samples import VOTERS
from tests.handoff_samples import small_record as record


def test_only_the_higher_of_two_concurrent_claims_is_admitted_by_a_quorum():
    tables = {v: RecordTable(SETTINGS) for v in VOTERS}
    for table in tables.values():
        table.receive_replica(record(), 1000.0, 0.0)
    first, second = tables["s1"].start_claim("k", "s1"), tables["s2"].start_claim("k", "s2")
    for claim, voter in ((second, "s3"), (first, "s3"), (first, "s2")):
        if tables[voter].ballots.grant("k", claim.ballot):
            claim.add_grant(voter, record(), 0.0)
        else:
            claim.add_rejection(voter)
    assert first.rejections == {"s3"}  # s3 had already granted the higher claim
    for claim, claimer in ((first, "s1"), (second, "s2")):  # a claimer's own grant comes last
        assert claim.needs_own_grant() and tables[claimer].ballots.grant("k", claim.ballot)
        claim.add_grant(claimer, record(), 0.0)
    admitted = [[v for v in VOTERS if tables[v].ballots.admits(claim.claimed_record())] for claim in (first, second)]
    assert admitted == [["s1"], ["s2", "s3"]]


def test_claimer_adopts_the_newest_record_among_its_grants():
    claim = Claim.start(record(), "s1", SETTINGS)
    claim.add_grant("s2", record().with_attempt("e1"), now=10.0)
    claim.add_grant("s1", record(), now=10.0)
    assert (claim.claimed_record().stage, claim.claimed_record().term, claim.claimed_record().holder) == (
        Stage.SENT,
        2,
        "s1",
    )
    assert claim.effective_from() == 1010.0
