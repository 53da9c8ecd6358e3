"""The acceptor of the replicated register: one member's promises and the value it has accepted.

Owns the state that must survive a restart (`AcceptorState`) and its recovery. A member that restarts without it has
forgotten its promises. It then rejects every proposal until proposals that count on those promises are over and it has
read the state of a majority of the others, or of all of them; else a committed change could be lost. Where so many
members restart at once that no majority remembers, what only they had accepted is lost with them.

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
        """Starts from `state`, or recovers where there is none.

        Args:
            member_count: Members of the whole fleet.
            nonce: Random number that marks the replies to this process's recovery.
            recovery_starts_at: Time (ms) by which no proposal lives that counts on promises of an earlier process.
            request_interval_ms: Between two requests for the others' state.
            state: What an earlier process of this member persisted; None if nothing.
            persist: Writes the state before any reply rests on it; returns whether it is written.
        """
        self.promised = NO_BALLOT if state is None else state.promised
        self.accepted = NOTHING_ACCEPTED if state is None else state.accepted
        self.recovering = member_count > 1 and state is None
        self.highest_number = 0  # of all ballots seen
        self._member_count = member_count
        self._persist = persist
        self._nonce = nonce
        self._recovery_starts_at = recovery_starts_at
        self._request_interval_ms = request_interval_ms
        self._requested_at = -float("inf")
        self._state_replies: dict[str, StateReply] = {}

    def observe(self, number: int) -> None:
        """Note the number of a ballot, for this member's next proposal to be above it."""
        self.highest_number = max(self.highest_number, number)

    def next_ballot_number(self) -> int:
        """A number above those of all ballots seen and promised."""
        self.highest_number = max(self.highest_number, self.promised.number) + 1
        return self.highest_number

    def on_prepare(self, message: Prepare) -> Promise | Rejected:
        """Phase 1: promise the ballot if it is above every promise before, and the promise is persisted."""
        ballot = message.ballot
        self.observe(ballot.number)
        if self.recovering or ballot <= self.promised or not self._persist(AcceptorState(ballot, self.accepted)):
            return self._reject(ballot)
        self.promised = ballot
        return Promise(ballot, *self.accepted)

    def on_accept(self, message: Accept) -> Accepted | Rejected:
        """Phase 2: accept the value unless a higher ballot is promised, or it can't be persisted."""
        accepted = AcceptedValue(message.ballot, message.value)
        state = AcceptorState(message.ballot, accepted)
        if self.recovering or message.ballot < self.promised or not self._persist(state):
            return self._reject(message.ballot)
        self.promised, self.accepted = state
        return Accepted(message.ballot)

    def on_state_request(self, message: StateRequest) -> StateReply:
        """The state, for a member that recovers."""
        return StateReply(message.nonce, self.promised, *self.accepted, not self.recovering)

    def state_request(self, now: float) -> StateRequest | None:
        """The request to all others that is due now; None where none is."""
        if not self.recovering or now < self._recovery_starts_at:
            return None
        if now - self._requested_at < self._request_interval_ms:
            return None
        self._requested_at = now
        return StateRequest(self._nonce)

    def on_state_reply(self, sender: str, message: StateReply) -> None:
        """Another member's state; ends the recovery once enough of them are known.

        What this member promised in an earlier process, it promised to a proposer of a majority. With a majority of the
        others' states the highest of all is known, as any two majorities share a member that has not forgotten.
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
        self.observe(self.promised.number)
        self.recovering = not self._persist(AcceptorState(self.promised, self.accepted))

    def _reject(self, ballot: Ballot) -> Rejected:
        return Rejected(ballot, ballot if self.recovering else self.promised)
