"""The handoff's state machine in one member: handles calls of the front, messages of other members, and ticks.

The coordinator connects the mechanisms (admission, attempts, replication, leases, takeover, voting, recovery, lookups)
to one `MemberState`, and does no I/O. `runtime.py` drives it with real connections and a clock, the laboratory with a
simulated network. Both call `update_members`, `connected`, `disconnected`, `receive` and `tick`, then send the messages
of `take_outbox` and log `take_events`. All times are in ms on this member's own monotonic clock. `docs/handoff.md`
states the guarantees.
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

ABOVE_ALL_NAMES = "\uffff"  # sorts after every member's name, so a ballot with it is the highest of its term


class HandoffCoordinator:
    """Manages the records that one member holds, and its votes on the records of others."""

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
        """Create and connect the mechanisms of one member.

        Args:
            settings: Must be the same for all members.
            member: This member's name.
            incarnation: Distinguishes successive processes of this member, as in the membership protocol.
            memory_id: Identifies this member's memory of records and grants; it changes when that memory is lost.
            memory_age_ms: How far back that memory reaches; 0 at a start without a store.
            rng: Randomizes the delay of repeated claims.
            now: Current time on this member's clock in ms.
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

    # Calls from the front.

    def admit(self, now: float, record: Record, body: bytes, on_result: ResultCallback) -> None:
        """Admit a request that a client sent with a key. See `Admission.admit`."""
        self._admission.admit(now, record, body, on_result)

    def begin_attempt(
        self, now: float, key: str, engine: str, on_quorum: QuorumCallback, cancel_token: bytes = b""
    ) -> None:
        """Record that an attempt is about to be sent; `on_quorum` is called with whether it may be sent."""
        self._attempts.begin(now, key, engine, on_quorum, cancel_token)

    def set_cancel_token(self, now: float, key: str, engine: str, cancel_token: bytes) -> None:
        """Record the token that cancels the attempt at an engine."""
        self._attempts.set_cancel_token(now, key, engine, cancel_token)

    def attempt_rejected(self, now: float, key: str) -> None:
        """Record that the attempt provably never ran."""
        self._attempts.rejected(now, key)

    def complete(
        self, now: float, key: str, outcome: Outcome, answer: bytes, reason: str, on_quorum: QuorumCallback
    ) -> None:
        """Record the final answer; `on_quorum` is called with whether it may be sent to the client."""
        self._attempts.complete(now, key, outcome, answer, reason, on_quorum)

    def release(self, key: str) -> None:
        """Drop the record of a rejected request, so that its client may retry with the same key."""
        if (held := self.state.held.get(key)) is not None:
            self._replicator.release(held)

    def held(self, key: str) -> HeldRequest | None:
        """Return the request that this member holds under a key, if any."""
        return self.state.held.get(key)

    # Calls from the runtime.

    def restore(self, key: str, record: Record | None, body: bytes | None, granted: Ballot | None, now: float) -> None:
        """Restore the stored entry of a key that an earlier process of this member wrote."""
        self.state.table.restore(key, record, body, granted, now)

    def update_members(self, now: float, alive: Mapping[str, int], known: Collection[str]) -> None:
        """Apply the membership view: the members that are alive, with their incarnations, and all that are known."""
        self.state.fleet.update(now, alive, known)

    def connected(self, now: float, peer: str, memory_id: int, incarnation: int) -> None:
        """A connection to a member was established; it delivers messages in order."""
        self._recovery.on_connected(now, peer, memory_id, incarnation)

    def disconnected(self, peer: str) -> None:
        """The connection to a member has ended."""
        self.state.fleet.connected.pop(peer, None)

    def receive(self, now: float, peer: str, message: Message) -> None:
        """Handle a message from a member."""
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
            case RejectReason.FENCED:
                # The message does not name the claimer. In the record's own term it must be another member: the voter
                # would have admitted the record of a claimer to which it granted that term.
                self._leases.on_fenced(peer, message.key, (message.highest_term, ABOVE_ALL_NAMES))
            case RejectReason.KEY_HELD | RejectReason.KEY_REUSED if awaits_admission:
                self._admission.on_key_held(now, held, message)
            case RejectReason.MEMORY_TOO_SHORT | RejectReason.OUT_OF_CAPACITY:
                self._replicator.postpone(now, peer, held)

    def tick(self, now: float) -> None:
        """Do all work that is due. Must be called every few tens of milliseconds."""
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
        """Time out waits for a quorum, and suspend or resume a held request as its lease ends or is regained."""
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
        """Stop admitting and answering requests, and notify all waiting callers. Called when the process ends."""
        self.state.closed = True
        for held in list(self.state.held.values()):
            self._admission.cancel(held, "closed")
            self._leases.stop(held)

    def take_outbox(self) -> list[tuple[str, Message]]:
        """Remove and return the messages to send, each with its receiver, in order."""
        outbox, self.state.outbox = self.state.outbox, []
        return outbox

    def take_events(self) -> list[HandoffEvent]:
        """Remove and return the events to log, in order."""
        events, self.state.events = self.state.events, []
        return events

    @property
    def has_output(self) -> bool:
        """Whether there are messages to send or events to log."""
        return bool(self.state.outbox or self.state.events)

    @property
    def table(self) -> RecordTable:
        """The records that this member stores."""
        return self.state.table

    def figures(self) -> dict[str, Any]:
        """Return counters and current sizes under the names that `decklb handoff` shows."""
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
