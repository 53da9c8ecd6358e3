"""The proposer of the replicated register: proposes one member's own changes one after another.

Owns the queue of changes and the current round of the first one: its ballot and the replies received. A round without
a majority in time is repeated under a higher ballot, with exponential backoff and jitter. Called by
`replicated_register.py` with the time and with other members' replies.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from decklb.maintenance.acceptor import Acceptor
from decklb.maintenance.errors import QuorumUnavailableError
from decklb.maintenance.paxos_messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Committed,
    Prepare,
    Promise,
    Rejected,
    quorum_size,
)

Value = TypeVar("Value")
Reply = Promise | Accepted | Rejected
MAX_ROUND_FACTOR = 8.0  # maximum duration of one round in round timeouts
REJECTION_WAIT_DIVISOR = 4  # after a rejection the next round starts within the round's timeout divided by this


@dataclass(frozen=True, slots=True)
class ValueCodec(Generic[Value]):
    """The register's value before any change, and its encoding."""

    initial: Value
    encode: Callable[[Value], bytes]
    decode: Callable[[bytes], Value]


@dataclass(slots=True)
class Proposal(Generic[Value]):
    """A change that is queued or being proposed. Times are ms."""

    change: Callable[[Value], Value]
    on_result: Callable[[Value | Exception], None]
    deadline: float
    ballot: Ballot = NO_BALLOT  # ballot of the current round; NO_BALLOT before the first round
    round_started_at: float = 0.0
    round_timeout_ms: float = 0.0
    promises: dict[str, Promise] = field(default_factory=dict)  # by member
    accepted_by: set[str] = field(default_factory=set)
    encoded: bytes | None = None  # the changed value, encoded; set from phase 2 on
    value: Value | None = None  # the changed value


class Proposer(Generic[Value]):
    """One member's proposer."""

    def __init__(
        self,
        member: str,
        acceptor: Acceptor,
        codec: ValueCodec[Value],
        member_count: int,
        round_timeout_ms: float,
        rng: random.Random,
        broadcast: Callable[[Prepare | Accept | Committed], None],
        on_commit: Callable[[Ballot, bytes], None],
    ) -> None:
        """Start with an empty queue.

        Args:
            member: This member's name.
            acceptor: This member's own acceptor, which takes part in each round without messages.
            codec: The value before any change, and its encoding.
            member_count: Number of members in the whole fleet.
            round_timeout_ms: Time that the first round waits for a quorum, without jitter.
            rng: Source of the jitter that separates members that propose at the same time.
            broadcast: Sends a message to all other members.
            on_commit: Called with the ballot and the encoded value of each committed change.
        """
        self._member = member
        self._acceptor = acceptor
        self._codec = codec
        self._quorum = quorum_size(member_count)
        self._round_timeout_ms = round_timeout_ms
        self._rng = rng
        self._broadcast = broadcast
        self._on_commit = on_commit
        self._queue: list[Proposal[Value]] = []
        self._backoff = 1.0  # factor on the round timeout: doubled by each round that times out, halved by each commit

    @property
    def busy(self) -> bool:
        """Whether a change is queued or being proposed."""
        return bool(self._queue)

    def propose(self, proposal: Proposal[Value]) -> None:
        """Queue a change."""
        self._queue.append(proposal)

    def tick(self, now: float) -> None:
        """Abandon changes past their deadline, and begin a round if one is due."""
        for proposal in [p for p in self._queue if now > p.deadline]:
            self._queue.remove(proposal)
            proposal.on_result(QuorumUnavailableError())
        if not self._queue or self._acceptor.recovering:
            return
        proposal = self._queue[0]
        if proposal.ballot == NO_BALLOT:
            self._begin_round(now, proposal)
        elif now - proposal.round_started_at >= proposal.round_timeout_ms:
            # Longer rounds let replies arrive in time: with a fixed timeout, replies that take longer than one round
            # would always belong to an abandoned ballot.
            self._backoff = min(2 * self._backoff, MAX_ROUND_FACTOR / 2)
            self._begin_round(now, proposal)

    def on_reply(self, now: float, sender: str, message: Reply) -> None:
        """Process another member's reply; a reply to an earlier round is ignored."""
        if not self._queue or self._queue[0].ballot != message.ballot:
            return
        proposal = self._queue[0]
        # A proposer that was stalled past the end of its round must not continue it: members that gave it promises may
        # have restarted and forgotten them.
        if now - proposal.round_started_at < proposal.round_timeout_ms:
            self._count_reply(now, sender, message, proposal)

    def _begin_round(self, now: float, proposal: Proposal[Value]) -> None:
        """Phase 1 under a new ballot."""
        proposal.ballot = Ballot(self._acceptor.next_ballot_number(), self._member)
        proposal.round_started_at = now
        # Without jitter, two members that propose at the same time could reject each other's ballots forever.
        proposal.round_timeout_ms = self._round_timeout_ms * self._backoff * (1 + self._rng.random())
        proposal.promises.clear()
        proposal.accepted_by.clear()
        proposal.encoded = None
        prepare = Prepare(proposal.ballot)
        self._broadcast(prepare)
        self._count_reply(now, self._member, self._acceptor.on_prepare(prepare), proposal)

    def _count_reply(self, now: float, sender: str, message: Reply, proposal: Proposal[Value]) -> None:
        match message:
            case Rejected():
                if message.promised > proposal.ballot:
                    self._abandon_round(now, message, proposal)
            case Promise():
                proposal.promises[sender] = message
                if proposal.encoded is None and len(proposal.promises) >= self._quorum:
                    self._apply_change(now, proposal)
            case Accepted():
                if proposal.encoded is not None:
                    proposal.accepted_by.add(sender)
                    if len(proposal.accepted_by) >= self._quorum:
                        self._commit(proposal)

    def _abandon_round(self, now: float, message: Rejected, proposal: Proposal[Value]) -> None:
        """End the round early, as a higher ballot is promised and this one can no longer succeed."""
        self._acceptor.observe_ballot_number(message.promised.number)
        proposal.promises.clear()
        wait = now - proposal.round_started_at + proposal.round_timeout_ms / REJECTION_WAIT_DIVISOR
        proposal.round_timeout_ms = min(proposal.round_timeout_ms, wait)

    def _apply_change(self, now: float, proposal: Proposal[Value]) -> None:
        """Phase 2: apply the change to the newest value that the quorum has accepted, and propose the result."""
        newest = max(proposal.promises.values(), key=lambda promise: promise.accepted)
        current = self._codec.decode(newest.value) if newest.accepted != NO_BALLOT else self._codec.initial
        try:
            proposal.value = proposal.change(current)
        except Exception as error:  # the change is not possible: report the error and propose nothing
            self._queue.pop(0)
            proposal.on_result(error)
            return
        proposal.encoded = self._codec.encode(proposal.value)
        accept = Accept(proposal.ballot, proposal.encoded)
        self._broadcast(accept)
        self._count_reply(now, self._member, self._acceptor.on_accept(accept), proposal)

    def _commit(self, proposal: Proposal[Value]) -> None:
        """Complete the change, as a majority has accepted its value."""
        assert proposal.encoded is not None
        assert proposal.value is not None
        self._queue.pop(0)
        self._backoff = max(1.0, self._backoff / 2)
        self._on_commit(proposal.ballot, proposal.encoded)
        self._broadcast(Committed(proposal.ballot, proposal.encoded))
        proposal.on_result(proposal.value)
