"""How slow engines are known to be."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Outcome
from tests.policy_builders import arrival, ended, make_gateway, of_type, sent


def test_a_jam_shows_in_attempts_in_flight_and_peers_are_told():
    gateway = make_gateway(engines=2, gateway_count=300, peer_messages=True)
    (send,) = sent(gateway.step(1.0, [arrival("q", left=90000.0)]))
    (tell, *_) = of_type(api.SendPeerMessage, gateway.step(4000.0, []))
    assert gateway.engines.by_id[send.engine_id].slowdown > 2
    h = make_gateway(engines=2, gateway_count=300, peer_messages=True, gateway_index=1)
    h.step(5.0, [api.PeerMessage(i, tell.data) for i in range(2, 9)])
    assert round(h.engines.by_id[send.engine_id].slowdown) > 1
    for i in range(10):
        (x,) = sent(h.step(10.0 + i, [arrival(f"q{i}")]))
        assert x.engine_id != send.engine_id
        h.step(10.5 + i, [ended(x, Outcome.SUCCESS)])


def test_quick_errors_mark_an_engine_so_that_others_get_the_work():
    gateway = make_gateway(engines=2, gateway_count=100)
    (bad,) = sent(gateway.step(1.0, [arrival("a")]))
    actions = gateway.step(2.0, [ended(bad, Outcome.ERROR, duration_ms=1.0)])
    for i in range(10):
        (send,) = sent(actions)
        assert send.engine_id != bad.engine_id
        gateway.step(
            10.0 + 20 * i, [ended(send, Outcome.SUCCESS, attempt=0 if i else 1, duration_ms=500.0)]
        )  # the guess: no mark
        actions = gateway.step(20.0 + 20 * i, [arrival(f"q{i}")])
