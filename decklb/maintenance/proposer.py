"""The proposer of the replicated register: one member's own changes, proposed one after another.

Owns the queue of changes and the round of the first one: its ballot, the promises and acceptances that it has. Called
by `replicated_register.py` with the time and with other members' replies. A round that gets no majority in time is made
again under a higher ballot; the wait grows with each in vain (exponential backoff with jitter).
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
MAX_ROUND_FACTOR = 8.0  # times the round timeout that one round may last at most
REJECTION_WAIT_DIVISOR = 4  # of a round's wait, that a rejected round still waits before the next


@dataclass(frozen=True, slots=True)
class ValueCodec(Generic[Value]):
    """The register's value before any change, and its encoding."""

    initial: Value
    encode: Callable[[Value], bytes]
    decode: Callable[[bytes], Value]


@dataclass(slots=True)
class Proposal(Generic[Value]):
    """A change that waits in the queue or is under way. Times are ms."""

    change: Callable[[Value], Value]
    on_result: Callable[[Value | Exception], None]
    deadline: float
    ballot: Ballot = NO_BALLOT  # of the current round; none before the first
    round_started_at: float = 0.0
    round_timeout_ms: float = 0.0
    promises: dict[str, Promise] = field(default_factory=dict)  # by member
    accepted_by: set[str] = field(default_factory=set)
    encoded: bytes | None = None  # the changed value, from phase 2 on
    value: Value | None = None


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
        """Starts with no change.

        Args:
            member: This member's name.
            acceptor: This member's own acceptor; it takes part in each round without a message.
            codec: The value before any change, and its encoding.
            member_count: Members of the whole fleet.
            round_timeout_ms: The first round's wait for a quorum.
            rng: For jitter, which parts members that propose at once.
            broadcast: Sends a message to all others.
            on_commit: Told of each value that a majority has accepted, encoded.
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
        self._backoff = 1.0  # times the round timeout; doubled by each round in vain, halved by each that is done

    @property
    def busy(self) -> bool:
        """Whether a change waits or is under way."""
        return bool(self._queue)

    def propose(self, proposal: Proposal[Value]) -> None:
        """Queue a change."""
        self._queue.append(proposal)

    def tick(self, now: float) -> None:
        """Give up changes past their deadline, and begin the round that is due."""
        for proposal in [p for p in self._queue if now > p.deadline]:
            self._queue.remove(proposal)
            proposal.on_result(QuorumUnavailableError())
        if not self._queue or self._acceptor.recovering:
            return
        proposal = self._queue[0]
        if proposal.ballot == NO_BALLOT:
            self._begin_round(now, proposal)
        elif now - proposal.round_started_at >= proposal.round_timeout_ms:
            # Replies that are slower than a round would always come to a ballot that is given up already.
            self._backoff = min(2 * self._backoff, MAX_ROUND_FACTOR / 2)
            self._begin_round(now, proposal)

    def on_reply(self, now: float, sender: str, message: Reply) -> None:
        """Another member's reply; one to a round that is over changes nothing."""
        if not self._queue or self._queue[0].ballot != message.ballot:
            return
        proposal = self._queue[0]
        # A proposer held up for long may not go on with promises of members that have restarted since.
        if now - proposal.round_started_at < proposal.round_timeout_ms:
            self._count_reply(now, sender, message, proposal)

    def _begin_round(self, now: float, proposal: Proposal[Value]) -> None:
        """Phase 1 under a new ballot."""
        proposal.ballot = Ballot(self._acceptor.next_ballot_number(), self._member)
        proposal.round_started_at = now
        # Two that propose at once would outbid each other for good; chance parts them.
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
        """A higher ballot is promised, so this one can't win any more: the next round comes sooner."""
        self._acceptor.observe(message.promised.number)
        proposal.promises.clear()
        wait = now - proposal.round_started_at + proposal.round_timeout_ms / REJECTION_WAIT_DIVISOR
        proposal.round_timeout_ms = min(proposal.round_timeout_ms, wait)

    def _apply_change(self, now: float, proposal: Proposal[Value]) -> None:
        """Phase 2: the change applied to the newest value that the quorum has accepted."""
        newest = max(proposal.promises.values(), key=lambda promise: promise.accepted)
        current = self._codec.decode(newest.value) if newest.accepted != NO_BALLOT else self._codec.initial
        try:
            proposal.value = proposal.change(current)
        except Exception as error:  # the request can't be taken: that is its result, and nothing is proposed
            self._queue.pop(0)
            proposal.on_result(error)
            return
        proposal.encoded = self._codec.encode(proposal.value)
        accept = Accept(proposal.ballot, proposal.encoded)
        self._broadcast(accept)
        self._count_reply(now, self._member, self._acceptor.on_accept(accept), proposal)

    def _commit(self, proposal: Proposal[Value]) -> None:
        """A majority has accepted the value."""
        assert proposal.encoded is not None
        assert proposal.value is not None
        self._queue.pop(0)
        self._backoff = max(1.0, self._backoff / 2)
        self._on_commit(proposal.ballot, proposal.encoded)
        self._broadcast(Committed(proposal.ballot, proposal.encoded))
        proposal.on_result(proposal.value)
