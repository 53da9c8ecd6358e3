"""Looks up requests whose clients retry with the same key: in the record held here, or by asking its holder.

If the holder does not answer within the quorum timeout, the request is reported as still running. The state is the
lookups sent to holders and not answered yet.
"""

from __future__ import annotations

from dataclasses import dataclass

from decklb.handoff.admission_result import AdmissionResult, AdmissionState, ResultCallback
from decklb.handoff.held_request import HeldRequest
from decklb.handoff.member_state import MemberState
from decklb.handoff.messages import LookupReply, LookupRequest, LookupState, Release
from decklb.handoff.records import Outcome, Stage
from decklb.handoff.replication import Replicator
from decklb.interface import Effect


@dataclass(frozen=True, slots=True)
class _PendingLookup:
    expires_at_ms: float
    on_result: ResultCallback


class Lookups:
    """Finds the state and the final answer of requests that were admitted earlier."""

    def __init__(self, state: MemberState, replicator: Replicator) -> None:
        self._state, self._replicator = state, replicator
        self._pending: dict[int, _PendingLookup] = {}  # by the lookup's request_id
        self._last_request_id = 0

    def find(self, now: float, key: str, request_digest: str, on_result: ResultCallback) -> None:
        """Report the result of a request whose record this member has."""
        held = self._state.held.get(key)
        if held is not None:
            self._find_held(now, held, on_result)
            return
        record = self._state.table.get(key)
        assert record is not None
        self.ask_holder(now, record.holder, key, request_digest, on_result)

    def _find_held(self, now: float, held: HeldRequest, on_result: ResultCallback) -> None:
        record = held.record
        if (
            record.stage < Stage.ANSWERED
            or self._replicator.committed_version(held) < record.version
            or not self._state.may_act(now, held)
        ):
            on_result(AdmissionResult(AdmissionState.RUNNING))
            return
        if not record.answer_retained and record.effect is Effect.SAFE:
            self._replicator.release(held)  # the client may have it run again
            self._state.reject(on_result, "answer-not-kept")
            return
        self._state.counters["answered-again"] += 1
        outcome = record.outcome if record.answer_retained else Outcome.FAILED
        on_result(AdmissionResult(AdmissionState.ANSWERED, outcome, record.answer, record.reason))

    def ask_holder(self, now: float, holder: str, key: str, request_digest: str, on_result: ResultCallback) -> None:
        """Ask the holder of a key for the result of its request."""
        fleet = self._state.fleet
        if holder not in fleet.connected or holder not in fleet.alive:
            on_result(AdmissionResult(AdmissionState.RUNNING, reason="holder-lost"))
            return
        self._last_request_id += 1
        expires_at_ms = now + self._state.settings.quorum_timeout_ms
        self._pending[self._last_request_id] = _PendingLookup(expires_at_ms, on_result)
        self._state.send(holder, LookupRequest(self._last_request_id, key, request_digest))

    def expire(self, now: float) -> None:
        """Report requests as running whose holders did not answer in time."""
        expired = [request_id for request_id, lookup in self._pending.items() if lookup.expires_at_ms <= now]
        for request_id in expired:
            lookup = self._pending.pop(request_id)
            lookup.on_result(AdmissionResult(AdmissionState.RUNNING, reason="holder-silent"))

    def on_request(self, now: float, peer: str, message: LookupRequest) -> None:
        """Answer a member that expects a key to be held here."""
        record = self._state.table.get(message.key)
        if record is None:
            self._reply_unknown(peer, message)
        elif record.request_digest != message.request_digest:
            self._state.send(peer, LookupReply(message.request_id, LookupState.OTHER_REQUEST))
        elif message.key not in self._state.held:  # another member holds it now, or is taking it over
            self._state.send(peer, LookupReply(message.request_id, LookupState.RUNNING))
        else:
            self.find(
                now,
                message.key,
                message.request_digest,
                lambda result: self._reply(peer, message.request_id, result),
            )

    def _reply_unknown(self, peer: str, message: LookupRequest) -> None:
        """Repeat the release of a key to its voters: the peer still has a replica of the released record."""
        state = self._state
        state.send(peer, LookupReply(message.request_id, LookupState.UNKNOWN))
        for member in dict.fromkeys((peer, *state.fleet.voters(message.key))):
            if member in state.fleet.connected:
                state.send(member, Release(message.key, state.incarnation))

    def _reply(self, peer: str, request_id: int, result: AdmissionResult) -> None:
        state = LookupState.UNKNOWN
        if result.state is AdmissionState.RUNNING:
            state = LookupState.RUNNING
        elif result.state is AdmissionState.ANSWERED:
            state = LookupState.ANSWERED
        self._state.send(peer, LookupReply(request_id, state, result.outcome, result.answer, result.reason))

    def on_reply(self, message: LookupReply) -> None:
        """Handle the holder's answer to a lookup."""
        lookup = self._pending.pop(message.request_id, None)
        if lookup is None:
            return
        match message.state:
            case LookupState.ANSWERED:
                lookup.on_result(
                    AdmissionResult(AdmissionState.ANSWERED, message.outcome, message.answer, message.reason)
                )
            case LookupState.UNKNOWN:
                self._state.reject(lookup.on_result, "let-go")
            case LookupState.OTHER_REQUEST:
                lookup.on_result(AdmissionResult(AdmissionState.KEY_REUSED))
            case LookupState.RUNNING:
                lookup.on_result(AdmissionResult(AdmissionState.RUNNING))
