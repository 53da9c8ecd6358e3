"""Queue of pending broadcasts: each is sent a limited number of times, and those sent least often go first.

Described in SWIM, section 4.1, and known from HashiCorp memberlist as the transmit-limited queue. `gossip` owns the
queue and fills datagrams from it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable

# Number of broadcasts too large for the rest of a datagram after which the search for a smaller one stops.
MAX_OVERSIZED = 4

# Maximum length of the queue; beyond it the broadcast sent most often is dropped.
MAX_BROADCASTS = 20_000


def transmit_limit(retransmit_base: int, members: int) -> int:
    """Return how many times each member sends a broadcast.

    If each member sends a broadcast k times to random receivers, a member misses it with probability e^-k. So k grows
    with the logarithm of the number of members (SWIM, section 4.1), and `retransmit_base` is added so that refutations
    arrive in spite of 10% packet loss. With k = 4 * log10(n) and nine members, 2.7% of the members missed a broadcast,
    and live members were declared dead.
    """
    return retransmit_base + math.ceil(1.5 * math.log(members + 1))


class BroadcastQueue:
    """The queue of one member. A newer broadcast on a subject replaces the older one, with its count reset to 0."""

    def __init__(self) -> None:
        self._by_transmits: list[OrderedDict[Hashable, bytes]] = [OrderedDict()]  # index: number of transmissions
        self._transmits: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._transmits)

    def add(self, subject: Hashable, message: bytes) -> None:
        """Add an encoded message, in place of an older one on the same subject."""
        self.drop(subject)
        self._by_transmits[0][subject] = message
        self._transmits[subject] = 0
        if len(self._transmits) > MAX_BROADCASTS:
            most_sent = next(level for level in reversed(self._by_transmits) if level)
            self.drop(next(iter(most_sent)))

    def drop(self, subject: Hashable) -> None:
        """Remove the broadcast on a subject, if there is one."""
        transmits = self._transmits.pop(subject, None)
        if transmits is not None:
            del self._by_transmits[transmits][subject]

    def take(self, capacity: int, limit: int) -> list[bytes]:
        """Return the messages for one datagram and count them as sent.

        Args:
            capacity: bytes left in the datagram.
            limit: number of transmissions after which a broadcast is dropped; see `transmit_limit`.
        """
        taken = self._select(capacity)
        return [self._count_transmit(transmits, subject, limit) for transmits, subject in taken]

    def _select(self, capacity: int) -> list[tuple[int, Hashable]]:
        """Return the broadcasts that fit, as (number of transmissions, subject), without searching the whole queue."""
        selected: list[tuple[int, Hashable]] = []
        oversized = 0
        for transmits, level in enumerate(self._by_transmits):
            for subject, message in level.items():
                if len(message) <= capacity:
                    capacity -= len(message)
                    selected.append((transmits, subject))
                else:
                    oversized += 1
                if oversized > MAX_OVERSIZED:
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
