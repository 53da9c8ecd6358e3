"""Codec of the messages that members exchange about zones: one MessagePack array per cluster datagram.

Defines the wire format (version, order of fields, numbers of states, bounds). Stateless and does no I/O. Called by
`coordinator.py`.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct

from decklb.cluster.errors import WireError
from decklb.locality.zone_state import Decision, Vote, ZoneState

VERSION = 1
TOPIC = "locality"  # topic of the cluster datagrams
MAX_ZONES = 10  # per message, so that a message with names of maximum length still fits into a datagram
MAX_AGE_MS = 1 << 40
NO_VOTE = 255  # encoded instead of a state if the sender votes for none
OBSERVED_FLAG = 1
UNREACHABLE_FLAG = 2
STATES = {int(state): state for state in ZoneState}
VOTED_STATES: dict[int, ZoneState | None] = STATES | {NO_VOTE: None}

ZoneName = Annotated[str, Meta(min_length=1, max_length=64)]
Term = Annotated[int, Meta(ge=0, le=1 << 53)]
Percent = Annotated[int, Meta(ge=0, le=100)]


class ZoneEntry(Struct, array_like=True, frozen=True):
    """The sender's vote on one zone, and the newest decision that it knows."""

    zone: ZoneName
    vote_term: Term
    voted_state: Annotated[int, Meta(ge=0, le=255)]  # or NO_VOTE
    flags: Annotated[int, Meta(ge=0, le=3)]  # combination of OBSERVED_FLAG and UNREACHABLE_FLAG
    reachable_percent: Percent
    decided_term: Term  # 0: no state has been decided
    decided_state: Annotated[int, Meta(ge=0, le=3)]
    decision_age_ms: Annotated[int, Meta(ge=0, le=MAX_AGE_MS)]


class ZonesMessage(Struct, array_like=True, frozen=True):
    """The content of a datagram as encoded."""

    version: int
    home_zone: Annotated[str, Meta(max_length=64)]  # zone of the sender
    load_cores: Annotated[float, Meta(ge=0, le=1e9)]  # load of the sender's own callers, in cores
    entries: Annotated[list[ZoneEntry], Meta(max_length=MAX_ZONES)]


class MemberReport(NamedTuple):
    """The content of one member's datagram after decoding."""

    home_zone: str
    load_cores: float
    votes_and_decisions: list[Vote | Decision]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ZonesMessage)


def encode(home_zone: str, load_cores: float, votes_and_decisions: list[Vote | Decision]) -> list[bytes]:
    """Encode a member's current votes and decisions in as few datagrams as possible.

    A decision is encoded together with the vote on its zone; a decision without a vote is left out.
    """
    decisions = {item.zone: item for item in votes_and_decisions if isinstance(item, Decision)}
    votes = [item for item in votes_and_decisions if isinstance(item, Vote)]
    entries = [_entry(vote, decisions.get(vote.zone)) for vote in votes]
    return [
        _encoder.encode(ZonesMessage(VERSION, home_zone, round(load_cores, 3), entries[start : start + MAX_ZONES]))
        for start in range(0, len(entries), MAX_ZONES)
    ]


def decode(data: bytes, sender: str) -> MemberReport:
    """Decode another member's datagram.

    Raises:
        WireError: The datagram is malformed or has another version.
    """
    try:
        message = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise WireError("shape", str(error)) from error
    if message.version != VERSION:
        raise WireError("version", f"{message.version}")
    votes_and_decisions: list[Vote | Decision] = []
    for entry in message.entries:
        votes_and_decisions.append(_vote(entry, sender))
        if entry.decided_term:
            state = STATES[entry.decided_state]
            votes_and_decisions.append(Decision(entry.zone, entry.decided_term, state, float(entry.decision_age_ms)))
    return MemberReport(message.home_zone, message.load_cores, votes_and_decisions)


def _entry(vote: Vote, decision: Decision | None) -> ZoneEntry:
    decided = decision or Decision(vote.zone, 0, ZoneState.HEALTHY)
    return ZoneEntry(
        vote.zone,
        vote.term,
        NO_VOTE if vote.state is None else vote.state,
        (OBSERVED_FLAG if vote.observed else 0) | (UNREACHABLE_FLAG if vote.unreachable else 0),
        round(100 * vote.reachable_fraction),
        decided.term,
        decided.state,
        min(MAX_AGE_MS, round(decided.age_ms)),
    )


def _vote(entry: ZoneEntry, sender: str) -> Vote:
    if entry.voted_state not in VOTED_STATES:
        raise WireError("shape", f"state {entry.voted_state}")
    return Vote(
        entry.zone,
        sender,
        entry.vote_term,
        VOTED_STATES[entry.voted_state],
        bool(entry.flags & OBSERVED_FLAG),
        bool(entry.flags & UNREACHABLE_FLAG),
        entry.reachable_percent / 100,
    )
