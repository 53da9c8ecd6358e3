"""How the slowdown of engines is detected."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Outcome
from tests.policy_builders import arrival, ended, make_gateway, of_type, sent


def test_long_running_attempts_raise_the_slowdown_and_peers_are_told():
    gateway = make_gateway(engines=2, gateway_count=300, peer_messages=True)
    (send,) = sent(gateway.step(1.0, [arrival("q", time_left_ms=90000.0)]))
    (message, *_) = of_type(api.SendPeerMessage, gateway.step(4000.0, []))
    assert gateway.engines.by_id[send.engine_id].slowdown > 2
    peer = make_gateway(engines=2, gateway_count=300, peer_messages=True, gateway_index=1)
    peer.step(5.0, [api.PeerMessage(i, message.data) for i in range(2, 9)])
    assert round(peer.engines.by_id[send.engine_id].slowdown) > 1
    for i in range(10):
        (start,) = sent(peer.step(10.0 + i, [arrival(f"q{i}")]))
        assert start.engine_id != send.engine_id
        peer.step(10.5 + i, [ended(start, Outcome.SUCCESS)])


def test_quick_errors_raise_the_slowdown_so_that_other_engines_are_chosen():
    gateway = make_gateway(engines=2, gateway_count=100)
    (failed,) = sent(gateway.step(1.0, [arrival("a")]))
    actions = gateway.step(2.0, [ended(failed, Outcome.ERROR, duration_ms=1.0)])
    for i in range(10):
        (send,) = sent(actions)
        assert send.engine_id != failed.engine_id
        # The duration equals the initial guess: no slowdown.
        gateway.step(10.0 + 20 * i, [ended(send, Outcome.SUCCESS, attempt=0 if i else 1, duration_ms=500.0)])
        actions = gateway.step(20.0 + 20 * i, [arrival(f"q{i}")])
