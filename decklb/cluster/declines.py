"""Which members have declined which duties, and until when. One a kind of duty, owned by its scheduler.

A member declines a duty that it can't do, such as a health check of an engine that it can't reach; it then owns the
duty no more until the hold is over. All members must hold the same declines to find the same owner.
"""

from __future__ import annotations

import math
from collections.abc import Collection

# A decline that ends less than this after the one held is the same one, reckoned by another clock.
SAME_DECLINE_MS = 1000.0


class Declines:
    """Declines in force, by duty and member. Times are local monotonic ms."""

    def __init__(self) -> None:
        self._until: dict[str, dict[str, float]] = {}  # duty -> member -> end of the hold

    def add(self, duty: str, member: str, until: float) -> bool:
        """Hold a decline; true if it was not known."""
        members = self._until.setdefault(duty, {})
        if members.get(member, -math.inf) >= until - SAME_DECLINE_MS:
            return False
        members[member] = until
        return True

    def active(self, now: float) -> dict[str, set[str]]:
        """The members that decline each duty now; declines that are over are forgotten."""
        for duty, members in list(self._until.items()):
            for member in [member for member, until in members.items() if until <= now]:
                del members[member]
            if not members:
                del self._until[duty]
        return {duty: set(members) for duty, members in self._until.items()}

    def members_for(self, duty: str, now: float) -> set[str]:
        """The members that decline one duty now."""
        return {member for member, until in self._until.get(duty, {}).items() if until > now}

    def of_member(self, member: str, now: float) -> list[tuple[str, float]]:
        """One member's declines, as (duty, ms left of the hold)."""
        return [
            (duty, members[member] - now) for duty, members in self._until.items() if members.get(member, 0.0) > now
        ]

    def forget_members(self, gone: Collection[str]) -> None:
        """Members that are gone own nothing, and come back without a memory: their declines end."""
        for members in self._until.values():
            for name in [name for name in members if name in gone]:
                del members[name]

    def next_expiry(self) -> float:
        """When the first hold ends; infinity for none."""
        return min((until for members in self._until.values() for until in members.values()), default=float("inf"))
