"""The voter's side of the protocol: handles replicated versions, claims of keys, and releases.

A voter acknowledges no version of a key that it may have forgotten, and grants no claim while it sees the holder
alive. The state is the records and granted ballots of `RecordTable`.
"""

from __future__ import annotations

from msgspec.structs import replace

from decklb.handoff.fencing import FencingNotices
from decklb.handoff.leases import LeaseSupervisor
from decklb.handoff.member_state import MemberState
from decklb.handoff.messages import (
    ClaimGrant,
    ClaimReject,
    ClaimRequest,
    RejectReason,
    Release,
    Replicate,
    ReplicateAck,
    ReplicateReject,
)
from decklb.handoff.records import Record, Stage
from decklb.handoff.recovery import VoterMemory
from decklb.handoff.takeover import Takeover


class Voter:
    """Votes on other members' records."""

    def __init__(
        self,
        state: MemberState,
        leases: LeaseSupervisor,
        takeover: Takeover,
        fencing: FencingNotices,
        memory: VoterMemory,
    ) -> None:
        self._state, self._leases, self._takeover = state, leases, takeover
        self._fencing, self._memory = fencing, memory

    def on_replicate(self, now: float, peer: str, message: Replicate) -> None:
        """A holder sent a version of a record."""
        state, record = self._state, message.record
        if record.holder != peer or state.member not in record.voters:
            return
        existing = state.table.get(record.key)
        reason = self._reject_reason(now, message, existing)
        if reason is None and not state.table.receive_replica(record, message.remaining_ms, now, message.body):
            if (
                existing is not None
                and existing.holder == record.holder
                and existing.precedence() > record.precedence()
            ):
                return  # a late older version; the newer one has been acknowledged
            reason = RejectReason.OUT_OF_CAPACITY
        if reason is not None:
            self._reject(message, reason, existing)
            return
        held = state.held.get(record.key)
        if held is not None and held.record.holder != record.holder:
            self._leases.give_up(held)
        self._takeover.unschedule(record.key)
        state.send(peer, ReplicateAck(record.key, record.term, record.version, message.sent_at_ms))

    def _reject_reason(self, now: float, message: Replicate, existing: Record | None) -> RejectReason | None:
        """Return why a version must not be stored; None if nothing but a lack of capacity could prevent it."""
        record = message.record
        if existing is None:
            if not self._memory.covers(now, record.key_generated and not record.admitted, message.age_ms):
                return RejectReason.MEMORY_TOO_SHORT
        elif (existing.holder, existing.holder_incarnation) != (record.holder, record.holder_incarnation) and (
            message.new_key or record.term <= existing.term
        ):
            same_request = existing.request_digest == record.request_digest
            return RejectReason.KEY_HELD if same_request else RejectReason.KEY_REUSED
        if not self._state.table.ballots.admits(record):
            return RejectReason.FENCED
        if message.body is None and record.stage < Stage.ANSWERED and self._state.table.body(record.key) is None:
            return RejectReason.BODY_MISSING
        return None

    def _reject(self, message: Replicate, reason: RejectReason, existing: Record | None) -> None:
        record = message.record
        held_elsewhere = reason in (RejectReason.KEY_HELD, RejectReason.KEY_REUSED)
        holder = existing.holder if existing is not None and held_elsewhere else ""
        highest_term = self._state.table.ballots.highest_term(record.key)
        self._state.send(
            record.holder,
            ReplicateReject(record.key, record.term, reason, message.sent_at_ms, holder, highest_term),
        )

    def on_claim(self, now: float, peer: str, message: ClaimRequest) -> None:
        """A member claims a key because it sees the holder as lost."""
        state, key, ballot = self._state, message.key, (message.term, peer)
        existing = state.table.get(key)
        highest_term = state.table.ballots.highest_term(key)
        if existing is None and not self._memory.covers(now, key_generated=False, age_ms=0.0):
            state.send(peer, ClaimReject(key, message.term, RejectReason.MEMORY_TOO_SHORT, highest_term))
            return
        if existing is not None and existing.holder != peer and state.fleet.holder_alive(existing):
            state.send(peer, ClaimReject(key, message.term, RejectReason.HOLDER_ALIVE, highest_term))
            return
        if (existing is not None and message.term <= existing.term) or not state.table.grant(key, ballot, now):
            highest_term = max(highest_term, existing.term if existing is not None else 0)
            state.send(peer, ClaimReject(key, message.term, RejectReason.TERM_TOO_LOW, highest_term))
            return
        if existing is not None:
            self._fencing.fence(existing, ballot)
        held = state.held.get(key)
        if held is not None and held.record.term < message.term:
            self._leases.give_up(held)
        self._takeover.yield_to(now, key, ballot)
        self._send_grant(now, peer, message, existing)

    def _send_grant(self, now: float, peer: str, message: ClaimRequest, existing: Record | None) -> None:
        record, remaining_ms = None, 0.0
        if existing is not None:
            record, remaining_ms = replace(existing, deadline_ms=0.0), existing.deadline_ms - now
        body = self._state.table.body(message.key)
        self._state.send(peer, ClaimGrant(message.key, message.term, record, remaining_ms, body))

    def on_release(self, peer: str, message: Release) -> None:
        """A holder released a key."""
        existing = self._state.table.get(message.key)
        if (
            existing is not None
            and (existing.holder, existing.holder_incarnation) == (peer, message.holder_incarnation)
            and self._state.table.ballots.admits(existing)
        ):
            self._state.table.remove(message.key)
