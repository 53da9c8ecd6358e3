"""A replicated register: one value that the members agree on and that any of them may change.

The protocol is CASPaxos (Rystsov: "CASPaxos: Replicated State Machines without logs", 2018). A proposer picks a ballot
above all earlier ones and asks a majority for the newest value that each member has accepted. It applies its change to
the newest of these values and has a majority accept the result under the same ballot. Changes are therefore
serialized, whichever members propose them: none is lost, and none is applied to an outdated value. This needs no
leader; it is only faster if a single member proposes.

Owns this member's acceptor, its proposer and the newest value known to be committed (the learner). Does no I/O. Called
by `orchestrator.py` with the time and other members' messages.
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
UNCOMMITTED_CHECK_FACTOR = 10.0  # round timeouts to wait for the commit of an accepted value before checking on it
RECOVERY_MARGIN = 1.1  # rounds begun before this process are over after this multiple of the longest round
NONCE_BITS = 48


class ReplicatedRegister(Generic[Value]):
    """One member's replica of the register.

    Attributes:
        committed: The newest value known to be accepted by a majority.
        committed_ballot: The ballot of that value.
        acceptor: This member's acceptor.
        outgoing: Pairs (member, message) to send; member "" stands for all other members.
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
        """Start from a persisted state, or recover the state from the other members.

        Args:
            member: This member's name.
            codec: The value before any change, and its encoding.
            member_count: Number of members in the whole fleet.
            round_timeout_ms: Time that the first round waits for a quorum, without jitter.
            rng: Source of jitter and of the recovery's nonce.
            now: The current time in ms.
            state: State persisted by an earlier process of this member, or None.
            persist: Writes the acceptor's state before a message that depends on it is sent; returns whether it was
                written.
        """
        self.committed, self.committed_ballot = codec.initial, NO_BALLOT
        self.outgoing: list[tuple[str, RegisterMessage]] = []
        self._codec = codec
        self._round_timeout_ms, self._rng = round_timeout_ms, rng
        # When to check on a value that is accepted here and not known to be committed; early after a start, as all
        # members may have restarted before the commit was announced.
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
        """Whether this member has forgotten its promises and may not participate yet."""
        return self.acceptor.recovering

    @property
    def busy(self) -> bool:
        """Whether a change of this member is queued or being proposed."""
        return self._proposer.busy

    @property
    def newest(self) -> Value:
        """The newest value accepted here; it may be committed later, or already, unknown to this member."""
        accepted = self.acceptor.accepted
        return self._codec.decode(accepted.value) if accepted.ballot > self.committed_ballot else self.committed

    def propose(
        self,
        change: Callable[[Value], Value],
        on_result: Callable[[Value | Exception], None],
        deadline: float = NEVER,
    ) -> None:
        """Queue a change of the value.

        Args:
            change: Returns the new value for a given value. It may be called more than once, each time with the then
                newest value.
            on_result: Called with the committed value, the exception that `change` raised, or QuorumUnavailableError.
            deadline: Time (ms) after which the change is abandoned; it may nevertheless have been committed.
        """
        self._proposer.propose(Proposal(change, on_result, deadline))

    def tick(self, now: float) -> None:
        """Do all work that is due; must be called a few times per round timeout."""
        if (request := self.acceptor.state_request(now)) is not None:
            self._broadcast(request)
        self._check_uncommitted(now)
        self._proposer.tick(now)

    def receive(self, now: float, sender: str, message: RegisterMessage) -> None:
        """Process another member's message."""
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
        """Complete a value that was accepted here and is not known to be committed.

        Its proposer, or all members at once, may have ended before the commit was announced. Proposing a change that
        leaves the value as it is commits the value.
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
