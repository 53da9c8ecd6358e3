"""Join and anti-entropy: members compare their tables in pairs and exchange the rows that differ (push/pull).

A member sends a digest of checksums; the other answers that it is in sync, or asks for the buckets that differ and
sends its own rows of them. Partners are drawn from dead members as well, and seeds that are not live are tried, so that
the sides of a healed partition meet again. Joining is an exchange with the seeds. `membership` starts it and hands it
the messages of exchanges; what it learns it applies through `member_states`.
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

# Members asked for a refutation after one exchange.
MAX_REFUTATION_REQUESTS = 32

# Gossip intervals between attempts to join, until a member has answered: the first one, and the further ones.
FIRST_JOIN_RETRY = 2
JOIN_RETRY = 4


class AntiEntropy:
    """Exchanges of one member with others."""

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
        """Begin an exchange with each seed."""
        for address in self.table.seeds:
            self.send(address, [self.table.digest()], piggyback=True)

    def schedule_join_retry(self, now: float) -> None:
        """Contact the seeds again until one has answered: a datagram may be lost, or nobody be up yet."""
        self.timers.call_at(now + self.settings.gossip_interval_ms * FIRST_JOIN_RETRY, self._retry_join)

    def _retry_join(self, now: float) -> None:
        if not (self.local.is_synced or self.local.ready or self.local.has_left):
            self.contact_seeds()
            self.timers.call_at(now + self.settings.gossip_interval_ms * JOIN_RETRY, self._retry_join)

    # Periodic exchanges.

    def start(self, now: float) -> None:
        """Begin the periodic exchanges, at a random moment so that members are spread."""
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
        """Any live or dead member; without the dead, the sides of a partition would never meet again."""
        live, dead = self.table.live.items, self.table.dead.items
        if not live and not dead:
            return None
        index = self.rng.randrange(len(live) + len(dead))
        name = live[index] if index < len(live) else dead[index - len(live)]
        return self.table.members[name]

    # Messages of exchanges.

    def on_digest(self, now: float, address: Address, digest: Digest) -> None:
        """Another member's checksums: answer with what differs."""
        differing = self.table.differing_buckets(digest)
        if not differing:
            self.send(address, [InSync()], piggyback=True)
            return
        self.send(address, [BucketRequest(differing)], piggyback=True)
        self._send_records(now, address, set(differing))

    def on_in_sync(self, now: float) -> None:
        """Another member's table equals ours: the join is complete."""
        if not self.local.is_synced:
            self.local.is_synced = True
            self.states.make_ready(now)

    def on_bucket_request(self, now: float, address: Address, request: BucketRequest) -> None:
        """Another member asks for rows."""
        self._send_records(now, address, set(request.buckets))

    def _send_records(self, now: float, address: Address, buckets: Collection[int]) -> None:
        records = [member.record(now) for member in self.table.in_buckets(buckets)]
        self.send(address, records, piggyback=False)

    def on_records(self, now: float, address: Address, records: list[MemberRecord]) -> None:
        """Rows of another member's table: apply them."""
        disputed = []
        for record in records:
            member = self._apply(now, record)
            if member is not None:
                disputed.append(member)
        self._request_refutations(now, disputed)
        if not self.local.is_synced:  # ask whether that was all
            self.send(address, [self.table.digest()], piggyback=True)

    def _apply(self, now: float, record: MemberRecord) -> Member | None:
        """Apply one row; returns a member that is live here and dead there."""
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
            # Another side's claim that it is dead proves nothing here: it is asked to refute, and probed as ever.
            return member
        return None

    def _add_dead(self, now: float, record: MemberRecord) -> None:
        """A member first heard of as dead is kept as a possible partner of exchanges."""
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
