"""Which members vote on a key: rendezvous hashing by bucket (Thaler and Ravishankar, 1998).

Keys fall into a fixed number of buckets, and each bucket ranks all members once, so that a change of members costs a
ranking of buckets, not of every record, and a member that leaves moves only its own buckets. `FleetView` owns the one
`Placement` of a member; the state is the members and the rankings computed so far.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

HASH_BYTES = 8


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest(), "big")


class Placement:
    """The ranking of members for each bucket, best first."""

    def __init__(self, bucket_count: int) -> None:
        self.bucket_count = bucket_count
        self._members: tuple[str, ...] = ()
        self._rankings: dict[int, tuple[str, ...]] = {}  # by bucket

    def bucket(self, key: str) -> int:
        """The bucket of a key."""
        return _hash(key) % self.bucket_count

    def set_members(self, members: Iterable[str]) -> bool:
        """Place keys on these members and no others; whether that was a change."""
        given = tuple(sorted(set(members)))
        if given == self._members:
            return False
        self._members, self._rankings = given, {}
        return True

    def ranking(self, bucket: int) -> tuple[str, ...]:
        """All members for one bucket, best first."""
        ranking = self._rankings.get(bucket)
        if ranking is None:
            by_score = sorted(self._members, key=lambda member: (-_hash(f"{bucket}/{member}"), member))
            ranking = self._rankings[bucket] = tuple(by_score)
        return ranking

    def voters(self, key: str, count: int) -> tuple[str, ...]:
        """The `count` best members for a key, whoever admits it.

        Any two majorities of one key then share a member, also where two members are given the key at once.
        """
        return self.ranking(self.bucket(key))[:count]
