"""Join and anti-entropy: pairs of members compare their member tables and exchange the rows that differ (push/pull).

One member sends a digest of checksums. The other replies that the tables are in sync, or requests the buckets that
differ and sends its own rows of these buckets. Partners are chosen among live and dead members, and seeds that are not
live are contacted too, so that the sides of a healed partition find each other again. A member joins by an exchange
with the seeds. `membership` starts the exchanges and passes their messages in; received rows are applied through
`member_states`.
"""

from __future__ import annotations

import random
from collections.abc import Collection

from decklb.cluster.gossip import Send
from decklb.cluster.member import Address, Member
from decklb.cluster.member_states import MemberStates
from decklb.cluster.member_table import MemberTable
from decklb.cluster.messages import Alive, BucketRequest, Dead, Digest, InSync, MemberRecord, MemberState, Suspect
from decklb.cluster.rate_limiter import RateLimiter
from decklb.cluster.settings import MembershipSettings
from decklb.cluster.timers import TimerQueue

# Maximum number of members asked for a refutation after one exchange.
MAX_REFUTATION_REQUESTS = 32

# Delay before the first retry of a join and between further retries, in gossip intervals.
FIRST_JOIN_RETRY_INTERVALS = 2
JOIN_RETRY_INTERVALS = 4


class AntiEntropy:
    """The anti-entropy exchanges of the local member with other members."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        states: MemberStates,
        timers: TimerQueue,
        rng: random.Random,
        send: Send,
    ) -> None:
        self.settings = settings
        self.table = table
        self.local = table.local
        self.states = states
        self.timers = timers
        self.rng = rng
        self.send = send
        self._refutation_requests = RateLimiter(settings.probe_interval_ms)

    # Joining.

    def contact_seeds(self) -> None:
        """Start an exchange with each seed."""
        for address in self.table.seeds:
            self.send(address, [self.table.digest()], piggyback=True)

    def schedule_join_retry(self, now: float) -> None:
        """Contact the seeds repeatedly until one answers: datagrams may be lost, or no seed may be up yet."""
        self.timers.call_at(now + self.settings.gossip_interval_ms * FIRST_JOIN_RETRY_INTERVALS, self._retry_join)

    def _retry_join(self, now: float) -> None:
        if not (self.local.is_synced or self.local.ready or self.local.has_left):
            self.contact_seeds()
            self.timers.call_at(now + self.settings.gossip_interval_ms * JOIN_RETRY_INTERVALS, self._retry_join)

    # Periodic exchanges.

    def start(self, now: float) -> None:
        """Start the periodic exchanges after a random delay, so that the members' exchanges are spread over time."""
        first = now + self.settings.push_pull_interval_ms * (0.5 + self.rng.random())
        self.timers.call_at(first, self._run_exchange)

    def _run_exchange(self, now: float) -> None:
        next_exchange = now + self.settings.push_pull_interval_ms * (0.75 + self.rng.random() / 2)
        self.timers.call_at(next_exchange, self._run_exchange)
        if self.local.has_left:
            return
        partner = self._draw_partner()
        if partner is not None:
            self.send(partner.address, [self.table.digest()], piggyback=True)
        missing = self.table.missing_seeds()
        if missing:
            self.send(self.rng.choice(missing), [self.table.digest()], piggyback=True)

    def _draw_partner(self) -> Member | None:
        """Choose a live or dead member at random.

        Dead members are included because the sides of a healed partition would otherwise never find each other.
        """
        live, dead = self.table.live.items, self.table.dead.items
        if not live and not dead:
            return None
        index = self.rng.randrange(len(live) + len(dead))
        name = live[index] if index < len(live) else dead[index - len(live)]
        return self.table.members[name]

    # Messages of exchanges.

    def on_digest(self, now: float, address: Address, digest: Digest) -> None:
        """Compare another member's digest with the local table and reply with the differences."""
        differing = self.table.differing_buckets(digest)
        if not differing:
            self.send(address, [InSync()], piggyback=True)
            return
        self.send(address, [BucketRequest(differing)], piggyback=True)
        self._send_records(now, address, set(differing))

    def on_in_sync(self, now: float) -> None:
        """Complete the join: another member's table equals the local one."""
        if not self.local.is_synced:
            self.local.is_synced = True
            self.states.make_ready(now)

    def on_bucket_request(self, now: float, address: Address, request: BucketRequest) -> None:
        """Send the requested rows to another member."""
        self._send_records(now, address, set(request.buckets))

    def _send_records(self, now: float, address: Address, buckets: Collection[int]) -> None:
        records = [member.record(now) for member in self.table.in_buckets(buckets)]
        self.send(address, records, piggyback=False)

    def on_records(self, now: float, address: Address, records: list[MemberRecord]) -> None:
        """Apply rows of another member's table."""
        disputed = []
        for record in records:
            member = self._apply(now, record)
            if member is not None:
                disputed.append(member)
        self._request_refutations(now, disputed)
        if not self.local.is_synced:  # check whether the tables are equal now
            self.send(address, [self.table.digest()], piggyback=True)

    def _apply(self, now: float, record: MemberRecord) -> Member | None:
        """Apply one row; return the member if it is live in the local table but dead in the sender's."""
        member = self.table.get(record.name)
        if record.state in (MemberState.ALIVE, MemberState.SUSPECT):
            self.states.on_alive(now, _as_alive(record), from_exchange=True)
        elif record.name == self.local.name:
            self.states.refute_if_current(record.incarnation)
        elif member is None:
            self._add_dead(now, record)
        elif record.state == MemberState.LEFT and record.incarnation >= member.incarnation:
            self.states.on_dead(now, Dead(record.name, record.incarnation, record.name))
        elif member.name in self.table.live and record.incarnation >= member.incarnation:
            # The sender may be on the other side of a partition, so its claim does not make the member dead here. The
            # member is asked to refute the claim and is probed as before.
            return member
        return None

    def _add_dead(self, now: float, record: MemberRecord) -> None:
        """Add a member that is already dead when first heard of, as a possible partner of exchanges."""
        if record.state != MemberState.DEAD or record.state_age_ms >= self.settings.dead_retention_ms:
            return
        died_at = now - record.state_age_ms
        member = Member(
            record.name,
            (record.host, record.port),
            record.incarnation,
            record.run_id,
            record.ready,
            record.weight,
            MemberState.DEAD,
            died_at,
        )
        self.table.add(member)
        self.table.set_state(died_at, member, MemberState.DEAD)

    def _request_refutations(self, now: float, members: list[Member]) -> None:
        for member in self.rng.sample(members, min(MAX_REFUTATION_REQUESTS, len(members))):
            if self._refutation_requests.allow(member.name, now):
                claim = Suspect(member.name, member.incarnation, self.local.name)
                self.send(member.address, [claim], piggyback=False)


def _as_alive(record: MemberRecord) -> Alive:
    return Alive(record.name, record.host, record.port, record.incarnation, record.run_id, record.ready, record.weight)
