"""Membership of the cluster as one member sees it: SWIM with suspicion and Lifeguard's local health, free of I/O.

Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (2002). This
module connects the components, dispatches messages to them and answers queries about the members:

    member_table, member    all members and their states
    failure_detector        probes, directly and through other members
    member_states           transitions between alive, suspect, dead and left; refutations
    gossip                  dissemination of broadcasts
    anti_entropy            join, and push/pull exchanges in pairs
    name_conflict           two processes with the same member name

Used by `node`, which runs the timers, passes received messages to `handle` and sends the messages given to `send`.
Times are local monotonic milliseconds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence

from decklb.cluster.anti_entropy import AntiEntropy
from decklb.cluster.events import MembershipCounters, MembershipEvents
from decklb.cluster.failure_detector import FailureDetector
from decklb.cluster.gossip import Gossip, Send
from decklb.cluster.local_health import LocalHealth
from decklb.cluster.member import Address, LocalMember, Member
from decklb.cluster.member_states import MemberStates
from decklb.cluster.member_table import MemberTable, bucket_of
from decklb.cluster.messages import (
    Ack,
    Alive,
    BucketRequest,
    Dead,
    Digest,
    InSync,
    MemberRecord,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
    Suspect,
)
from decklb.cluster.name_conflict import NameConflicts
from decklb.cluster.probe_ring import ProbeRing
from decklb.cluster.rate_limiter import RateLimiter
from decklb.cluster.settings import MembershipSettings
from decklb.cluster.timers import TimerQueue

# Maximum time between two prunings of the table; shorter if dead members are kept for a shorter time.
MAX_PRUNE_INTERVAL_MS = 60_000.0


class Membership:
    """One member's view of the cluster.

    Attributes:
        local: this instance's own row of the table.
        table: all members.
        gossip: spreads broadcasts, including those of other components of the node.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        local: LocalMember,
        rng: random.Random,
        timers: TimerQueue,
        send: Send,
        events: MembershipEvents,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.timers = timers
        self.send = send
        self.local = local
        self.counters = MembershipCounters()
        self.health = LocalHealth()
        self.table = MemberTable(local)
        self.gossip = Gossip(settings, self.table, timers, rng, send)
        self.conflicts = NameConflicts(local, timers, events, self.counters, self._rejoin)
        ring = ProbeRing(self.table, rng)
        self.states = MemberStates(
            settings, self.table, self.gossip, ring, self.conflicts, self.health, timers, events, self.counters
        )
        self.detector = FailureDetector(
            settings, self.table, ring, self.states, self.health, timers, rng, send, self.counters
        )
        self.anti_entropy = AntiEntropy(settings, self.table, self.states, timers, rng, send)
        self._refutation_requests = RateLimiter(settings.probe_interval_ms)

    # Queries.

    @property
    def members(self) -> dict[str, Member]:
        """All known members by name, including this instance."""
        return self.table.members

    def live_names(self) -> Sequence[str]:
        """Return the names of the other members that are alive or suspected."""
        return self.table.live.items

    def eligible_owners(self) -> set[str]:
        """Return the names of the members that may own duties: alive or suspected, and settled."""
        names = {name for name in self.table.live.items if self.table.members[name].ready}
        if self.local.can_own:
            names.add(self.local.name)
        return names

    def in_minority(self, now: float) -> bool:
        """Whether this instance sees fewer than half of the members known within the retention time as live."""
        return 2 * self.table.live_count < self.table.count_known(now, self.settings.dead_retention_ms)

    # Life cycle of this member.

    def start(self, now: float, seeds: Iterable[Address]) -> None:
        """Join through the seeds. This member owns no duty until the join is complete or the settle time has passed."""
        self.table.seeds = [address for address in seeds if address != self.local.address]
        self.gossip.announce(self.local)
        self.anti_entropy.contact_seeds()
        self.detector.start(now)
        self.anti_entropy.start(now)
        self.timers.call_at(now + self.settings.settle_time_ms, self._on_settled)
        self.timers.call_at(now + self._prune_interval_ms, self._prune)
        self.anti_entropy.schedule_join_retry(now)

    def leave(self) -> None:
        """Announce the departure; from now on this member owns no duty."""
        if self.local.has_left:
            return
        self.local.has_left = True
        self.local.ready = False
        departure = Dead(self.local.name, self.local.incarnation, self.local.name)
        # Sent to more members than one gossip round reaches, since this member will not be there to repeat it.
        for name in self.table.live.sample(self.rng, self.gossip.transmit_limit):
            self.send(self.table.members[name].address, [departure], piggyback=True)

    def on_stall(self, stall_ms: float) -> None:
        """Handle a stall of this process: answers missed in that time are no evidence against other members."""
        self.counters.stalls += 1
        self.health.record_failure()
        self.detector.cancel_probe()
        for name in self.table.live.items:
            suspicion = self.table.members[name].suspicion
            if suspicion is not None:
                suspicion.started_at += stall_ms

    def _on_settled(self, now: float) -> None:
        if not self.local.is_yielding:
            self.states.make_ready(now)

    def _rejoin(self, now: float) -> None:
        """Join again after yielding the name."""
        self.states.renew(self.local.incarnation)
        self.anti_entropy.contact_seeds()
        self.timers.call_at(now + self.settings.settle_time_ms, self._on_settled)

    @property
    def _prune_interval_ms(self) -> float:
        return min(self.settings.dead_retention_ms, MAX_PRUNE_INTERVAL_MS)

    def _prune(self, now: float) -> None:
        self.timers.call_at(now + self._prune_interval_ms, self._prune)
        self.table.prune(now, self.settings.dead_retention_ms)

    # Messages.

    def handle(self, now: float, sender: str, run_id: int, address: Address, messages: list[Message]) -> None:
        """Handle the messages of one datagram. Messages of types that do not concern membership are ignored."""
        if self.local.has_left:
            return
        if sender == self.local.name:
            if run_id != self.local.run_id:
                self.conflicts.record_sighting(now, run_id, address)
            return
        replies = self._check_sender(now, sender, run_id)
        records = []
        for message in messages:
            if isinstance(message, Ping):
                if message.target == self.local.name:
                    replies.append(Ack(message.sequence))
            elif isinstance(message, MemberRecord):
                records.append(message)
            else:
                self._dispatch(now, address, message)
        if records:
            self.anti_entropy.on_records(now, address, records)
        if replies:
            self.send(address, replies, piggyback=True)

    def _dispatch(self, now: float, address: Address, message: Message) -> None:
        match message:
            case Ack():
                self.detector.on_ack(message)
            case Nack():
                self.detector.on_nack(message)
            case PingRequest():
                self.detector.on_ping_request(now, address, message)
            case Alive():
                self.states.on_alive(now, message)
            case Suspect():
                self.states.on_suspect(now, message)
            case Dead():
                self.states.on_dead(now, message)
            case Digest():
                self.anti_entropy.on_digest(now, address, message)
            case InSync():
                self.anti_entropy.on_in_sync(now)
            case BucketRequest():
                self.anti_entropy.on_bucket_request(now, address, message)

    def _check_sender(self, now: float, sender: str, run_id: int) -> list[Message]:
        """Return messages that make a sender report its state if its row is missing, outdated, suspected or dead.

        Rate-limited per sender, since the answer may leave the row as it is.
        """
        member = self.table.get(sender)
        if (
            member is not None
            and member.run_id == run_id
            and member.state not in (MemberState.DEAD, MemberState.SUSPECT)
        ):
            return []
        if not self._refutation_requests.allow(sender, now):
            return []
        record_request = BucketRequest(bytes([bucket_of(sender)]))
        if member is None:
            return [record_request]
        dead = Dead(sender, member.incarnation, self.local.name)
        # If the clock of the new run is behind that of the known run, its incarnation is too low to be applied here.
        # The claim that it is dead makes it announce itself with a higher one.
        if member.run_id != run_id:
            return [record_request, dead]
        # The sender is alive: make it refute the state recorded here with a higher incarnation.
        suspect = Suspect(sender, member.incarnation, self.local.name)
        return [dead if member.state == MemberState.DEAD else suspect]
