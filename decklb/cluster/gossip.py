"""Dissemination: spreads broadcasts by gossip, in rounds and piggybacked on other datagrams (SWIM, section 4.1).

Owns the broadcast queue. `member_states` broadcasts changes of members, and `node` results and declines of duties.
"""

from __future__ import annotations

import random
from collections.abc import Hashable, Sequence
from typing import Protocol

from decklb.cluster.broadcast_queue import BroadcastQueue, transmit_limit
from decklb.cluster.member import Address, Member
from decklb.cluster.member_table import MemberTable
from decklb.cluster.messages import Message, encode_message
from decklb.cluster.settings import MembershipSettings
from decklb.cluster.timers import TimerQueue


class Send(Protocol):
    """Sends messages to an address, in as many datagrams as needed."""

    def __call__(self, address: Address, messages: Sequence[Message], *, piggyback: bool) -> None:
        """Send the messages; with `piggyback`, pending broadcasts fill the rest of the last datagram."""


class Gossip:
    """The dissemination component of one member."""

    def __init__(
        self, settings: MembershipSettings, table: MemberTable, timers: TimerQueue, rng: random.Random, send: Send
    ) -> None:
        self.settings = settings
        self.table = table
        self.timers = timers
        self.rng = rng
        self.send = send
        self.queue = BroadcastQueue()
        self._is_scheduled = False  # whether a gossip round is scheduled

    @property
    def transmit_limit(self) -> int:
        """How many times this member sends one broadcast."""
        return transmit_limit(self.settings.retransmit_base, self.table.live_count)

    def announce(self, member: Member) -> None:
        """Broadcast that a member is alive, with its current incarnation."""
        local = self.table.local
        if member is not local or not local.is_yielding:
            self.broadcast(member.name, member.announcement())

    def broadcast(self, subject: Hashable, message: Message) -> None:
        """Broadcast a message, in place of a pending one on the same subject."""
        self.queue.add(subject, encode_message(message))
        if not self._is_scheduled:
            self._is_scheduled = True
            # A random delay, so that the members' rounds are spread over time.
            first_round = self.timers.now + self.settings.gossip_interval_ms * self.rng.random()
            self.timers.call_at(first_round, self._run_round)

    def take(self, capacity: int) -> list[bytes]:
        """Return encoded broadcasts that fit into `capacity` bytes. They stay queued while no other member is known."""
        if not self.table.live and not self.table.seeds:
            return []
        return self.queue.take(capacity, self.transmit_limit)

    def _run_round(self, now: float) -> None:
        self._is_scheduled = bool(self.queue) and not self.table.local.has_left
        if not self._is_scheduled:
            return
        for name in self.table.live.sample(self.rng, self.settings.gossip_fanout):
            if self.queue:
                self.send(self.table.members[name].address, [], piggyback=True)
        self.timers.call_at(now + self.settings.gossip_interval_ms, self._run_round)
