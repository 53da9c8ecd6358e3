"""Which members have declined which duties, and until when. The scheduler of each kind of duty has one such record.

A member declines a duty that it cannot perform, such as a health check of an engine that it cannot reach. It does not
own the duty until the hold of the decline has ended. Members compute the same owner only if they know the same
declines.
"""

from __future__ import annotations

import math
from collections.abc import Collection

# A report whose hold ends less than this later than the recorded one is about the same decline: the end of a hold is
# computed from the wall clocks of two members, which differ.
SAME_DECLINE_MS = 1000.0


class Declines:
    """Declines in force, by duty and member. Times are local monotonic ms."""

    def __init__(self) -> None:
        self._until: dict[str, dict[str, float]] = {}  # duty -> member -> end of the hold

    def add(self, duty: str, member: str, until: float) -> bool:
        """Record a decline; return whether it was new."""
        members = self._until.setdefault(duty, {})
        if members.get(member, -math.inf) >= until - SAME_DECLINE_MS:
            return False
        members[member] = until
        return True

    def active(self, now: float) -> dict[str, set[str]]:
        """Return the members that currently decline each duty, and remove the declines that have ended."""
        for duty, members in list(self._until.items()):
            for member in [member for member, until in members.items() if until <= now]:
                del members[member]
            if not members:
                del self._until[duty]
        return {duty: set(members) for duty, members in self._until.items()}

    def members_for(self, duty: str, now: float) -> set[str]:
        """Return the members that currently decline one duty."""
        return {member for member, until in self._until.get(duty, {}).items() if until > now}

    def of_member(self, member: str, now: float) -> list[tuple[str, float]]:
        """Return one member's declines, as (duty, remaining ms of the hold)."""
        return [
            (duty, members[member] - now) for duty, members in self._until.items() if members.get(member, 0.0) > now
        ]

    def forget_members(self, gone: Collection[str]) -> None:
        """Remove the declines of members that are gone: these own nothing, and have lost their state if they return."""
        for members in self._until.values():
            for name in [name for name in members if name in gone]:
                del members[name]

    def next_expiry(self) -> float:
        """Return when the first hold ends; infinity if there is none."""
        return min((until for members in self._until.values() for until in members.values()), default=float("inf"))
