"""A replicated register: one value that the members agree on, and that any of them may change.

Rystsov: "CASPaxos: Replicated State Machines without logs" (2018). A proposer asks a majority for the newest value that
each has accepted, under a ballot above all that they promised; applies its change to the newest; and has a majority
accept the result under the same ballot. So changes form one line, whoever proposes them: none is lost, and none is made
to a value that another change has replaced. No leader is needed for that; one that changes alone is only quicker.

Owns this member's acceptor, its proposer and the newest value known to be committed (the learner). Called by
`orchestrator.py` with the time and other members' messages. Free of I/O.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Generic, TypeVar

from decklb.maintenance.acceptor import Acceptor
from decklb.maintenance.paxos_messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    AcceptorState,
    Ballot,
    Committed,
    Prepare,
    Promise,
    RegisterMessage,
    Rejected,
    StateReply,
    StateRequest,
)
from decklb.maintenance.proposer import MAX_ROUND_FACTOR, Proposal, Proposer, ValueCodec

Value = TypeVar("Value")
NEVER = float("inf")
UNCOMMITTED_CHECK_FACTOR = 10.0  # times the round timeout that an accepted value may wait to be known as committed
RECOVERY_MARGIN = 1.1  # times the longest round, by which all rounds that began before a start are over
NONCE_BITS = 48


class ReplicatedRegister(Generic[Value]):
    """One member's replica.

    Attributes:
        committed: The newest value known to be accepted by a majority.
        committed_ballot: Its ballot.
        acceptor: This member's acceptor.
        outgoing: (member, message) to be sent; member "" is all others.
    """

    def __init__(
        self,
        member: str,
        codec: ValueCodec[Value],
        member_count: int,
        round_timeout_ms: float,
        rng: random.Random,
        now: float,
        state: AcceptorState | None = None,
        persist: Callable[[AcceptorState], bool] = lambda _state: True,
    ) -> None:
        """Starts from a persisted state, or recovers from the other members.

        Args:
            member: This member's name.
            codec: The value before any change, and its encoding.
            member_count: Members of the whole fleet.
            round_timeout_ms: The first wait for a quorum's replies.
            rng: For jitter and the recovery's nonce.
            now: The time, ms.
            state: What an earlier process of this member persisted.
            persist: Writes the acceptor's state before any message rests on it; returns whether it is written.
        """
        self.committed, self.committed_ballot = codec.initial, NO_BALLOT
        self.outgoing: list[tuple[str, RegisterMessage]] = []
        self._codec = codec
        self._round_timeout_ms, self._rng = round_timeout_ms, rng
        # When to look for the fate of a value accepted here that is not known to be committed; soon after a start.
        self._uncommitted_check_at = NEVER if state is None else now + round_timeout_ms * (1 + rng.random())
        self.acceptor = Acceptor(
            member_count,
            nonce=rng.getrandbits(NONCE_BITS),
            recovery_starts_at=now + RECOVERY_MARGIN * MAX_ROUND_FACTOR * round_timeout_ms,
            request_interval_ms=round_timeout_ms / 2,
            state=state,
            persist=persist,
        )
        self._proposer = Proposer(
            member, self.acceptor, codec, member_count, round_timeout_ms, rng, self._broadcast, self._learn
        )

    @property
    def recovering(self) -> bool:
        """Whether this member has forgotten its promises and may not take part yet."""
        return self.acceptor.recovering

    @property
    def busy(self) -> bool:
        """Whether a change of this member waits or is under way."""
        return self._proposer.busy

    @property
    def newest(self) -> Value:
        """What is accepted here: it may come to be committed, or is already without this member knowing."""
        accepted = self.acceptor.accepted
        return self._codec.decode(accepted.value) if accepted.ballot > self.committed_ballot else self.committed

    def propose(
        self,
        change: Callable[[Value], Value],
        on_result: Callable[[Value | Exception], None],
        deadline: float = NEVER,
    ) -> None:
        """Make a change.

        Args:
            change: Makes the next value of the one before. It may be called more than once, each time with the value
                that is newest then.
            on_result: Told the committed value, or what `change` raised, or QuorumUnavailableError.
            deadline: Time (ms) past which the change is given up: it may be done or not.
        """
        self._proposer.propose(Proposal(change, on_result, deadline))

    def tick(self, now: float) -> None:
        """Carry out what is due; to be called a few times within the round timeout."""
        if (request := self.acceptor.state_request(now)) is not None:
            self._broadcast(request)
        self._check_uncommitted(now)
        self._proposer.tick(now)

    def receive(self, now: float, sender: str, message: RegisterMessage) -> None:
        """Handle another member's message."""
        match message:
            case Prepare():
                self.outgoing.append((sender, self.acceptor.on_prepare(message)))
            case Accept():
                self.outgoing.append((sender, self.acceptor.on_accept(message)))
            case StateRequest():
                self.outgoing.append((sender, self.acceptor.on_state_request(message)))
            case StateReply():
                self.acceptor.on_state_reply(sender, message)
            case Committed():
                self._learn(message.ballot, message.value)
            case Promise() | Accepted() | Rejected():
                self._proposer.on_reply(now, sender, message)

    def _check_uncommitted(self, now: float) -> None:
        """Find out what became of a value that was accepted here and is not known to be committed.

        Its proposer may have died before it sent that, or all members at once. A change of nothing commits it.
        """
        if self.acceptor.accepted.ballot <= self.committed_ballot or self.recovering:
            self._uncommitted_check_at = NEVER
        elif self._uncommitted_check_at == NEVER:
            wait = UNCOMMITTED_CHECK_FACTOR * self._round_timeout_ms * (1 + self._rng.random())
            self._uncommitted_check_at = now + wait
        elif now >= self._uncommitted_check_at and not self.busy:
            self._uncommitted_check_at = NEVER
            deadline = now + MAX_ROUND_FACTOR * self._round_timeout_ms
            self.propose(lambda value: value, lambda _result: None, deadline)

    def _learn(self, ballot: Ballot, value: bytes) -> None:
        if ballot > self.committed_ballot:
            self.committed, self.committed_ballot = self._codec.decode(value), ballot

    def _broadcast(self, message: RegisterMessage) -> None:
        self.outgoing.append(("", message))
