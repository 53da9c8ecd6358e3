"""Attempts whose outcome never arrives."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Outcome
from tests.policy_builders import arrival, ended, make_gateway, of_type, sent


def gateway_with_losses(lost_count, **overrides):
    """Build a gateway with a usual run time of 100 ms and `lost_count` lost attempts.

    Returns the gateway, an attempt that has been in flight for long while its engine answered another, and the actions
    since that answer.
    """
    gateway = make_gateway(engines=1, gateway_count=1, **overrides)
    for i in range(30):
        (send,) = sent(gateway.step(i * 200.0, [arrival(f"w{i}")]))
        gateway.step(i * 200.0 + 100, [ended(send, Outcome.SUCCESS)])
    for i in range(lost_count):  # never answered, while the engine answered other attempts
        (send, other) = sent(gateway.step(7000.0 + i * 10, [arrival(f"l{i}"), arrival(f"o{i}")]))
        gateway.step(7005.0 + i * 10, [ended(other, Outcome.SUCCESS)])
        gateway.step(7006.0 + i * 10, [ended(send, Outcome.TIMED_OUT, duration_ms=5000.0)])
    (send,) = sent(gateway.step(9000.0, [arrival("slow")]))
    (other,) = sent(gateway.step(9200.0, [arrival("quick")]))
    return gateway, send, gateway.step(9300.0, [ended(other, Outcome.SUCCESS)]) + gateway.step(9700.0, [])


def test_at_a_high_loss_rate_an_overdue_attempt_is_hedged_and_frees_its_threads():
    gateway, send, actions = gateway_with_losses(6, hedging=True)
    assert [a.request_id for a in sent(actions)] == ["slow"] and gateway.engines.by_id["e0"].threads == 1
    gateway, send, actions = gateway_with_losses(0, hedging=True)
    assert not sent(actions) and gateway.engines.by_id["e0"].threads == 1
    assert len(gateway.requests["slow"].attempts) == 1


def test_without_hedging_a_lost_attempt_is_cancelled_then_retried():
    gateway, send, actions = gateway_with_losses(6, cancellation=True)
    assert of_type(api.CancelAttempt, actions) == [api.CancelAttempt("slow", 0)] and not sent(actions)
    assert [a.request_id for a in sent(gateway.step(9705.0, [ended(send, Outcome.CANCELLED)]))] == ["slow"]
    gateway, send, actions = gateway_with_losses(6)
    assert not of_type(api.CancelAttempt, actions) + sent(actions)


def test_missing_progress_reports_distinguish_a_lost_attempt_from_a_long_one():
    for has_report in (False, True):
        gateway = make_gateway(engines=1, progress_interval_ms=100.0, cancellation=True)
        (send,) = sent(gateway.step(1.0, [arrival("slow")]))
        (other,) = sent(gateway.step(200.0, [arrival("quick")]))
        gateway.step(210.0, [ended(other, Outcome.SUCCESS)] + [api.AttemptProgress("slow", 0, 1, 0.1)] * has_report)
        assert bool(of_type(api.CancelAttempt, gateway.step(260.0, []))) is not has_report


def test_an_attempt_whose_progress_reports_stop_is_presumed_lost():
    gateway = make_gateway(engines=1, progress_interval_ms=100.0, cancellation=True)
    gateway.step(1.0, [arrival("lost")])
    (other,) = sent(gateway.step(2.0, [arrival("quick")]))
    for at in (100.0, 200.0, 300.0):
        assert not of_type(api.CancelAttempt, gateway.step(at, [api.AttemptProgress("lost", 0, 1, 0.1 + at / 1000)]))
    gateway.step(480.0, [ended(other, Outcome.SUCCESS, duration_ms=470.0)])
    assert of_type(api.CancelAttempt, gateway.step(560.0, []))
