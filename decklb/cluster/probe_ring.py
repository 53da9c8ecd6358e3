"""The order in which the failure detector probes members: a randomized round robin (SWIM, section 4.3)."""

from __future__ import annotations

import random

from decklb.cluster.member import Member
from decklb.cluster.member_table import MemberTable


class ProbeRing:
    """The members left to probe in the current round, in reverse order. Each member is probed within two rounds."""

    def __init__(self, table: MemberTable, rng: random.Random) -> None:
        self.table = table
        self.rng = rng
        self._names: list[str] = []

    def insert(self, name: str) -> None:
        """Insert a new member at a random position of the current round."""
        self._names.insert(self.rng.randint(0, len(self._names)), name)

    def repeat(self, name: str) -> None:
        """Make this member the next one to probe."""
        self._names.append(name)

    def next(self) -> Member | None:
        """Return the member to probe now; None if there are no other live members."""
        live = self.table.live
        while self._names:
            name = self._names.pop()
            if name in live:
                return self.table.members[name]
        if not live:
            return None
        self._names = list(live.items)
        self.rng.shuffle(self._names)
        return self.table.members[self._names.pop()]
