"""Ejection of engines and their readmission."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Outcome, Phase
from tests.policy_builders import arrival, ended, endpoint, make_gateway, of_type, sent


def test_a_failed_engine_is_ejected_then_tried_once():
    gateway = make_gateway(engines=2)
    first = {send.engine_id: send for send in sent(gateway.step(1.0, [arrival(str(i)) for i in range(4)]))}
    gateway.step(10.0, [ended(first["e0"], Outcome.UNREACHABLE)])
    assert {send.engine_id for send in sent(gateway.step(11.0, [arrival(f"a{i}") for i in range(6)]))} == {"e1"}
    later = [send.engine_id for send in sent(gateway.step(5000.0, [arrival(f"b{i}") for i in range(6)]))]
    assert later.count("e0") == 1


def test_a_single_reset_ejects_no_engine_but_resetting_all_in_flight_does():
    gateway = make_gateway(engines=2)
    sends = [send for send in sent(gateway.step(1.0, [arrival(str(i)) for i in range(6)])) if send.engine_id == "e0"]
    gateway.step(10.0, [ended(sends[0], Outcome.CONNECTION_RESET)])
    assert "e0" in {send.engine_id for send in sent(gateway.step(11.0, [arrival(f"a{i}") for i in range(2)]))}
    gateway = make_gateway(engines=2)
    sends = [send for send in sent(gateway.step(1.0, [arrival(str(i)) for i in range(6)])) if send.engine_id == "e0"]
    gateway.step(10.0, [ended(send, Outcome.CONNECTION_RESET) for send in sends])
    assert {send.engine_id for send in sent(gateway.step(11.0, [arrival(f"a{i}") for i in range(2)]))} == {"e1"}


def test_an_engine_with_errors_of_its_own_is_ejected_and_readmitted_by_a_trial():
    """Without ejection an engine whose quick errors leave it idle gets most requests and uses up the retry budget."""
    gateway, now, attempt_count = make_gateway(engines=2, retry_budget_floor=100.0, retry_budget_ratio=0.0), 2.0, 0
    first = sent(gateway.step(1.0, [arrival(f"f{i}") for i in range(8)]))
    # The attempts still in flight keep e1 the busier one.
    gateway.step(2.0, [ended(send, Outcome.SUCCESS) for send in first if send.engine_id == "e0"])
    for i in range(40):
        now += 20.0
        (send,) = sent(gateway.step(now, [arrival(f"q{i}")]))
        if failed := send.engine_id == "e0":
            attempt_count += 1
            (send,) = sent(gateway.step(now + 1, [ended(send, Outcome.ERROR, duration_ms=1.0)]))
        gateway.step(now + 2, [ended(send, Outcome.SUCCESS, attempt=int(failed))])
    assert 4 <= attempt_count <= 6
    while send.engine_id == "e1":
        now += 20.0
        (send,) = sent(gateway.step(now, [arrival(f"t{now}")]))
        gateway.step(now + 1, [ended(send, Outcome.SUCCESS)])
    assert now < 3000.0 and not gateway.engines.by_id["e0"].on_trial


def test_a_request_that_fails_everywhere_ejects_no_engine_and_is_tried_twice():
    gateway, now = make_gateway(engines=3), 0.0
    for i in range(30):
        now += 20.0
        actions, sends = gateway.step(now, [arrival(f"q{i}")]), 0
        while sent(actions):
            (send,) = sent(actions)
            actions, sends = (
                gateway.step(now + sends + 1, [ended(send, Outcome.ERROR, attempt=sends, duration_ms=1.0)]),
                sends + 1,
            )
        assert sends == 2 and len(of_type(api.Reject, actions)) == 1
    assert not any(engine.on_trial for engine in gateway.engines.up())


def test_an_engine_that_answers_full_is_ejected():
    """An engine that answered 'full' to every request was tried again 160 times per second (c225a8ac)."""
    gateway, now, attempt_count = make_gateway(engines=2, retry_budget_floor=100.0, retry_budget_ratio=0.0), 2.0, 0
    first = sent(gateway.step(1.0, [arrival(f"f{i}") for i in range(8)]))
    gateway.step(2.0, [ended(send, Outcome.SUCCESS) for send in first if send.engine_id == "e0"])
    for i in range(40):
        now += 20.0
        (send,) = sent(gateway.step(now, [arrival(f"q{i}")]))
        if full := send.engine_id == "e0":
            attempt_count += 1
            (send,) = sent(gateway.step(now + 1, [ended(send, Outcome.OVERLOADED, duration_ms=1.0)]))
        gateway.step(now + 2, [ended(send, Outcome.SUCCESS, attempt=int(full))])
    assert 4 <= attempt_count <= 6


def test_a_failed_health_check_ejects_an_engine_and_a_successful_one_readmits_none():
    gateway = make_gateway(engines=2)
    gateway.step(
        1.0,
        [
            api.HealthCheckResult("e0", Outcome.UNREACHABLE, 0.0),
            api.HealthCheckResult("unknown", Outcome.UNREACHABLE, 0.0),
        ],
    )
    assert {send.engine_id for send in sent(gateway.step(2.0, [arrival(str(i)) for i in range(6)]))} == {"e1"}
    gateway.step(3.0, [api.EndpointsUpdated([endpoint("e0", phase=Phase.DRAINING), endpoint("e1")], True)])
    actions = gateway.step(2000.0, [api.HealthCheckResult("e0", Outcome.SUCCESS, 1.0), arrival("late")])
    assert "e0" not in {send.engine_id for send in sent(actions)}
