"""Hedged requests and the cancellation of runaway queries."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Outcome
from tests.policy_builders import KEYED, UNSAFE, arrival, ended, make_gateway, of_type, sent


def test_dropping_a_queued_hedge_leaves_the_first_attempt_running():
    gateway = make_gateway(engines=1, hedging=True)
    (send,) = sent(gateway.step(1.0, [arrival("q")]))
    gateway.scheduler.enqueue(gateway.requests["q"])
    gateway.engines.by_id["e0"].ejected_until = 1e9
    assert not of_type(api.Reject, gateway.step(2000.0, []))  # past the objective only the queued hedge is dropped
    assert not gateway.requests["q"].queued


def test_a_runaway_query_is_cancelled_once_and_retried_elsewhere():
    gateway = make_gateway(engines=3, cancellation=True, progress_interval_ms=2000.0)
    (send,) = sent(gateway.step(1.0, [arrival("a", time_left_ms=60000.0)]))
    assert not of_type(api.CancelAttempt, gateway.step(800.0, [api.AttemptProgress("a", 0, 1, 0.5)]))
    (cancel,) = of_type(api.CancelAttempt, gateway.step(900.0, [api.AttemptProgress("a", 0, 1, 0.02)]))
    (retry,) = sent(gateway.step(905.0, [ended(send, Outcome.CANCELLED, duration_ms=900.0)]))
    assert cancel.attempt == 0 and retry.engine_id != send.engine_id
    assert not of_type(api.CancelAttempt, gateway.step(990.0, [api.AttemptProgress("a", 1, 1, 0.001)]))


def test_unsafe_and_keyed_runaway_queries_are_not_cancelled():
    for spec in (UNSAFE, KEYED):
        gateway = make_gateway(spec, engines=3, cancellation=True, progress_interval_ms=2000.0)
        gateway.step(1.0, [arrival("a", spec.name, time_left_ms=60000.0)])
        assert not of_type(api.CancelAttempt, gateway.step(900.0, [api.AttemptProgress("a", 0, 1, 0.01)]))
