"""Selects the members that vote on a key, by rendezvous hashing of buckets (Thaler and Ravishankar, 1998).

Keys are hashed into a fixed number of buckets, and each bucket has one ranking of all members. So a change of members
costs a new ranking for each bucket instead of each record, and a member that leaves affects only the buckets it votes
on. `FleetView` owns the one `Placement` of a member; the state is the members and the rankings computed so far.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

HASH_BYTES = 8


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


class Placement:
    """Ranks the members for each bucket, best first."""

    def __init__(self, bucket_count: int) -> None:
        self.bucket_count = bucket_count
        self._members: tuple[str, ...] = ()
        self._rankings: dict[int, tuple[str, ...]] = {}  # by bucket

    def bucket(self, key: str) -> int:
        """Return the bucket of a key."""
        return _hash(key) % self.bucket_count

    def set_members(self, members: Iterable[str]) -> bool:
        """Set the members among which keys are placed; return whether they changed."""
        given = tuple(sorted(set(members)))
        if given == self._members:
            return False
        self._members, self._rankings = given, {}
        return True

    def ranking(self, bucket: int) -> tuple[str, ...]:
        """Return all members in their order for one bucket, best first."""
        ranking = self._rankings.get(bucket)
        if ranking is None:
            by_score = sorted(self._members, key=lambda member: (-_hash(f"{bucket}/{member}"), member))
            ranking = self._rankings[bucket] = tuple(by_score)
        return ranking

    def voters(self, key: str, count: int) -> tuple[str, ...]:
        """Return the `count` best members for a key.

        They don't depend on the member that admits the key, so any two majorities for the key share a member even if
        two members receive the key at the same time.
        """
        return self.ranking(self.bucket(key))[:count]
