"""Gossip between gateways: to whom messages go, and which fraction of the traffic this gateway has.

Messages go to all peers if there are few, else to a few at random, as in epidemic protocols (Demers et al.):
the number of messages from all to all grows with the square of the gateways. A peer that falls silent while
others are heard counts as down. State: the last arrival rates of each peer and the fractions, which the
concurrency limit and the tenants' quotas use. Called by the gateway every second.
"""

from __future__ import annotations

import random

from decklb.interface import SendPeerMessage, Settings
from decklb.policy.constants import CONTROL_PERIOD_MS
from decklb.policy.peer_messages import PeerMessage

FANOUT = 7  # number of peers that get each message
# Without a message for this long a peer counts as down: three messages in a row are unlikely to be lost.
PEER_SILENCE_MS = 0.7 * CONTROL_PERIOD_MS
ALL_PEERS = -1  # peer index that addresses all peers


class PeerGossip:
    """Arrival rates of the peers, and this gateway's fraction of the traffic.

    Attributes:
        enabled: Whether gateways may exchange messages and there is more than one.
        peer_rates: Arrivals per second of each listed tenant, by peer.
        last_message_at: Time in ms of the last message, by peer.
        fraction: This gateway's fraction of all traffic.
        tenant_fractions: This gateway's fraction of the traffic of each listed tenant.
    """

    def __init__(self, settings: Settings, class_count: int) -> None:
        self._gateway_index = settings.gateway_index
        self._gateway_count = settings.gateway_count
        self._tenant_count = len(settings.tenants or [""])
        self._class_count = class_count
        self.enabled = settings.peer_messages and settings.gateway_count > 1
        self.peer_rates: dict[int, list[float]] = {}
        self.last_message_at: dict[int, float] = {}
        self.fraction = 1.0 / settings.gateway_count
        self.tenant_fractions = [self.fraction] * self._tenant_count

    def receive(self, sender: int, data: bytes, now: float) -> PeerMessage | None:
        """Decode a message and record its arrival rates; None if it is malformed or not from a peer."""
        message = PeerMessage.unpack(data, self._tenant_count, self._class_count)
        if message is None or sender == self._gateway_index or not 0 <= sender < self._gateway_count:
            return None
        self.peer_rates[sender] = message.arrival_rates
        self.last_message_at[sender] = now
        return message

    def update_fractions(self, own_rates: list[float], now: float) -> None:
        """Recompute the fractions from the arrival rates of this gateway and its live peers.

        Gateways without a recent message are assumed to have the mean rates.
        """
        live_peers = [peer for peer, at in self.last_message_at.items() if now - at < PEER_SILENCE_MS]
        peer_rates_list = [self.peer_rates[peer] for peer in live_peers]
        is_all_to_all = self._gateway_count <= FANOUT + 1  # otherwise a peer may be silent by chance
        silent_count = len(self.peer_rates) - len(peer_rates_list) if peer_rates_list and is_all_to_all else 0
        even_fraction = 1.0 / (self._gateway_count - silent_count)
        means = [sum(rates) / len(rates) for rates in zip(own_rates, *peer_rates_list, strict=True)]
        self.fraction = even_fraction * (sum(own_rates) / sum(means) if sum(own_rates) > 0 else 1.0)
        self.tenant_fractions = [
            even_fraction * (own_rate / mean if own_rate > 0 else 1.0)
            for own_rate, mean in zip(own_rates, means, strict=True)
        ]

    def build_messages(self, message: PeerMessage, rng: random.Random) -> list[SendPeerMessage]:
        """Return the actions that send a message to the peers chosen for it."""
        data = message.pack()
        peers = [peer for peer in range(self._gateway_count) if peer != self._gateway_index]
        targets = [ALL_PEERS] if len(peers) <= FANOUT else rng.sample(peers, FANOUT)
        return [SendPeerMessage(data, peer) for peer in targets]
