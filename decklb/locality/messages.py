"""What members tell one another of zones: one MessagePack array, carried by the cluster's datagrams (free of I/O)."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from decklb.cluster.errors import WireError
from decklb.locality.zones import Ballot, Decided, State

VERSION = 1
TOPIC = "locality"
MOST = 10  # zones in one word: with the longest names it still fits a datagram
NONE = 255  # no state
STATES = {int(s): s for s in State}
VOTES: dict[int, State | None] = STATES | {NONE: None}

Zone = Annotated[str, Meta(min_length=1, max_length=64)]
Term = Annotated[int, Meta(ge=0, le=1 << 53)]
Percent = Annotated[int, Meta(ge=0, le=100)]


class Row(Struct, array_like=True, frozen=True):
    """One zone: the sender's vote (`NONE` for no vote) and what it reaches; what it holds decided, and for how long.

    A decided term of 0 is none.
    """

    zone: Zone
    term: Term
    state: Annotated[int, Meta(ge=0, le=255)]
    flags: Annotated[int, Meta(ge=0, le=3)]  # 1: seen lately; 2: cut off
    up: Percent
    decided: Term
    held: Annotated[int, Meta(ge=0, le=3)]
    age: Annotated[int, Meta(ge=0, le=1 << 40)]  # ms


class Word(Struct, array_like=True, frozen=True):
    """`load` is what the sender's own callers ask of their zone, in cores."""

    version: int
    home: Annotated[str, Meta(max_length=64)]
    load: Annotated[float, Meta(ge=0, le=1e9)]
    rows: Annotated[list[Row], Meta(max_length=MOST)]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Word)


def pack(home: str, load: float, words: list[Ballot | Decided]) -> list[bytes]:
    """A member's words of one moment, as few datagrams as they fit."""
    held = {w.zone: w for w in words if isinstance(w, Decided)}
    rows = []
    for b in words:
        if isinstance(b, Ballot):
            d = held.get(b.zone) or Decided(b.zone, 0, State.HEALTHY)
            rows.append(
                Row(
                    b.zone,
                    b.term,
                    NONE if b.state is None else b.state,
                    b.seen | b.cut << 1,
                    round(100 * b.up),
                    d.term,
                    d.state,
                    min(1 << 40, round(d.age)),
                )
            )
    return [_encoder.encode(Word(VERSION, home, round(load, 3), rows[i : i + MOST])) for i in range(0, len(rows), MOST)]


def read(data: bytes, sender: str) -> tuple[str, float, list[Ballot | Decided]]:
    """Home, load and words of another member. Raises WireError."""
    try:
        word = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise WireError("shape", str(error)) from error
    if word.version != VERSION:
        raise WireError("version", f"{word.version}")
    words: list[Ballot | Decided] = []
    for r in word.rows:
        if r.state not in VOTES:
            raise WireError("shape", f"state {r.state}")
        words.append(Ballot(r.zone, sender, r.term, VOTES[r.state], r.flags & 1 > 0, r.flags & 2 > 0, r.up / 100))
        if r.decided:
            words.append(Decided(r.zone, r.decided, STATES[r.held], float(r.age)))
    return word.home, word.load, words
