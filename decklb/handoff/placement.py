"""Which members hold the copies of a key: rendezvous hashing by bucket over the members alive (free of I/O).

Thaler, Ravishankar (1998). Keys fall into a fixed number of buckets, and each bucket ranks all members once, so that a
change of members costs a ranking of buckets, not of every record, and a member that goes moves only its own buckets.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


class Placement:
    """The ranking of each bucket, best first, among the members given last."""

    def __init__(self, buckets: int) -> None:
        self.buckets = buckets
        self._members: tuple[str, ...] = ()
        self._ranked: dict[int, tuple[str, ...]] = {}

    def bucket(self, key: str) -> int:
        """Where a key falls."""
        return _hash(key) % self.buckets

    def set_members(self, members: Iterable[str]) -> bool:
        """These and no others; True if that was a change."""
        given = tuple(sorted(set(members)))
        if given == self._members:
            return False
        self._members, self._ranked = given, {}
        return True

    def ranked(self, bucket: int) -> tuple[str, ...]:
        """All members, best first, for one bucket."""
        found = self._ranked.get(bucket)
        if found is None:
            found = self._ranked[bucket] = tuple(sorted(self._members, key=lambda m: (-_hash(f"{bucket}/{m}"), m)))
        return found

    def voters(self, key: str, count: int) -> tuple[str, ...]:
        """The `count` best members for a key, whoever takes it: any two majorities of one key then share a member, also
        where two managers are given the key at once."""
        return self.ranked(self.bucket(key))[:count]
