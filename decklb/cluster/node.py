"""One member of the cluster without I/O: its inputs are datagrams and time, its outputs datagrams and duties to run.

Connects membership, the duty schedulers, sealing and the replay window. `runtime` drives a node with sockets, the lab
with a simulated network. Both call `receive`, `tick` (no later than `next_due`) and `on_run_ended`, and then process
and empty `outgoing`, `runs_to_start`, `health_updates`, `user_messages` and `notices`.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from typing import NamedTuple

from decklb.cluster import notices
from decklb.cluster.duties import DutyScheduler
from decklb.cluster.duty import DutyRun
from decklb.cluster.errors import WireError
from decklb.cluster.events import MembershipEvents
from decklb.cluster.lamport_clock import LamportClock
from decklb.cluster.member import Address, LocalMember, Member
from decklb.cluster.membership import Membership
from decklb.cluster.messages import (
    MAX_MESSAGES,
    DutyDecline,
    DutyResult,
    Envelope,
    MemberState,
    Message,
    UserMessage,
    decode_envelope,
    encode_envelope,
    encode_message,
    message_capacity,
)
from decklb.cluster.rendezvous import Ranking
from decklb.cluster.replay_window import ReplayWindow
from decklb.cluster.sealing import Sealer
from decklb.cluster.settings import DutySettings, MembershipSettings
from decklb.cluster.timers import Timer, TimerQueue
from decklb.cluster.verdicts import UPDATE_INTERVAL_MS, HealthUpdate, VerdictTable

# Delay of a timer, in probe intervals, above which this process is considered to have been stalled.
STALL_INTERVALS = 2.0

# A run id consists of the start time in Unix ms and this many random bits, cut to the 53 bits of the wire format.
RUN_ID_RANDOM_BITS = 10
MAX_RUN_ID = (1 << 53) - 1

# Delay from a change of members to the reassignment of duties, in gossip intervals: changes come in bursts, and one
# reassignment for all of them moves each duty at most once.
REASSIGN_DELAY_INTERVALS = 2

# Time between two collections of due health updates.
UPDATE_CHECK_INTERVAL_MS = UPDATE_INTERVAL_MS / 4


class Datagram(NamedTuple):
    """A sealed datagram to be sent."""

    address: Address
    data: bytes


class ReceivedUserMessage(NamedTuple):
    """A message for a subsystem from its counterpart at another member."""

    topic: str
    sender: str
    payload: bytes


class Node:
    """A member of the cluster.

    Attributes:
        outgoing: datagrams to send.
        runs_to_start: runs of duties to start; the schedulers hold a reference to this list and append to it.
        health_updates: updates for the dispatcher.
        user_messages: messages received for other subsystems.
        notices: events to log.
        dropped: number of rejected datagrams, by reason.
        schedulers: duty schedulers, by kind of duty.
    """

    def __init__(
        self,
        membership: MembershipSettings,
        duties: Collection[DutySettings],
        name: str,
        address: Address,
        sealer: Sealer,
        rng: random.Random,
        now: float,
        wall_clock_ms: float,
        rankings: Mapping[str, Ranking] | None = None,
    ) -> None:
        """Create a node; `start` makes it join.

        Args:
            membership: settings of the membership.
            duties: settings of each kind of duty.
            name: name of this member.
            address: address at which other members reach this one.
            sealer: seals and opens datagrams.
            rng: source of all random choices.
            now: local monotonic ms.
            wall_clock_ms: Unix time in ms.
            rankings: rankings by kind of duty; nodes of one process may share them, as they depend only on names and
                weights.
        """
        self.settings = membership
        self.sealer = sealer
        self.rng = rng
        self.outgoing: list[Datagram] = []
        self.runs_to_start: list[DutyRun] = []
        self.health_updates: list[HealthUpdate] = []
        self.user_messages: list[ReceivedUserMessage] = []
        self.notices: list[notices.Notice] = []
        self.dropped: Counter[str] = Counter()
        self.sent = self.sent_bytes = self.received = 0
        self._wall_clock_offset = wall_clock_ms - now
        self._sequence = 0
        self._replay_window = ReplayWindow(membership.max_clock_skew_ms)
        self.timers = TimerQueue(now)
        self.lamport_clock = LamportClock()
        self.membership = self._make_membership(name, address, now, wall_clock_ms)
        self.schedulers = {duty.kind: self._make_scheduler(duty, rankings or {}) for duty in duties}
        self._listed: dict[str, Collection[str]] = {}  # subjects whose verdicts are reported, by kind of duty
        self._reassign_timer: Timer | None = None
        if self.schedulers:
            self.timers.call_at(now + UPDATE_INTERVAL_MS * rng.random(), self._collect_health_updates)

    def _make_membership(self, name: str, address: Address, now: float, wall_clock_ms: float) -> Membership:
        # Starts with the time, so that the older of two runs has the lower id; the random bits make ids differ.
        run_id = (int(wall_clock_ms) << RUN_ID_RANDOM_BITS | self.rng.getrandbits(RUN_ID_RANDOM_BITS)) & MAX_RUN_ID
        local = LocalMember(
            name,
            address,
            incarnation=int(wall_clock_ms),  # above that of earlier runs
            run_id=run_id,
            ready=False,
            weight=self.settings.weight,
            state=MemberState.ALIVE,
            state_since=now,
        )
        events = MembershipEvents(self._on_member_changed, self._on_name_conflict, self._on_ready)
        return Membership(self.settings, local, self.rng, self.timers, self._send, events)

    def _make_scheduler(self, duty: DutySettings, rankings: Mapping[str, Ranking]) -> DutyScheduler:
        ranking = rankings.get(duty.kind) or Ranking(duty.kind)
        ranking.add_member(self.membership.local.name, self.settings.weight)
        return DutyScheduler(
            duty,
            self.membership.local.name,
            ranking,
            VerdictTable(duty),
            self.lamport_clock,
            self.timers,
            self.wall_clock_ms,
            self.runs_to_start.append,
            self._report,
        )

    def wall_clock_ms(self, now: float) -> float:
        """Convert a time of the monotonic clock to Unix ms."""
        return now + self._wall_clock_offset

    # Called by the driver.

    def start(self, now: float, seeds: Collection[Address]) -> None:
        """Join the cluster through the seeds."""
        self.membership.start(now, seeds)

    def next_due(self) -> float:
        """Return when `tick` must be called next."""
        return self.timers.next_due()

    def tick(self, now: float, wall_clock_ms: float) -> None:
        """Run the timers that are due."""
        self._wall_clock_offset = wall_clock_ms - now
        late_ms = now - self.timers.next_due()
        if late_ms > STALL_INTERVALS * self.settings.probe_interval_ms:
            # The process was stopped, swapped out or starved of CPU: answers it missed are no evidence against others.
            self.membership.on_stall(late_ms)
            self.notices.append(notices.process_stalled(late_ms))
        self.timers.now = now
        self.timers.run_due(now)

    def receive(self, now: float, wall_clock_ms: float, data: bytes, address: Address) -> None:
        """Handle a datagram. A datagram that is rejected is counted and dropped without an answer."""
        self._wall_clock_offset = wall_clock_ms - now
        try:
            envelope = self._unseal(data, wall_clock_ms)
        except WireError as error:
            self.dropped[error.reason] += 1
            return
        self.received += 1
        self.timers.now = now
        self.lamport_clock.observe(envelope.lamport_time)
        self.membership.handle(now, envelope.sender, envelope.run_id, address, envelope.messages)
        for message in envelope.messages:
            if isinstance(message, DutyResult | DutyDecline):
                if self._apply(now, message):
                    self._broadcast(message)
            elif isinstance(message, UserMessage):
                self.user_messages.append(ReceivedUserMessage(message.topic, envelope.sender, message.payload))

    def _unseal(self, data: bytes, wall_clock_ms: float) -> Envelope:
        envelope = decode_envelope(self.sealer.open(data))
        local = self.membership.local
        if envelope.sender == local.name and envelope.run_id == local.run_id:
            raise WireError("own")
        self._replay_window.check(envelope, wall_clock_ms)
        return envelope

    def send_user_message(self, now: float, topic: str, payload: bytes, to: str = "") -> None:
        """Send a subsystem's message to a member, or (`to` empty) to all other live members.

        The message is sent in a datagram of its own: a member of an older version that does not know the message type
        rejects the whole datagram, and no other message must be lost with it.
        """
        self.timers.now = now
        if self.membership.local.is_yielding:
            return
        members = self.membership.members
        message = encode_message(UserMessage(topic, payload))
        receivers = [name for name in [to] if name in members] if to else self.membership.live_names()
        for name in receivers:
            self._send_datagram(members[name].address, [message])

    def known_members(self) -> list[str]:
        """Return the names of all members that have not left, including recently dead ones."""
        return [member.name for member in self.membership.members.values() if member.state != MemberState.LEFT]

    def on_run_ended(self, now: float, kind: str, subject: str, ok: bool) -> None:
        """Handle the end of a run from `runs_to_start`."""
        self.timers.now = now
        self.schedulers[kind].on_run_ended(now, subject, ok)

    def set_subjects(self, now: float, kind: str, warming_until: Mapping[str, float], listed: Collection[str]) -> None:
        """Replace the subjects of a kind of duty.

        Args:
            now: local monotonic ms.
            kind: kind of duty.
            warming_until: all subjects, each with the end of its warm-up (Unix ms).
            listed: subjects whose verdicts are reported; for engines, those that are up in the endpoint list.
        """
        self._listed[kind] = frozenset(listed)
        self.timers.now = now
        self.schedulers[kind].set_subjects(now, warming_until)

    def set_sealer(self, sealer: Sealer) -> None:
        """Replace the sealer, to use other keys or another salt."""
        self.sealer = sealer

    def leave(self, now: float) -> None:
        """Leave the cluster: notify the other members and own no duty from now on."""
        self.timers.now = now
        self.membership.leave()
        for scheduler in self.schedulers.values():
            scheduler.update_ownership(now, (), False)

    # Sending.

    def _send(self, address: Address, messages: Sequence[Message], *, piggyback: bool) -> None:
        """Send messages in as many datagrams as needed; with `piggyback`, broadcasts fill the rest of the last one."""
        if self.membership.local.is_yielding:  # the older process with this name keeps sending under it
            return
        capacity = message_capacity(self.membership.local.name)
        body: list[bytes] = []
        remaining = capacity
        for message in map(encode_message, messages):
            if len(message) > remaining or len(body) >= MAX_MESSAGES:
                self._send_datagram(address, body)
                body, remaining = [], capacity
            body.append(message)
            remaining -= len(message)
        if piggyback:
            body += self.membership.gossip.take(remaining)[: MAX_MESSAGES - len(body)]
        if body:
            self._send_datagram(address, body)

    def _send_datagram(self, address: Address, messages: list[bytes]) -> None:
        local = self.membership.local
        self._sequence += 1
        wall_clock_ms = max(0, int(self.wall_clock_ms(self.timers.now)))
        envelope = encode_envelope(
            local.name, local.run_id, self._sequence, wall_clock_ms, self.lamport_clock.value, messages
        )
        datagram = Datagram(address, self.sealer.seal(envelope))
        self.sent += 1
        self.sent_bytes += len(datagram.data)
        self.outgoing.append(datagram)

    # Results and declines of duties.

    def _apply(self, now: float, report: DutyResult | DutyDecline) -> bool:
        """Apply a report to the local scheduler; return whether it is new and should be forwarded."""
        scheduler = self.schedulers.get(report.kind)
        if scheduler is None:
            return False
        if isinstance(report, DutyResult):
            return scheduler.on_result(now, report)
        return scheduler.on_decline(now, report)

    def _report(self, report: DutyResult | DutyDecline) -> None:
        """Apply and broadcast a report of this instance."""
        is_new = self._apply(self.timers.now, report)
        if is_new:
            self.notices.append(notices.duty_reported(report))
        # Declines are also broadcast when repeated, for members that joined after the first report.
        if is_new or isinstance(report, DutyDecline):
            self._broadcast(report)

    def _broadcast(self, report: DutyResult | DutyDecline) -> None:
        subject = (report.kind, report.subject, "" if isinstance(report, DutyResult) else report.declined_by)
        self.membership.gossip.broadcast(subject, report)

    def _collect_health_updates(self, now: float) -> None:
        for kind, scheduler in self.schedulers.items():
            verdicts = scheduler.verdicts
            was_mass_failure = verdicts.mass_failure_since is not None
            self.health_updates += verdicts.take_updates(now, self._listed.get(kind, ()))
            if was_mass_failure != (verdicts.mass_failure_since is not None):
                self.notices.append(notices.mass_failure(kind, is_over=was_mass_failure))
        self.timers.call_at(now + UPDATE_CHECK_INTERVAL_MS, self._collect_health_updates)

    # Callbacks of the membership.

    def _on_member_changed(self, now: float, member: Member, before: MemberState | None) -> None:
        for scheduler in self.schedulers.values():
            scheduler.ranking.add_member(member.name, member.weight)
        if before != member.state:
            self.notices.append(notices.member_state_changed(member, before))
        self.schedule_reassignment(now)

    def _on_ready(self, now: float) -> None:
        self.notices.append(notices.member_ready(self.membership.table.live_count))
        self.schedule_reassignment(now)

    def _on_name_conflict(self, now: float, address: Address, is_yielding: bool) -> None:
        self.notices.append(notices.name_conflict(self.membership.local.name, address, is_yielding))
        self.schedule_reassignment(now)

    def schedule_reassignment(self, now: float) -> None:
        """Reassign the duties after a short delay, once for all changes until then."""
        if self._reassign_timer is None:
            due = now + REASSIGN_DELAY_INTERVALS * self.settings.gossip_interval_ms
            self._reassign_timer = self.timers.call_at(due, self._reassign)

    def _reassign(self, now: float) -> None:
        self._reassign_timer = None
        eligible = self.membership.eligible_owners()
        in_minority = self.membership.in_minority(now)
        known = self.membership.members
        for scheduler in self.schedulers.values():
            scheduler.update_ownership(now, eligible, in_minority)
            for name in [name for name in scheduler.ranking.weights if name not in known]:
                scheduler.ranking.remove_member(name)
