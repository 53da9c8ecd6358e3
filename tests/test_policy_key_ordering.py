"""Order by key and hold-downs."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Outcome
from tests.policy_builders import SERIAL, arrival, ended, make_gateway, sent


def test_order_by_key_waits_for_predecessors_attempts_and_hold_down():
    gateway = make_gateway(SERIAL, key_hold_down_ms=300.0, max_attempts=1)
    batch = [arrival(i, "serial", 9000.0, ordering_key="k") for i in ("1", "2")]
    (send,) = sent(gateway.step(1.0, batch))
    assert send.request_id == "1"
    assert not sent(gateway.step(100.0, [ended(send, Outcome.CONNECTION_RESET)]))
    assert not sent(gateway.step(390.0, []))
    (second,) = sent(gateway.step(420.0, []))
    assert second.request_id == "2"


def test_order_holds_the_key_while_an_abandoned_request_is_in_flight():
    gateway = make_gateway(SERIAL)
    (send,) = sent(gateway.step(1.0, [arrival(i, "serial", 9000.0, ordering_key="k") for i in ("1", "2")]))
    assert not sent(gateway.step(50.0, [api.ClientGone("1")]))
    assert [x.request_id for x in sent(gateway.step(90.0, [ended(send, Outcome.SUCCESS)]))] == ["2"]


def test_hold_downs_that_are_over_are_forgotten():
    """Keys are always new: each end in doubt left its key behind for good."""
    gateway = make_gateway(SERIAL, engines=2, key_hold_down_ms=300.0)
    (send,) = sent(gateway.step(1.0, [arrival("a", "serial", ordering_key="k")]))
    gateway.step(2.0, [ended(send, Outcome.CANCELLED, finished=True)])
    assert "k" in gateway.keys.held_until
    gateway.step(500.0, [])
    assert not gateway.keys.held_until


def test_a_key_is_held_down_after_every_end_and_anew_after_an_uncertain_one():
    """Incident 1: an engine may count an attempt as cut off whose answer was read whole."""
    for doubted, until in ((None, 407.0), (100.0, 407.0), (250.0, 555.0), (450.0, 407.0)):
        gateway = make_gateway(SERIAL, engines=2, key_hold_down_ms=300.0)
        (send,) = sent(
            gateway.step(1.0, [arrival("a", "serial", ordering_key="k"), arrival("b", "serial", ordering_key="k")])
        )
        gateway.step(102.0, [ended(send, Outcome.SUCCESS)])
        now, began = 102.0, None
        while began is None and now < 2000.0:
            now += 1.0
            began = now if sent(gateway.step(now, [api.CompletionUncertain("k")] if now == doubted else [])) else None
        assert began == until, doubted


def test_a_key_goes_on_at_once_where_its_engine_vouches_for_the_end():
    gateway = make_gateway(SERIAL, engines=2, key_hold_down_ms=300.0)
    (send,) = sent(
        gateway.step(1.0, [arrival("a", "serial", ordering_key="k"), arrival("b", "serial", ordering_key="k")])
    )
    assert [x.request_id for x in sent(gateway.step(102.0, [ended(send, Outcome.SUCCESS, authoritative=True)]))] == [
        "b"
    ]


def test_where_no_hold_down_is_asked_a_key_goes_on_at_once():
    gateway = make_gateway(SERIAL, engines=2)
    (send,) = sent(
        gateway.step(1.0, [arrival("a", "serial", ordering_key="k"), arrival("b", "serial", ordering_key="k")])
    )
    assert [x.request_id for x in sent(gateway.step(102.0, [ended(send, Outcome.SUCCESS)]))] == ["b"]
