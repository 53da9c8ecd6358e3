"""Admission of requests with an idempotency key: a request is admitted once a quorum of voters has its record.

A key that is known already is looked up instead. Whatever can't be vouched for is rejected, which is harmless: the
client may come back with its key at any time. Called by the front through `HandoffCoordinator`; the only state is
`on_admission` of each `HeldRequest`.
"""

from __future__ import annotations

from msgspec.structs import replace

from decklb.handoff.admission_result import AdmissionResult, AdmissionState, ResultCallback
from decklb.handoff.errors import KeyReusedError, RecordLimitError
from decklb.handoff.held_request import HeldRequest, PendingCommit
from decklb.handoff.lookups import Lookups
from decklb.handoff.member_state import MemberState
from decklb.handoff.messages import RejectReason, ReplicateReject
from decklb.handoff.records import Record
from decklb.handoff.recovery import VoterMemory
from decklb.handoff.replication import Replicator
from decklb.handoff.takeover import Takeover


class Admission:
    """Admits requests under their keys."""

    def __init__(
        self,
        state: MemberState,
        replicator: Replicator,
        lookups: Lookups,
        takeover: Takeover,
        memory: VoterMemory,
    ) -> None:
        self._state, self._replicator, self._lookups = state, replicator, lookups
        self._takeover, self._memory = takeover, memory

    def admit(self, now: float, record: Record, body: bytes, on_result: ResultCallback) -> None:
        """Admit a request.

        Args:
            now: This member's clock in ms.
            record: The request's record; holder, incarnation, term, version and voters are filled in here.
            body: The request itself, as the front encoded it.
            on_result: Told once what became of it.
        """
        state, key = self._state, record.key
        try:
            entry = state.table.lookup(key, record.request_digest)
        except KeyReusedError:
            on_result(AdmissionResult(AdmissionState.KEY_REUSED))
            return
        if entry.known:
            self._lookups.find(now, key, record.request_digest, on_result)
            return
        if state.closed or not state.fleet.complete:
            state.reject(on_result, "closed" if state.closed else "members-unknown")
            return
        record = self._first_version(record)
        try:
            state.table.add(record, body)
        except RecordLimitError:
            state.reject(on_result, "no-room")
            return
        self._takeover.cancel(key)
        held = state.held[key] = HeldRequest(record, now, on_admission=on_result)
        if not self._memory.covers(now, record.key_generated, age_ms=0.0):
            held.ineligible_voters.add(state.member)
        self._replicator.await_quorum(now, held, lambda reached: self._decided(held, reached))
        self._replicator.replicate(now, held)

    def _first_version(self, record: Record) -> Record:
        state = self._state
        return replace(
            record,
            holder=state.member,
            holder_incarnation=state.incarnation,
            term=state.table.ballots.highest_term(record.key) + 1,
            version=0,
            voters=state.fleet.voters(record.key),
        )

    def _decided(self, held: HeldRequest, reached: bool) -> None:
        on_result, held.on_admission = held.on_admission, None
        if on_result is None:  # told otherwise meanwhile
            return
        if reached:
            self._state.counters["taken"] += 1
            on_result(AdmissionResult(AdmissionState.ADMITTED))
            return
        self._replicator.release(held)
        self._state.reject(on_result, "no-quorum")

    def raise_term(self, now: float, held: HeldRequest, highest_term: int) -> None:
        """A voter granted a higher term in an earlier life of the key: the new record goes above it."""
        held.record = replace(held.record, term=highest_term + 1)
        held.acked_versions.clear()
        self._state.table.write(held.record)
        held.pending = [
            PendingCommit(held.record.version, commit.expires_at_ms, commit.on_quorum) for commit in held.pending
        ]
        self._replicator.replicate(now, held)

    def on_key_held(self, now: float, held: HeldRequest, message: ReplicateReject) -> None:
        """A voter keeps the key for another holder: its request is the same, which is looked up, or another."""
        on_result = held.on_admission
        assert on_result is not None
        held.on_admission, held.pending = None, []
        self._replicator.release(held)
        if message.reason == RejectReason.KEY_REUSED:
            on_result(AdmissionResult(AdmissionState.KEY_REUSED))
        else:
            self._lookups.ask_holder(now, message.holder, message.key, held.record.request_digest, on_result)

    def cancel(self, held: HeldRequest, reason: str) -> None:
        """Reject a request whose admission is still to be decided."""
        if (on_result := held.on_admission) is not None:
            held.on_admission, held.pending = None, []
            self._state.reject(on_result, reason)
