"""What gateways tell one another, and what follows."""

from __future__ import annotations

import pytest

from decklb import interface as api
from tests.policy_builders import fraction, make_gateway, of_type, peer_message


def test_peers_rates_size_this_gateways_fraction_and_garbage_is_ignored():
    gateway = make_gateway(gateway_count=2, peer_messages=True)
    assert fraction(gateway) == 0.5
    gateway.scheduler.queues[""].tenant.arrival_rate_per_s = 30.0
    gateway.step(1.0, [api.PeerMessage(1, b"\x00"), api.PeerMessage(9, peer_message(5.0))])
    assert fraction(gateway) == 0.5
    gateway.step(2.0, [api.PeerMessage(1, peer_message(10.0))])
    assert fraction(gateway) == pytest.approx(0.75)


def test_a_peer_that_fell_silent_while_others_speak_leaves_its_fraction():
    gateway = make_gateway(gateway_count=3, peer_messages=True)
    gateway.scheduler.queues[""].tenant.arrival_rate_per_s = 10.0
    gateway.step(1.0, [api.PeerMessage(i, peer_message(10.0)) for i in (1, 2)])
    assert fraction(gateway) == pytest.approx(1 / 3)
    gateway.scheduler.queues[""].tenant.arrival_rate_per_s = 10.0
    gateway.step(4000.0, [api.PeerMessage(1, peer_message(gateway.scheduler.queues[""].tenant.arrival_rate_per_s))])
    gateway.gossip.peer_rates[1] = [gateway.scheduler.queues[""].tenant.arrival_rate_per_s]
    gateway.gossip.last_message_at[1] = 4000.0
    assert fraction(gateway) == pytest.approx(1 / 2)
    gateway.now = 9000.0  # with no fresh word at all the part is even again
    assert fraction(gateway) == pytest.approx(1 / 3)


def test_messages_go_to_all_peers_when_few_and_to_seven_by_chance_when_many():
    for fronts, peers in ((8, 1), (9, 7), (300, 7)):
        gateway = make_gateway(gateway_count=fronts, peer_messages=True)
        tells = of_type(api.SendPeerMessage, gateway.step(2000.0, []))
        assert len(tells) == peers and all(len(t.data) <= 256 and t.peer != 0 for t in tells)
        assert (tells[0].peer == -1) is (fronts == 8)


def test_slowdown_and_memory_needs_are_pooled_and_odd_messages_are_ignored():
    gateway = make_gateway(gateway_count=300, peer_messages=True)
    gateway.step(
        1.0, [api.PeerMessage(5, peer_message(1.0, 9.0, 3.0)), api.PeerMessage(0, peer_message(1.0, 9.0, 7.0))]
    )
    assert 1.0 < gateway.limit.slowdown < 1.5 and gateway.statistics["safe"].memory_ratios == [3.0]
    gateway.step(2.0, [api.PeerMessage(5, peer_message(1.0, 9.0)[:-1]), api.PeerMessage(6, peer_message(float("nan")))])
    assert set(gateway.gossip.peer_rates) == {5}
