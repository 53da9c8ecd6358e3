"""Ordering by key and hold-downs."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Outcome
from tests.policy_builders import SERIAL, arrival, ended, make_gateway, sent


def test_a_request_waits_for_the_previous_one_of_its_key_and_the_hold_down():
    gateway = make_gateway(SERIAL, key_hold_down_ms=300.0, max_attempts=1)
    batch = [arrival(i, "serial", 9000.0, ordering_key="k") for i in ("1", "2")]
    (send,) = sent(gateway.step(1.0, batch))
    assert send.request_id == "1"
    assert not sent(gateway.step(100.0, [ended(send, Outcome.CONNECTION_RESET)]))
    assert not sent(gateway.step(390.0, []))
    (second,) = sent(gateway.step(420.0, []))
    assert second.request_id == "2"


def test_a_key_stays_blocked_while_an_abandoned_request_is_in_flight():
    gateway = make_gateway(SERIAL)
    (send,) = sent(gateway.step(1.0, [arrival(i, "serial", 9000.0, ordering_key="k") for i in ("1", "2")]))
    assert not sent(gateway.step(50.0, [api.ClientGone("1")]))
    assert [start.request_id for start in sent(gateway.step(90.0, [ended(send, Outcome.SUCCESS)]))] == ["2"]


def test_expired_hold_downs_are_deleted():
    """Keys rarely recur: each uncertain end once left an entry for its key for good."""
    gateway = make_gateway(SERIAL, engines=2, key_hold_down_ms=300.0)
    (send,) = sent(gateway.step(1.0, [arrival("a", "serial", ordering_key="k")]))
    gateway.step(2.0, [ended(send, Outcome.CANCELLED, finished=True)])
    assert "k" in gateway.keys.held_until
    gateway.step(500.0, [])
    assert not gateway.keys.held_until


def test_a_key_is_held_down_after_every_attempt_and_again_if_its_end_is_uncertain():
    """Incident 1: an engine may count an attempt as interrupted although its answer was read completely."""
    for uncertain_at, expected in ((None, 407.0), (100.0, 407.0), (250.0, 555.0), (450.0, 407.0)):
        gateway = make_gateway(SERIAL, engines=2, key_hold_down_ms=300.0)
        (send,) = sent(
            gateway.step(1.0, [arrival("a", "serial", ordering_key="k"), arrival("b", "serial", ordering_key="k")])
        )
        gateway.step(102.0, [ended(send, Outcome.SUCCESS)])
        now, started_at = 102.0, None
        while started_at is None and now < 2000.0:
            now += 1.0
            started_at = (
                now if sent(gateway.step(now, [api.CompletionUncertain("k")] if now == uncertain_at else [])) else None
            )
        assert started_at == expected, uncertain_at


def test_there_is_no_hold_down_after_an_authoritative_outcome():
    gateway = make_gateway(SERIAL, engines=2, key_hold_down_ms=300.0)
    (send,) = sent(
        gateway.step(1.0, [arrival("a", "serial", ordering_key="k"), arrival("b", "serial", ordering_key="k")])
    )
    assert [
        start.request_id for start in sent(gateway.step(102.0, [ended(send, Outcome.SUCCESS, authoritative=True)]))
    ] == ["b"]


def test_there_is_no_hold_down_if_none_is_configured():
    gateway = make_gateway(SERIAL, engines=2)
    (send,) = sent(
        gateway.step(1.0, [arrival("a", "serial", ordering_key="k"), arrival("b", "serial", ordering_key="k")])
    )
    assert [start.request_id for start in sent(gateway.step(102.0, [ended(send, Outcome.SUCCESS)]))] == ["b"]
