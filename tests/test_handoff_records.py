"""Records of in-flight requests: which version supersedes another, and when an answer is replicated."""

from decklb.handoff.records import Outcome, Stage
from tests.handoff_samples import small_record as record


def test_record_supersedes_only_older_ones():
    first = record()
    sent = first.with_attempt("e1")
    assert sent.supersedes(first)
    assert not first.supersedes(sent)
    assert first.transferred_to("s1", 2).supersedes(sent)


def test_only_the_outcome_of_a_too_large_answer_is_replicated():
    large = record().with_attempt("e1").with_answer(Outcome.SERVED, b"x" * 10, max_answer_bytes=9)
    assert (large.stage, large.outcome, large.answer, large.answer_retained) == (
        Stage.ANSWERED,
        Outcome.SERVED,
        b"",
        False,
    )
    small = record().with_attempt("e1").with_answer(Outcome.SERVED, b"x" * 9, max_answer_bytes=9)
    assert (small.stage, small.answer, small.answer_retained) == (Stage.ANSWERED, b"x" * 9, True)
