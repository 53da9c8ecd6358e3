"""The acceptor of the replicated register: one member's promises and its last accepted value.

Owns the state that must survive a restart (`AcceptorState`) and its recovery. A member that restarts without this state
has forgotten its promises. So that no committed change is lost, it rejects all proposals until two conditions hold: the
rounds that rely on those promises are over, and it has read the state of enough other members: a majority of all
members, or every other member. If so many members restart at once that no majority remembers, the values that only
they had accepted are lost.

Called by `replicated_register.py` with the messages of other members, and by this member's own proposer.
"""

from __future__ import annotations

from collections.abc import Callable

from decklb.maintenance.paxos_messages import (
    NO_BALLOT,
    NOTHING_ACCEPTED,
    Accept,
    Accepted,
    AcceptedValue,
    AcceptorState,
    Ballot,
    Prepare,
    Promise,
    Rejected,
    StateReply,
    StateRequest,
    quorum_size,
)


class Acceptor:
    """One member's acceptor."""

    def __init__(
        self,
        member_count: int,
        nonce: int,
        recovery_starts_at: float,
        request_interval_ms: float,
        state: AcceptorState | None,
        persist: Callable[[AcceptorState], bool],
    ) -> None:
        """Start from a persisted state, or start the recovery if there is none.

        Args:
            member_count: Number of members in the whole fleet.
            nonce: Random number that identifies replies to this process's recovery.
            recovery_starts_at: Time (ms) by which all rounds that rely on promises of an earlier process are over.
            request_interval_ms: Interval between two requests for the state of the other members.
            state: State persisted by an earlier process of this member, or None.
            persist: Writes the state before a reply that depends on it is sent; returns whether it was written.
        """
        self.promised = NO_BALLOT if state is None else state.promised
        self.accepted = NOTHING_ACCEPTED if state is None else state.accepted
        self.recovering = member_count > 1 and state is None
        self.highest_number = 0  # highest ballot number seen
        self._member_count = member_count
        self._persist = persist
        self._nonce = nonce
        self._recovery_starts_at = recovery_starts_at
        self._request_interval_ms = request_interval_ms
        self._requested_at = -float("inf")
        self._state_replies: dict[str, StateReply] = {}

    def observe_ballot_number(self, number: int) -> None:
        """Record the number of a ballot, so that this member's next ballot is above it."""
        self.highest_number = max(self.highest_number, number)

    def next_ballot_number(self) -> int:
        """Return a number above those of all ballots seen and promised."""
        self.highest_number = max(self.highest_number, self.promised.number) + 1
        return self.highest_number

    def on_prepare(self, message: Prepare) -> Promise | Rejected:
        """Phase 1: promise the ballot if it is above all earlier promises and the promise can be persisted."""
        ballot = message.ballot
        self.observe_ballot_number(ballot.number)
        if self.recovering or ballot <= self.promised or not self._persist(AcceptorState(ballot, self.accepted)):
            return self._reject(ballot)
        self.promised = ballot
        return Promise(ballot, *self.accepted)

    def on_accept(self, message: Accept) -> Accepted | Rejected:
        """Phase 2: accept the value unless a higher ballot is promised or the value cannot be persisted."""
        accepted = AcceptedValue(message.ballot, message.value)
        state = AcceptorState(message.ballot, accepted)
        if self.recovering or message.ballot < self.promised or not self._persist(state):
            return self._reject(message.ballot)
        self.promised, self.accepted = state
        return Accepted(message.ballot)

    def on_state_request(self, message: StateRequest) -> StateReply:
        """Return this acceptor's state for a member that is recovering."""
        return StateReply(message.nonce, self.promised, *self.accepted, not self.recovering)

    def state_request(self, now: float) -> StateRequest | None:
        """Return the request to broadcast now; None if no request is due."""
        if not self.recovering or now < self._recovery_starts_at:
            return None
        if now - self._requested_at < self._request_interval_ms:
            return None
        self._requested_at = now
        return StateRequest(self._nonce)

    def on_state_reply(self, sender: str, message: StateReply) -> None:
        """Process another member's state; the recovery ends once enough states are known.

        A promise of this member's earlier process matters only as part of a majority of promises. Any two majorities
        share a member, so the states of a majority of members that have not forgotten include the highest promise
        and the newest value that can have been committed.
        """
        if not self.recovering or message.nonce != self._nonce:
            return
        self._state_replies[sender] = message
        recovered = [reply for reply in self._state_replies.values() if reply.recovered]
        majority_known = len(recovered) >= quorum_size(self._member_count)
        if not majority_known and len(self._state_replies) < self._member_count - 1:
            return
        self.promised = max([self.promised, *(reply.promised for reply in recovered)])
        newest = max(recovered, key=lambda reply: reply.accepted, default=None)
        if newest is not None and newest.accepted > self.accepted.ballot:
            self.accepted = AcceptedValue(newest.accepted, newest.value)
        self.observe_ballot_number(self.promised.number)
        self.recovering = not self._persist(AcceptorState(self.promised, self.accepted))

    def _reject(self, ballot: Ballot) -> Rejected:
        return Rejected(ballot, ballot if self.recovering else self.promised)
