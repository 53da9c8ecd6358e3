"""Broadcasts that are still to be gossiped: each is sent a bounded number of times, the least sent first.

SWIM section 4.1; HashiCorp memberlist has it as its transmit-limited queue. Owned by `gossip`, which fills datagrams
from it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable

# Broadcasts that may fail to fit into a datagram before the search for a smaller one ends.
MAX_MISFITS = 4

# Broadcasts kept; beyond that the one sent most often is dropped.
MAX_BROADCASTS = 20_000


def transmit_limit(retransmit_base: int, members: int) -> int:
    """How often each member sends a broadcast.

    Spread at random, a member misses a broadcast that each sends k times with probability e^-k: k has to grow with the
    logarithm of the members (SWIM, section 4.1), from a floor that keeps a refutation from being missed at 10% loss.
    With 4 * log10(n), 2.7% missed one among nine, and live members were declared dead.
    """
    return retransmit_base + math.ceil(1.5 * math.log(members + 1))


class BroadcastQueue:
    """The queue of one member. A newer broadcast on a subject replaces the older one and starts anew."""

    def __init__(self) -> None:
        self._by_transmits: list[OrderedDict[Hashable, bytes]] = [OrderedDict()]  # index: times sent
        self._transmits: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._transmits)

    def add(self, subject: Hashable, message: bytes) -> None:
        """Send this encoded message from now on."""
        self.drop(subject)
        self._by_transmits[0][subject] = message
        self._transmits[subject] = 0
        if len(self._transmits) > MAX_BROADCASTS:
            most_sent = next(level for level in reversed(self._by_transmits) if level)
            self.drop(next(iter(most_sent)))

    def drop(self, subject: Hashable) -> None:
        """Send it no more."""
        transmits = self._transmits.pop(subject, None)
        if transmits is not None:
            del self._by_transmits[transmits][subject]

    def take(self, capacity: int, limit: int) -> list[bytes]:
        """Messages for one datagram.

        Args:
            capacity: bytes left in the datagram.
            limit: transmissions after which a broadcast is dropped; see `transmit_limit`.
        """
        taken = self._select(capacity)
        return [self._count_transmit(transmits, subject, limit) for transmits, subject in taken]

    def _select(self, capacity: int) -> list[tuple[int, Hashable]]:
        """What fits, as (times sent, subject); the whole queue is not searched for one that does."""
        selected: list[tuple[int, Hashable]] = []
        misfits = 0
        for transmits, level in enumerate(self._by_transmits):
            for subject, message in level.items():
                if len(message) <= capacity:
                    capacity -= len(message)
                    selected.append((transmits, subject))
                else:
                    misfits += 1
                if misfits > MAX_MISFITS:
                    return selected
        return selected

    def _count_transmit(self, transmits: int, subject: Hashable, limit: int) -> bytes:
        message = self._by_transmits[transmits].pop(subject)
        transmits += 1
        if transmits >= limit:
            del self._transmits[subject]
            return message
        if transmits >= len(self._by_transmits):
            self._by_transmits.append(OrderedDict())
        self._by_transmits[transmits][subject] = message
        self._transmits[subject] = transmits
        return message
