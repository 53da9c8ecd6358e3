"""What is still to be told: each piece goes out a bounded number of times, the least told first."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Hashable

MISSES = 4
MOST_NEWS = 20_000  # pieces kept; of more, the most told go


def times(retransmit: int, members: int) -> int:
    """How often each member tells a piece.

    Spread at random, a member misses a piece that each tells k times with probability e^-k: k has to grow with the
    logarithm of the members (SWIM, section 4.1), from a floor that keeps a refutation from being missed at 10% loss.
    With 4 * log10(n), 2.7% missed one among nine, and live members died of it.
    """
    return retransmit + math.ceil(1.5 * math.log(members + 1))


class News:
    """The queue of one member. A newer piece on the same subject takes the place of the older."""

    def __init__(self) -> None:
        self._by_told: list[OrderedDict[Hashable, bytes]] = [OrderedDict()]
        self._told: dict[Hashable, int] = {}

    def __len__(self) -> int:
        return len(self._told)

    def add(self, subject: Hashable, piece: bytes) -> None:
        """Tell this from now on."""
        self.drop(subject)
        self._by_told[0][subject] = piece
        self._told[subject] = 0
        if len(self._told) > MOST_NEWS:
            most = next(level for level in reversed(self._by_told) if level)
            self.drop(next(iter(most)))

    def drop(self, subject: Hashable) -> None:
        """No longer news."""
        told = self._told.pop(subject, None)
        if told is not None:
            del self._by_told[told][subject]

    def take(self, room: int, most: int) -> list[bytes]:
        """Pieces for one datagram of so many bytes; what has been told `most` times is dropped."""
        taken: list[tuple[int, Hashable]] = []
        out: list[bytes] = []
        misses = 0  # pieces that did not fit; the whole queue is not searched for one that does
        for told, level in enumerate(self._by_told):
            for subject, piece in level.items():
                if len(piece) <= room:
                    room -= len(piece)
                    out.append(piece)
                    taken.append((told, subject))
                else:
                    misses += 1
                if misses > MISSES:
                    break
            if misses > MISSES:
                break
        for told, subject in taken:
            piece = self._by_told[told].pop(subject)
            if told + 1 >= most:
                del self._told[subject]
                continue
            if told + 1 >= len(self._by_told):
                self._by_told.append(OrderedDict())
            self._by_told[told + 1][subject] = piece
            self._told[subject] = told + 1
        return out
