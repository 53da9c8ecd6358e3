"""The member table: all known members, which of them are live or dead, and checksums for comparing tables.

Owned by `membership`. `member_states` changes states and `anti_entropy` compares checksums; the failure detector and
gossip choose members from it. Members that left or died are removed after a retention time.
"""

from __future__ import annotations

from collections.abc import Collection
from functools import lru_cache

import xxhash

from decklb.cluster.member import Address, LocalMember, Member
from decklb.cluster.messages import Digest, MemberState
from decklb.cluster.random_set import RandomSet

# Number of buckets of the digest. Each adds four bytes to the digest; a difference in one bucket costs the transfer of
# about 1/64 of all member records.
BUCKETS = 64

CHECKSUM_BYTES = 4


@lru_cache(maxsize=1 << 16)  # needed for every member at each exchange
def bucket_of(name: str) -> int:
    """Return the bucket of the digest to which a member belongs."""
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


class MemberTable:
    """All members that this instance knows, including itself.

    Attributes:
        local: this instance's own row.
        members: all rows by name.
        live: names of the other members that are alive or suspected.
        dead: names of the other members that are dead; members that left are in neither set.
        checksums: one per bucket, the XOR of its members' checksums.
        seeds: configured addresses of other members, whether or not they have ever answered.
    """

    def __init__(self, local: LocalMember) -> None:
        self.local = local
        self.members: dict[str, Member] = {local.name: local}
        self.live = RandomSet()
        self.dead = RandomSet()
        self.checksums = [0] * BUCKETS
        self.seeds: list[Address] = []
        self.update_checksum(local)

    @property
    def live_count(self) -> int:
        """Number of live members, including this instance."""
        return len(self.live) + 1

    def get(self, name: str) -> Member | None:
        """Return a member by name; None if it is unknown."""
        return self.members.get(name)

    def add(self, member: Member) -> None:
        """Add a member that was unknown; the caller must call `set_state` next."""
        self.members[member.name] = member

    def set_state(self, now: float, member: Member, state: MemberState) -> None:
        """Set a member's state; in any state but SUSPECT its suspicion ends."""
        if member.state != state:
            member.state_since = now
        member.state = state
        if state != MemberState.SUSPECT:
            member.suspicion = None
            if member.suspicion_timer is not None:
                member.suspicion_timer.cancel()
                member.suspicion_timer = None
        (self.live.add if member.is_live else self.live.discard)(member.name)
        (self.dead.add if state == MemberState.DEAD else self.dead.discard)(member.name)
        self.update_checksum(member)

    def update_checksum(self, member: Member) -> None:
        """Update the checksums; must be called after any change of a member's incarnation, run id or state."""
        # SUSPECT counts as ALIVE: a suspicion is short-lived, and members need not agree on it.
        state = int(MemberState.ALIVE if member.is_live else member.state)
        row = f"{member.name}/{member.incarnation}/{member.run_id}/{state}"
        checksum = xxhash.xxh32_intdigest(row.encode())
        self.checksums[bucket_of(member.name)] ^= member.checksum ^ checksum
        member.checksum = checksum

    def digest(self) -> Digest:
        """Return the checksums as a message."""
        return Digest(b"".join(checksum.to_bytes(CHECKSUM_BYTES, "big") for checksum in self.checksums))

    def differing_buckets(self, digest: Digest) -> bytes:
        """Return the buckets in which another member's table differs from this one."""
        data = digest.checksums
        remote_checksums = [
            int.from_bytes(data[i : i + CHECKSUM_BYTES], "big")
            for i in range(0, BUCKETS * CHECKSUM_BYTES, CHECKSUM_BYTES)
        ]
        return bytes(i for i in range(BUCKETS) if remote_checksums[i] != self.checksums[i])

    def in_buckets(self, buckets: Collection[int]) -> list[Member]:
        """Return the members that belong to the given buckets."""
        return [member for member in self.members.values() if bucket_of(member.name) in buckets]

    def count_known(self, now: float, retention_ms: float) -> int:
        """Count the live members, including this instance, and the members that died within the retention time.

        Seeds that never answered are counted too: they may be alive on the other side of a partition.
        """
        addresses = {self.local.address}
        count = 1
        for name in [*self.live.items, *self.dead.items]:
            member = self.members[name]
            addresses.add(member.address)
            count += member.state != MemberState.DEAD or now - member.state_since < retention_ms
        return count + sum(address not in addresses for address in self.seeds)

    def missing_seeds(self) -> list[Address]:
        """Return the seeds at whose address no live member is known."""
        live = {self.members[name].address for name in self.live.items}
        return [address for address in self.seeds if address not in live]

    def prune(self, now: float, retention_ms: float) -> None:
        """Remove members that died or left longer than `retention_ms` ago."""
        gone = (MemberState.DEAD, MemberState.LEFT)
        for member in [
            member
            for member in self.members.values()
            if member.state in gone and now - member.state_since > retention_ms
        ]:
            self.checksums[bucket_of(member.name)] ^= member.checksum
            self.dead.discard(member.name)
            del self.members[member.name]
