"""Suspends held requests when their lease ends, resumes them when it is regained, and gives them up when fenced.

A holder stops a fraction of a lease early, so that engines have time to cancel running attempts. It is fenced once so
many voters have granted higher claims that no quorum remains for it. The state is `suspended` of each `HeldRequest`.
"""

from __future__ import annotations

from decklb.handoff.admission_result import AdmissionResult, AdmissionState
from decklb.handoff.ballots import Ballot, quorum_of
from decklb.handoff.held_request import HeldRequest
from decklb.handoff.member_state import MemberState
from decklb.handoff.replication import NOT_ACKED, Replicator
from decklb.handoff.takeover_policy import TakeoverAction, decide_takeover

STOP_MARGIN_LEASES = 0.2  # a holder stops this part of a lease early, so that engines can cancel running attempts


class LeaseSupervisor:
    """Suspends, resumes and gives up held requests."""

    def __init__(self, state: MemberState, replicator: Replicator) -> None:
        self._state, self._replicator = state, replicator

    def is_expiring(self, now: float, held: HeldRequest) -> bool:
        """Whether the lease on a request has ended or will end within the stop margin."""
        return not self._state.may_act(now, held, STOP_MARGIN_LEASES * self._state.settings.lease_ms)

    def is_regained(self, now: float, held: HeldRequest) -> bool:
        """Whether a quorum has any version of a suspended request, and its lease is valid again."""
        return self._replicator.committed_version(held) > NOT_ACKED and not self.is_expiring(now, held)

    def suspend(self, held: HeldRequest) -> None:
        """Stop acting on a request whose lease has ended."""
        held.suspended = True
        self._state.counters["stalled"] += 1
        self._state.log("handoff-lease-ended", held.key, term=held.record.term)
        self.stop(held)

    def stop(self, held: HeldRequest) -> None:
        """Fail the callers that wait for a quorum, and stop the request at the front."""
        held.fail_pending()
        self._state.runner.stop(held.key)

    def resume(self, now: float, held: HeldRequest) -> None:
        """Act on a request that this member has taken over, or had suspended."""
        held.suspended = False
        decision = decide_takeover(held.record, now)
        self._state.counters[f"resumed-{decision.reason}"] += 1
        self._state.log(
            "handoff-resumed",
            held.key,
            step=decision.action.value,
            reason=decision.reason,
            term=held.record.term,
        )
        if decision.action is TakeoverAction.FAIL:
            self._replicator.write(now, held, decision.record)
        elif decision.action in (TakeoverAction.SEND, TakeoverAction.SEND_WITH_KEY):
            self._run_again(held)

    def _run_again(self, held: HeldRequest) -> None:
        body = self._state.table.body(held.key)
        if body is None:  # answer too large to replicate: by then only the former holder had the body
            self._replicator.release(held)
        else:
            self._state.runner.run(held.record, body)

    def on_fenced(self, voter: str, key: str, ballot: Ballot) -> None:
        """A voter granted a higher claim of a key, so it no longer counts as a voter of the record held here."""
        held = self._state.held.get(key)
        if held is None or ballot <= (held.record.term, self._state.member):
            return
        held.ineligible_voters.add(voter)
        remaining = len(held.record.voters) - len(held.ineligible_voters)
        if remaining < quorum_of(held.record, self._state.settings):
            self.give_up(held)

    def give_up(self, held: HeldRequest) -> None:
        """Stop holding a request that another member holds or is about to hold."""
        if not self._state.is_held(held):
            return
        del self._state.held[held.key]
        self._state.counters["lost-to-another"] += 1
        self._state.log("handoff-fenced", held.key, term=held.record.term)
        self.stop(held)
        if (on_admission := held.on_admission) is not None:
            held.on_admission = None
            on_admission(AdmissionResult(AdmissionState.RUNNING, reason="fenced"))
