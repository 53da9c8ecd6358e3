"""Gossip between gateways: who is told, and the fraction of the traffic that is this gateway's.

Messages go to all peers where they are few, else to a random few, as in epidemic protocols (Demers et al.):
all-to-all grows with the square. A peer that falls silent while others speak counts as down. State: the
last rates of each peer and the fractions, which the concurrency limit and tenants' quotas follow. Called by
the gateway each second.
"""

from __future__ import annotations

import random

from decklb.interface import SendPeerMessage, Settings
from decklb.policy.constants import CONTROL_PERIOD_MS
from decklb.policy.peer_messages import PeerMessage

FANOUT = 7  # peers told each time
PEER_SILENCE_MS = 0.7 * CONTROL_PERIOD_MS  # then a peer is down: three messages in a row are rarely lost
TO_ALL = -1  # peer number of a message to all


class PeerGossip:
    """Peers' arrival rates and this gateway's fraction of the traffic."""

    def __init__(self, settings: Settings, classes: int) -> None:
        self._me = settings.gateway_index
        self._gateways = settings.gateway_count
        self._tenants = len(settings.tenants or [""])
        self._classes = classes
        self.enabled = settings.peer_messages and settings.gateway_count > 1
        self.peer_rates: dict[int, list[float]] = {}  # by peer: arrivals a second of each listed tenant
        self.last_message_at: dict[int, float] = {}  # by peer: ms
        self.fraction = 1.0 / settings.gateway_count  # of all traffic
        self.tenant_fractions = [self.fraction] * self._tenants  # of each listed tenant's traffic

    def receive(self, sender: int, data: bytes, now: float) -> PeerMessage | None:
        """Take a message; None for one that can't be read or is of no peer."""
        message = PeerMessage.read(data, self._tenants, self._classes)
        if message is None or sender == self._me or not 0 <= sender < self._gateways:
            return None
        self.peer_rates[sender] = message.arrival_rates
        self.last_message_at[sender] = now
        return message

    def update_fractions(self, own: list[float], now: float) -> None:
        """Compare own arrival rates with those of the peers; those not heard of carry the mean."""
        alive = [peer for peer, at in self.last_message_at.items() if now - at < PEER_SILENCE_MS]
        fresh = [self.peer_rates[peer] for peer in alive]
        told_by_all = self._gateways <= FANOUT + 1  # else silence is chance
        silent = len(self.peer_rates) - len(fresh) if fresh and told_by_all else 0
        even = 1.0 / (self._gateways - silent)
        means = [sum(rates) / len(rates) for rates in zip(own, *fresh, strict=True)]
        self.fraction = even * (sum(own) / sum(means) if sum(own) > 0 else 1.0)
        self.tenant_fractions = [
            even * (rate / mean if rate > 0 else 1.0) for rate, mean in zip(own, means, strict=True)
        ]

    def address(self, message: PeerMessage, rng: random.Random) -> list[SendPeerMessage]:
        """The messages to send."""
        data = message.pack()
        peers = [peer for peer in range(self._gateways) if peer != self._me]
        targets = [TO_ALL] if len(peers) <= FANOUT else rng.sample(peers, FANOUT)
        return [SendPeerMessage(data, peer) for peer in targets]
