"""What members tell one another of the plan: MessagePack by msgspec, in parts that fit the cluster's datagrams."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from decklb.cluster.errors import WireError
from decklb.maintenance.plan import Plan
from decklb.maintenance.register import (
    Accept,
    Accepted,
    Held,
    Prepare,
    Promise,
    Read,
    Refused,
    Settled,
)

TOPIC = "maintenance"
VERSION = 1
PART = 1000  # bytes of a word in one datagram
MOST_PARTS = 64
MOST_OPEN = 64  # words of which parts lack; older ones go

Name = Annotated[str, Meta(min_length=1, max_length=128)]


class Report(Struct, array_like=True, tag=9, frozen=True):
    """A member's word, said again and again: how far it has the plan (`steps`, and the ballot of the newest value that
    it knows), which run of its process it is, what it has out at machines that are away, which engines it can't
    reach, and which of those that are out it saw down since they are."""

    steps: Annotated[int, Meta(ge=0)]
    ballot: tuple[Annotated[int, Meta(ge=0)], str]
    boot: Annotated[int, Meta(ge=0)]
    busy: Annotated[dict[Name, Annotated[int, Meta(ge=0)]], Meta(max_length=1000)]
    down: Annotated[list[Name], Meta(max_length=1000)]
    went: Annotated[list[Name], Meta(max_length=1000)]


Message = Prepare | Promise | Accept | Accepted | Refused | Settled | Read | Held | Report


class Part(Struct, array_like=True, frozen=True):
    """A piece of one word."""

    version: int
    word: Annotated[int, Meta(ge=0)]
    index: Annotated[int, Meta(ge=0, lt=MOST_PARTS)]
    count: Annotated[int, Meta(ge=1, le=MOST_PARTS)]
    data: Annotated[bytes, Meta(max_length=PART)]


_encoder = msgspec.msgpack.Encoder()
_words = msgspec.msgpack.Decoder(Message)
_parts = msgspec.msgpack.Decoder(Part)
_plans = msgspec.msgpack.Decoder(Plan)


def pack_plan(plan: Plan) -> bytes:
    """As the register carries it."""
    return _encoder.encode(plan)


def read_plan(data: bytes) -> Plan:
    """Raises WireError."""
    try:
        return _plans.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise WireError("shape", str(error)) from error


def parts(word: int, message: Message) -> list[bytes]:
    """One word as datagrams. Raises ValueError where it has more parts than members take."""
    data = _encoder.encode(message)
    pieces = [data[i : i + PART] for i in range(0, len(data), PART)]
    if len(pieces) > MOST_PARTS:
        raise ValueError(f"the plan has {len(data)} bytes; at most {PART * MOST_PARTS} fit: let jobs end first")
    return [_encoder.encode(Part(VERSION, word, i, len(pieces), x)) for i, x in enumerate(pieces)]


class Reader:
    """Puts words together again; what lacks a part is forgotten in time."""

    def __init__(self) -> None:
        self._open: dict[tuple[str, int], dict[int, bytes]] = {}

    def feed(self, sender: str, data: bytes) -> Message | None:
        """A datagram; the word that it completes. Raises WireError."""
        try:
            part = _parts.decode(data)
            if part.version != VERSION:
                raise WireError("version", f"{part.version}")
            if part.count == 1:
                return _words.decode(part.data)
            pieces = self._open.setdefault((sender, part.word), {})
            pieces[part.index] = part.data
            if len(pieces) < part.count:
                while len(self._open) > MOST_OPEN:
                    del self._open[next(iter(self._open))]
                return None
            del self._open[sender, part.word]
            return _words.decode(b"".join(pieces[i] for i in sorted(pieces)))
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
            raise WireError("shape", str(error)) from error
