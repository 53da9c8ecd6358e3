"""A set of names with random sampling in constant time. `member_table` has one of live and one of dead members."""

from __future__ import annotations

import random


class RandomSet:
    """A set that also keeps its items in a list.

    Attributes:
        items: the items, in an order that depends on the history of additions and removals; read-only for callers.
    """

    def __init__(self) -> None:
        self.items: list[str] = []
        self._index: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, item: str) -> bool:
        return item in self._index

    def add(self, item: str) -> None:
        """Add an item unless it is in the set."""
        if item not in self._index:
            self._index[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: str) -> None:
        """Remove an item if it is in the set; the last item takes its position in the list."""
        index = self._index.pop(item, None)
        if index is not None:
            last = self.items.pop()
            if last != item:
                self.items[index] = last
                self._index[last] = index

    def sample(self, rng: random.Random, count: int) -> list[str]:
        """Return `count` different items at random, or all if there are fewer."""
        return rng.sample(self.items, min(count, len(self.items)))
