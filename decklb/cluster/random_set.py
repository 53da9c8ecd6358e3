"""A set of names that can be sampled in constant time. `member_table` keeps its live and dead members in two."""

from __future__ import annotations

import random


class RandomSet:
    """A set with its items in a list.

    Attributes:
        items: in an order that depends on the history of additions and removals; read only.
    """

    def __init__(self) -> None:
        self.items: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, item: str) -> bool:
        return item in self._index

    def add(self, item: str) -> None:
        """Add an item; nothing happens if it is there."""
        if item not in self._index:
            self._index[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: str) -> None:
        """Remove an item, if it is there; the last one takes its place."""
        index = self._index.pop(item, None)
        if index is not None:
            last = self.items.pop()
            if last != item:
                self.items[index] = last
                self._index[last] = index

    def sample(self, rng: random.Random, count: int) -> list[str]:
        """At most `count` different items."""
        return rng.sample(self.items, min(count, len(self.items)))
