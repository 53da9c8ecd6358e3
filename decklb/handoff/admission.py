"""Admission of requests with an idempotency key: a request is admitted once a quorum of voters has its record.

If the key is already known, the existing request is looked up instead. A request that can't be protected now (no
quorum, no capacity, too few known members, or this process is ending) is rejected, which is harmless: the client may
retry with the same key at any time. The front calls this module through `HandoffCoordinator`. The only state is
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
    """Admits requests with idempotency keys."""

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
            body: The request itself, as encoded by the front.
            on_result: Called once with the result.
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
        self._replicator.await_quorum(now, held, lambda reached: self._on_quorum_result(held, reached))
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

    def _on_quorum_result(self, held: HeldRequest, reached: bool) -> None:
        on_result, held.on_admission = held.on_admission, None
        if on_result is None:  # the result has already been reported
            return
        if reached:
            self._state.counters["taken"] += 1
            on_result(AdmissionResult(AdmissionState.ADMITTED))
            return
        self._replicator.release(held)
        self._state.reject(on_result, "no-quorum")

    def raise_term(self, now: float, held: HeldRequest, highest_term: int) -> None:
        """Raise the term of a new record above the highest one that a voter granted in an earlier use of the key."""
        held.record = replace(held.record, term=highest_term + 1)
        held.acked_versions.clear()
        self._state.table.write(held.record)
        held.pending = [
            PendingCommit(held.record.version, commit.expires_at_ms, commit.on_quorum) for commit in held.pending
        ]
        self._replicator.replicate(now, held)

    def on_key_held(self, now: float, held: HeldRequest, message: ReplicateReject) -> None:
        """A voter has the key for another holder: look the request up if it is the same, else report key reuse."""
        on_result = held.on_admission
        assert on_result is not None
        held.on_admission, held.pending = None, []
        self._replicator.release(held)
        if message.reason == RejectReason.KEY_REUSED:
            on_result(AdmissionResult(AdmissionState.KEY_REUSED))
        else:
            self._lookups.ask_holder(now, message.holder, message.key, held.record.request_digest, on_result)

    def cancel(self, held: HeldRequest, reason: str) -> None:
        """Reject a request whose admission is undecided."""
        if (on_result := held.on_admission) is not None:
            held.on_admission, held.pending = None, []
            self._state.reject(on_result, reason)
