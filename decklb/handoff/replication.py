"""Replicates held records to their voters, and commits versions that a quorum of voters has acknowledged.

Each new version is sent to all connected voters at once, and again after `resend_interval_ms` until it is
acknowledged. Callers that must not proceed before a quorum has a version use `await_quorum`. The state is the keys of
which some connected voter lacks the newest version; everything else is in each `HeldRequest`.
"""

from __future__ import annotations

from msgspec.structs import replace

from decklb.handoff.ballots import quorum_of
from decklb.handoff.held_request import HeldRequest, PendingCommit, QuorumCallback
from decklb.handoff.member_state import MemberState
from decklb.handoff.messages import Release, Replicate, ReplicateAck, ReplicateReject
from decklb.handoff.records import Record

NOT_ACKED = -1  # below every version
POSTPONE_INTERVALS = 4  # further resend intervals to wait for a voter without capacity or with too short a memory


class Replicator:
    """Sends versions of held records, and reports when a quorum has them."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._unacked_keys: dict[str, None] = {}  # keys of which a connected voter lacks the newest version

    def write(self, now: float, held: HeldRequest, record: Record) -> None:
        """Store `record` as the newest version here, and send it to the voters."""
        held.record = record
        self._state.table.write(record)
        self.replicate(now, held)

    def replicate(self, now: float, held: HeldRequest) -> None:
        """Send the newest version to all connected voters at once."""
        self._unacked_keys[held.key] = None
        held.sent_at_ms.clear()
        self._send_due(now, held)

    def resend_due(self, now: float) -> None:
        """Resend versions that were not acknowledged in time."""
        for key in list(self._unacked_keys):
            if (held := self._state.held.get(key)) is not None:
                self._send_due(now, held)
            else:
                del self._unacked_keys[key]

    def resend_to(self, peer: str) -> None:
        """A voter has reconnected: send it the newest versions of all held records that it votes on."""
        for key, held in self._state.held.items():
            if peer in held.record.voters:
                self._unacked_keys[key] = None
                held.sent_at_ms.pop(peer, None)

    def resend_body_to(self, peer: str, held: HeldRequest) -> None:
        """A voter lacks the request itself: include it in the next replica."""
        held.voters_with_body.discard(peer)
        held.sent_at_ms.pop(peer, None)

    def postpone(self, now: float, peer: str, held: HeldRequest) -> None:
        """Delay the next replica to a voter that can't store the record now, but may be able to later."""
        held.sent_at_ms[peer] = now + self._state.settings.resend_interval_ms * POSTPONE_INTERVALS

    def _send_due(self, now: float, held: HeldRequest) -> None:
        """Send the newest version to each connected voter that has not acknowledged it."""
        state, record, unacked = self._state, held.record, False
        for voter in record.voters:
            if voter == state.member or voter not in state.fleet.connected:
                continue
            if held.acked_versions.get(voter, NOT_ACKED) >= record.version:
                continue
            unacked = True
            if now - held.sent_at_ms.get(voter, -float("inf")) < state.settings.resend_interval_ms:
                continue
            held.sent_at_ms[voter] = now
            state.send(voter, self._message_to(voter, now, held))
        if not unacked:
            self._unacked_keys.pop(record.key, None)

    def _message_to(self, voter: str, now: float, held: HeldRequest) -> Replicate:
        record = held.record
        return Replicate(
            replace(record, deadline_ms=0.0),  # on this member's clock, so meaningless elsewhere
            remaining_ms=record.deadline_ms - now,
            age_ms=now - held.held_since_ms,
            sent_at_ms=now,
            new_key=held.on_admission is not None,
            body=None if voter in held.voters_with_body else self._state.table.body(record.key),
        )

    def release(self, held: HeldRequest) -> None:
        """Drop a record here and at its voters, which frees its key."""
        state = self._state
        if state.is_held(held):
            del state.held[held.key]
            state.table.remove(held.key)
            for voter in held.record.voters:
                if voter in state.fleet.connected:
                    state.send(voter, Release(held.key, state.incarnation))

    def on_ack(self, now: float, peer: str, message: ReplicateAck) -> None:
        """A voter has stored a version."""
        held = self.held_by_answer(message)
        if held is not None:
            held.acked_versions[peer] = max(held.acked_versions.get(peer, NOT_ACKED), message.version)
            held.voters_with_body.add(peer)
            self.settle(now, held)

    def held_by_answer(self, answer: ReplicateAck | ReplicateReject) -> HeldRequest | None:
        """Return the held request to which a voter's answer refers.

        None if the key was released and admitted again after the message was sent: such an answer refers to the
        earlier request.
        """
        held = self._state.held.get(answer.key)
        if held is None or held.record.term != answer.term or answer.sent_at_ms < held.held_since_ms:
            return None
        return held

    def await_quorum(self, now: float, held: HeldRequest, on_quorum: QuorumCallback) -> None:
        """Report to `on_quorum` whether a quorum acknowledges the newest version within the quorum timeout."""
        self._state.supervised_keys[held.key] = None
        expires_at_ms = now + self._state.settings.quorum_timeout_ms
        held.pending.append(PendingCommit(held.record.version, expires_at_ms, on_quorum))
        self.settle(now, held)

    def committed_version(self, held: HeldRequest) -> int:
        """Return the newest version that a quorum of eligible voters has; NOT_ACKED if there is none."""
        record, member = held.record, self._state.member
        versions = sorted(
            (
                record.version if voter == member else held.acked_versions.get(voter, NOT_ACKED)
                for voter in record.voters
                if voter not in held.ineligible_voters
            ),
            reverse=True,
        )
        quorum = quorum_of(record, self._state.settings)
        return versions[quorum - 1] if len(versions) >= quorum else NOT_ACKED

    def settle(self, now: float, held: HeldRequest) -> None:
        """Notify the callers whose version is committed, if the lease is valid."""
        if not held.pending:
            return
        committed = self.committed_version(held)
        if committed < held.pending[0].version or not self._state.may_act(now, held):
            return
        reached = [commit for commit in held.pending if commit.version <= committed]
        held.pending = [commit for commit in held.pending if commit.version > committed]
        for commit in reached:
            commit.on_quorum(True)

    def expire_pending(self, now: float, held: HeldRequest) -> None:
        """Settle, then report failure to the callers whose quorum timeout has passed."""
        if not held.pending:
            return
        self.settle(now, held)
        expired = [commit for commit in held.pending if commit.expires_at_ms <= now]
        if expired:
            held.pending = [commit for commit in held.pending if commit.expires_at_ms > now]
            for commit in expired:
                commit.on_quorum(False)
