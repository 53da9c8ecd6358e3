"""One member's part in the handoff: what happens at each call of its front, at each message, and at each tick.

The coordinator wires the mechanisms (admission, attempts, replication, leases, takeover, voting, recovery, lookups) to
one `MemberState`, and does no I/O. `runtime.py` drives it with connections and a clock, the laboratory with a
simulated network. Both call `update_members`, `connected`, `disconnected`, `receive` and `tick`, and then carry out
`take_outbox` and `take_events`. All times are milliseconds of this member's own monotonic clock. `docs/handoff.md` has
the rules that are kept.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping
from typing import Any

from decklb.handoff import messages
from decklb.handoff.admission import Admission
from decklb.handoff.admission_result import ResultCallback
from decklb.handoff.attempts import Attempts
from decklb.handoff.ballots import Ballot
from decklb.handoff.fencing import FencingNotices
from decklb.handoff.held_request import HeldRequest, QuorumCallback
from decklb.handoff.leases import LeaseSupervisor
from decklb.handoff.lookups import Lookups
from decklb.handoff.member_state import REJECT_COUNTERS, HandoffEvent, MemberState, RequestRunner
from decklb.handoff.messages import Message, RejectReason
from decklb.handoff.record_table import RecordTable
from decklb.handoff.records import Outcome, Record, Stage
from decklb.handoff.recovery import PeerRecovery, VoterMemory
from decklb.handoff.replication import Replicator
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.takeover import Takeover
from decklb.handoff.voting import Voter

ABOVE_ALL_NAMES = "\uffff"  # sorts after every member's name: the highest ballot of a term


class HandoffCoordinator:
    """The records of one member and its votes on others'."""

    def __init__(
        self,
        settings: HandoffSettings,
        member: str,
        incarnation: int,
        memory_id: int,
        memory_age_ms: float,
        rng: random.Random,
        now: float,
        runner: RequestRunner,
    ) -> None:
        """Wire the mechanisms of one member.

        Args:
            settings: The same for all members.
            member: This member's name.
            incarnation: Tells processes of this member apart, as membership does.
            memory_id: Names what this member remembers.
            memory_age_ms: How far that reaches back: 0 at a start without a store.
            rng: Spreads claims that are repeated.
            now: This member's clock.
            runner: Runs and stops requests.
        """
        self.settings, self.member, self.incarnation = settings, member, incarnation
        self.state = state = MemberState(settings, member, incarnation, rng, runner)
        self.memory = VoterMemory(settings, memory_id, now - memory_age_ms)
        self._replicator = Replicator(state)
        self._attempts = Attempts(state, self._replicator)
        self._leases = LeaseSupervisor(state, self._replicator)
        self._fencing = FencingNotices(state)
        self._takeover = Takeover(state, self._replicator, self._leases, self._fencing, now)
        self._voter = Voter(state, self._leases, self._takeover, self._fencing, self.memory)
        self._lookups = Lookups(state, self._replicator)
        self._admission = Admission(state, self._replicator, self._lookups, self._takeover, self.memory)
        self._recovery = PeerRecovery(state, self._replicator, self._fencing)
        self._heartbeat_at_ms = now

    # What the front calls.

    def admit(self, now: float, record: Record, body: bytes, on_result: ResultCallback) -> None:
        """A client brought a request with a key. See `Admission.admit`."""
        self._admission.admit(now, record, body, on_result)

    def begin_attempt(
        self, now: float, key: str, engine: str, on_quorum: QuorumCallback, cancel_token: bytes = b""
    ) -> None:
        """An attempt is to be sent to an engine; `on_quorum` is told whether it may be."""
        self._attempts.begin(now, key, engine, on_quorum, cancel_token)

    def set_cancel_token(self, now: float, key: str, engine: str, cancel_token: bytes) -> None:
        """The attempt at an engine can be cancelled by this token from now on."""
        self._attempts.set_cancel_token(now, key, engine, cancel_token)

    def attempt_rejected(self, now: float, key: str) -> None:
        """The attempt provably never ran."""
        self._attempts.rejected(now, key)

    def complete(
        self, now: float, key: str, outcome: Outcome, answer: bytes, reason: str, on_quorum: QuorumCallback
    ) -> None:
        """The final answer is known; `on_quorum` is told whether it may be given."""
        self._attempts.complete(now, key, outcome, answer, reason, on_quorum)

    def release(self, key: str) -> None:
        """The request was rejected, so that its client may come again with its key: nothing is held of it any more."""
        if (held := self.state.held.get(key)) is not None:
            self._replicator.release(held)

    def held(self, key: str) -> HeldRequest | None:
        """The request held here under a key."""
        return self.state.held.get(key)

    # What the runtime calls.

    def restore(self, key: str, record: Record | None, body: bytes | None, granted: Ballot | None, now: float) -> None:
        """Take back what an earlier process of this member stored of a key."""
        self.state.table.restore(key, record, body, granted, now)

    def update_members(self, now: float, alive: Mapping[str, int], known: Collection[str]) -> None:
        """What membership says: who is alive, with the incarnation of each, and whom it knows at all."""
        self.state.fleet.update(now, alive, known)

    def connected(self, now: float, peer: str, memory_id: int, incarnation: int) -> None:
        """A connection to a member, on which all messages pass in order."""
        self._recovery.on_connected(now, peer, memory_id, incarnation)

    def disconnected(self, peer: str) -> None:
        """The connection to a member has ended."""
        self.state.fleet.connected.pop(peer, None)

    def receive(self, now: float, peer: str, message: Message) -> None:
        """A message of a member."""
        match message:
            case messages.Replicate():
                self._voter.on_replicate(now, peer, message)
            case messages.ReplicateAck():
                self.state.leases.record_ack(peer, message.sent_at_ms)
                self._replicator.on_ack(now, peer, message)
            case messages.ReplicateReject():
                self._on_replicate_reject(now, peer, message)
            case messages.Heartbeat():
                self.state.send(peer, messages.HeartbeatAck(message.sent_at_ms))
            case messages.HeartbeatAck():
                self.state.leases.record_ack(peer, message.sent_at_ms)
            case messages.Fenced():
                self._leases.on_fenced(peer, message.key, (message.term, message.claimer))
            case messages.ClaimRequest():
                self._voter.on_claim(now, peer, message)
            case messages.ClaimGrant():
                self._takeover.on_grant(now, peer, message)
            case messages.ClaimReject():
                self._takeover.on_reject(now, peer, message)
            case messages.LookupRequest():
                self._lookups.on_request(now, peer, message)
            case messages.LookupReply():
                self._lookups.on_reply(message)
            case messages.Release():
                self._voter.on_release(peer, message)

    def _on_replicate_reject(self, now: float, peer: str, message: messages.ReplicateReject) -> None:
        held = self._replicator.held_by_answer(message)
        if held is None:
            return
        self.state.counters[f"nack-{REJECT_COUNTERS[message.reason]}"] += 1
        awaits_admission = held.on_admission is not None
        match message.reason:
            case RejectReason.BODY_MISSING:
                self._replicator.resend_body_to(peer, held)
            case RejectReason.FENCED if awaits_admission:
                self._admission.raise_term(now, held, message.highest_term)
            case RejectReason.FENCED:  # not by a claim of ours, or it would have been admitted
                self._leases.on_fenced(peer, message.key, (message.highest_term, ABOVE_ALL_NAMES))
            case RejectReason.KEY_HELD | RejectReason.KEY_REUSED if awaits_admission:
                self._admission.on_key_held(now, held, message)
            case RejectReason.MEMORY_TOO_SHORT | RejectReason.OUT_OF_CAPACITY:
                self._replicator.postpone(now, peer, held)

    def tick(self, now: float) -> None:
        """Do what is due; to be called every few tens of milliseconds."""
        self._send_heartbeats(now)
        self.state.fleet.refresh(now)
        self._replicator.resend_due(now)
        for key in list(self.state.supervised_keys):
            self._supervise(now, key)
        self._expire_records(now)
        self._lookups.expire(now)
        self._takeover.review(now)
        self._takeover.advance(now)

    def _send_heartbeats(self, now: float) -> None:
        if now - self._heartbeat_at_ms >= self.settings.heartbeat_interval_ms:
            self._heartbeat_at_ms = now
            for peer in self.state.fleet.connected:
                self.state.send(peer, messages.Heartbeat(now))

    def _supervise(self, now: float, key: str) -> None:
        """What time does to a request held here: its waits end, its lease ends or is regained."""
        held = self.state.held.get(key)
        if held is None:
            self.state.supervised_keys.pop(key, None)
            return
        answered = held.record.stage >= Stage.ANSWERED
        if answered and not (held.pending or held.suspended):
            self.state.supervised_keys.pop(key, None)
        self._replicator.expire_pending(now, held)
        if held.on_admission is not None or not self.state.is_held(held):
            return
        if held.suspended:
            if self._leases.is_regained(now, held):
                self._leases.resume(now, held)
            else:
                self._takeover.reclaim(now, held)
        elif held.record.stage < Stage.ANSWERED and self._leases.is_expiring(now, held):
            self._leases.suspend(held)

    def _expire_records(self, now: float) -> None:
        for key in self.state.table.expire(now):
            self.state.held.pop(key, None)
            self._takeover.forget(key)
            self._fencing.forget(key)

    def close(self) -> None:
        """The process ends: nothing is admitted or answered here from now on, and whoever waits is told so."""
        self.state.closed = True
        for held in list(self.state.held.values()):
            self._admission.cancel(held, "closed")
            self._leases.stop(held)

    def take_outbox(self) -> list[tuple[str, Message]]:
        """The messages to send, each with its receiver, in order."""
        outbox, self.state.outbox = self.state.outbox, []
        return outbox

    def take_events(self) -> list[HandoffEvent]:
        """The lines to log, in order."""
        events, self.state.events = self.state.events, []
        return events

    @property
    def has_output(self) -> bool:
        """Whether there is something to send or to log."""
        return bool(self.state.outbox or self.state.events)

    @property
    def table(self) -> RecordTable:
        """The records kept here."""
        return self.state.table

    def figures(self) -> dict[str, Any]:
        """Counters, for operators; the names are those of `decklb handoff`."""
        state = self.state
        return {
            "held": len(state.table),
            "own": len(state.held),
            "bytes": state.table.bytes_retained,
            "claims": self._takeover.active_count,
            "orphans": self._takeover.scheduled_count,
            "links": len(state.fleet.connected),
            "counts": dict(state.counters),
        }
