"""Records of in-flight requests: which one stands, and what is replicated of an answer."""

from decklb.handoff.records import Outcome, Stage
from tests.handoff_samples import small_record as record


def test_replica_replaces_only_an_older_one():
    first = record()
    sent = first.with_attempt("e1")
    assert sent.supersedes(first)
    assert not first.supersedes(sent)
    assert first.transferred_to("s1", 2).supersedes(sent)


def test_only_the_outcome_of_an_answer_too_large_is_replicated():
    large = record().with_attempt("e1").with_answer(Outcome.SERVED, b"x" * 10, max_answer_bytes=9)
    assert (large.stage, large.outcome, large.answer, large.answer_retained) == (
        Stage.ANSWERED,
        Outcome.SERVED,
        b"",
        False,
    )
    small = record().with_attempt("e1").with_answer(Outcome.SERVED, b"x" * 9, max_answer_bytes=9)
    assert (small.stage, small.answer, small.answer_retained) == (Stage.ANSWERED, b"x" * 9, True)
