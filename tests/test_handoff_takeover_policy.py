"""What a new holder does with a record, and in which order voters claim it."""

import pytest

from decklb.handoff.records import Outcome, Stage
from decklb.handoff.takeover_policy import TakeoverAction, claim_rank, decide_takeover
from decklb.interface import Effect
from tests.handoff_samples import VOTERS
from tests.handoff_samples import small_record as record

CASES = [  # stage, effect, now, action, reason
    (Stage.QUEUED, Effect.UNSAFE, 0.0, TakeoverAction.SEND, "never-ran"),
    (Stage.SENT, Effect.SAFE, 0.0, TakeoverAction.SEND, "repeatable"),
    (Stage.SENT, Effect.KEYED, 0.0, TakeoverAction.SEND_WITH_KEY, "deduplicated"),
    (Stage.SENT, Effect.UNSAFE, 0.0, TakeoverAction.FAIL, "in-doubt"),
    (Stage.SENT, Effect.SAFE, 6000.0, TakeoverAction.FAIL, "deadline"),
    (Stage.ANSWERED, Effect.UNSAFE, 6000.0, TakeoverAction.RETURN_ANSWER, "answered"),
]


@pytest.mark.parametrize("stage, effect, now, action, reason", CASES)
def test_takeover_sends_again_only_what_may_be_repeated(stage, effect, now, action, reason):
    decision = decide_takeover(record(effect=effect, stage=stage), now)
    assert (decision.action, decision.reason) == (action, reason)
    if action is TakeoverAction.FAIL:
        assert decision.record.outcome == Outcome.FAILED


def test_request_whose_attempt_was_rejected_is_sent_again():
    rejected = record(effect=Effect.UNSAFE).with_attempt("e1").with_attempt_rejected()
    assert decide_takeover(rejected, 0.0).action == TakeoverAction.SEND


def test_voters_claim_in_order_and_not_while_the_holder_is_alive_in_its_incarnation():
    held = record(holder_incarnation=7)
    assert [claim_rank(held, v, {"s2": 1, "s3": 1}) for v in VOTERS] == [None, 0, 1]
    assert claim_rank(held, "s1", {"o": 7, "s1": 1}) is None
    assert claim_rank(held, "s1", {"o": 8, "s1": 1}) == 0  # the holder has restarted and forgotten the record
    assert claim_rank(held, "o", {"o": 8, "s1": 1}) is None  # o is not a voter
    assert claim_rank(record(holder_incarnation=7, voters=("o", "s1")), "o", {"o": 8, "s1": 1}) == 1


def test_request_whose_answer_was_not_retained_is_sent_again_only_if_that_is_harmless():
    for effect, action in ((Effect.SAFE, TakeoverAction.SEND), (Effect.UNSAFE, TakeoverAction.RETURN_ANSWER)):
        large = record(effect=effect).with_attempt("e1").with_answer(Outcome.SERVED, b"xx", 1)
        assert decide_takeover(large, 0.0).action == action
