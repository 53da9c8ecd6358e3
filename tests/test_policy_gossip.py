"""Messages between gateways and their effects."""

from __future__ import annotations

import pytest

from decklb import interface as api
from tests.policy_builders import make_gateway, of_type, peer_message, traffic_fraction


def test_peer_rates_determine_the_fraction_and_malformed_messages_are_ignored():
    gateway = make_gateway(gateway_count=2, peer_messages=True)
    assert traffic_fraction(gateway) == 0.5
    gateway.scheduler.queues[""].tenant.arrival_rate_per_s = 30.0
    gateway.step(1.0, [api.PeerMessage(1, b"\x00"), api.PeerMessage(9, peer_message(5.0))])
    assert traffic_fraction(gateway) == 0.5
    gateway.step(2.0, [api.PeerMessage(1, peer_message(10.0))])
    assert traffic_fraction(gateway) == pytest.approx(0.75)


def test_a_silent_peer_leaves_its_fraction_to_the_others():
    gateway = make_gateway(gateway_count=3, peer_messages=True)
    gateway.scheduler.queues[""].tenant.arrival_rate_per_s = 10.0
    gateway.step(1.0, [api.PeerMessage(i, peer_message(10.0)) for i in (1, 2)])
    assert traffic_fraction(gateway) == pytest.approx(1 / 3)
    gateway.scheduler.queues[""].tenant.arrival_rate_per_s = 10.0
    gateway.step(4000.0, [api.PeerMessage(1, peer_message(gateway.scheduler.queues[""].tenant.arrival_rate_per_s))])
    gateway.gossip.peer_rates[1] = [gateway.scheduler.queues[""].tenant.arrival_rate_per_s]
    gateway.gossip.last_message_at[1] = 4000.0
    assert traffic_fraction(gateway) == pytest.approx(1 / 2)
    gateway.now = 9000.0  # without any recent message the fraction is even again
    assert traffic_fraction(gateway) == pytest.approx(1 / 3)


def test_messages_go_to_all_of_few_peers_and_to_seven_random_ones_of_many():
    for gateway_count, message_count in ((8, 1), (9, 7), (300, 7)):
        gateway = make_gateway(gateway_count=gateway_count, peer_messages=True)
        messages = of_type(api.SendPeerMessage, gateway.step(2000.0, []))
        assert len(messages) == message_count and all(
            len(message.data) <= 256 and message.peer != 0 for message in messages
        )
        assert (messages[0].peer == -1) is (gateway_count == 8)


def test_slowdown_and_memory_ratios_of_peers_are_used_and_invalid_messages_ignored():
    gateway = make_gateway(gateway_count=300, peer_messages=True)
    gateway.step(
        1.0, [api.PeerMessage(5, peer_message(1.0, 9.0, 3.0)), api.PeerMessage(0, peer_message(1.0, 9.0, 7.0))]
    )
    assert 1.0 < gateway.limit.slowdown < 1.5 and gateway.statistics["safe"].memory_ratios == [3.0]
    gateway.step(2.0, [api.PeerMessage(5, peer_message(1.0, 9.0)[:-1]), api.PeerMessage(6, peer_message(float("nan")))])
    assert set(gateway.gossip.peer_rates) == {5}
