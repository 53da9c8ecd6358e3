"""Hedged requests and cancelled runaways."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Outcome
from tests.policy_builders import KEYED, UNSAFE, arrival, ended, make_gateway, of_type, sent


def test_a_hedge_given_up_leaves_the_first_attempt_its_answer():
    gateway = make_gateway(engines=1, hedging=True)
    (send,) = sent(gateway.step(1.0, [arrival("q")]))
    gateway.scheduler.enqueue(gateway.requests["q"])
    gateway.engines.by_id["e0"].ejected_until = 1e9
    assert not of_type(api.Reject, gateway.step(2000.0, []))  # past the aim: the queued copy is dropped, no more
    assert not gateway.requests["q"].queued


def test_a_query_far_behind_by_its_note_is_cancelled_once_and_goes_elsewhere():
    gateway = make_gateway(engines=3, cancellation=True, progress_interval_ms=2000.0)
    (send,) = sent(gateway.step(1.0, [arrival("a", left=60000.0)]))
    assert not of_type(api.CancelAttempt, gateway.step(800.0, [api.AttemptProgress("a", 0, 1, 0.5)]))
    (cancel,) = of_type(api.CancelAttempt, gateway.step(900.0, [api.AttemptProgress("a", 0, 1, 0.02)]))
    (again,) = sent(gateway.step(905.0, [ended(send, Outcome.CANCELLED, duration_ms=900.0)]))
    assert cancel.attempt == 0 and again.engine_id != send.engine_id
    assert not of_type(api.CancelAttempt, gateway.step(990.0, [api.AttemptProgress("a", 1, 1, 0.001)]))


def test_unsafe_and_keyed_work_far_behind_is_left_to_run():
    for spec in (UNSAFE, KEYED):
        gateway = make_gateway(spec, engines=3, cancellation=True, progress_interval_ms=2000.0)
        gateway.step(1.0, [arrival("a", spec.name, left=60000.0)])
        assert not of_type(api.CancelAttempt, gateway.step(900.0, [api.AttemptProgress("a", 0, 1, 0.01)]))
