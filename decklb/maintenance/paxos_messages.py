"""Types of the replicated register's protocol (CASPaxos): ballots, the acceptor's state and the messages of a round.

Used by the acceptor, the proposer and the register, and encoded by `messages.py`. Tag numbers and the order of fields
are the wire format.
"""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class Ballot(NamedTuple):
    """Orders proposals by number, then by the proposer's name, so that no two members use the same ballot."""

    number: int
    proposer: str


class AcceptedValue(NamedTuple):
    """The value that an acceptor has accepted last (encoded), and its ballot."""

    ballot: Ballot
    value: bytes


NO_BALLOT = Ballot(0, "")  # below the ballot of any proposal
NOTHING_ACCEPTED = AcceptedValue(NO_BALLOT, b"")


class AcceptorState(NamedTuple):
    """The state that an acceptor must not forget, as otherwise a committed change could be lost."""

    promised: Ballot
    accepted: AcceptedValue


def quorum_size(member_count: int) -> int:
    """Return the number of members that form a majority."""
    return member_count // 2 + 1


class Prepare(Struct, array_like=True, tag=1, frozen=True):
    """Phase 1 request: promise to accept nothing below this ballot, and report the last accepted value."""

    ballot: Ballot


class Promise(Struct, array_like=True, tag=2, frozen=True):
    """Phase 1 reply: the ballot is promised; `value` (encoded) was accepted under `accepted`."""

    ballot: Ballot
    accepted: Ballot
    value: bytes


class Accept(Struct, array_like=True, tag=3, frozen=True):
    """Phase 2 request: accept this encoded value."""

    ballot: Ballot
    value: bytes


class Accepted(Struct, array_like=True, tag=4, frozen=True):
    """Phase 2 reply: the value is accepted."""

    ballot: Ballot


class Rejected(Struct, array_like=True, tag=5, frozen=True):
    """Reply to either phase: the acceptor has promised a higher ballot, or is recovering or cannot persist its state.

    `promised` is the promised ballot; while the acceptor is recovering it equals `ballot`.
    """

    ballot: Ballot
    promised: Ballot


class Committed(Struct, array_like=True, tag=6, frozen=True):
    """Notification of learners: a majority has accepted this encoded value."""

    ballot: Ballot
    value: bytes


class StateRequest(Struct, array_like=True, tag=7, frozen=True):
    """Request of a recovering acceptor for another acceptor's state; the receiver promises nothing."""

    nonce: int  # identifies the recovery, so that replies to an earlier process are ignored


class StateReply(Struct, array_like=True, tag=8, frozen=True):
    """An acceptor's state; if that acceptor is itself recovering (`recovered` is false), it counts only as a reply."""

    nonce: int
    promised: Ballot
    accepted: Ballot
    value: bytes
    recovered: bool


RegisterMessage = Prepare | Promise | Accept | Accepted | Rejected | Committed | StateRequest | StateReply
