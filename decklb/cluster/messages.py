"""What members say to one another: MessagePack arrays by msgspec, versioned, bounded.

A datagram is one envelope round any number of messages. Unknown versions and kinds are refused whole.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Raw, Struct

VERSION = 1
MOST = 1400  # bytes of a sealed datagram: it crosses usual links whole
MOST_BODY = 400  # messages in one
MOST_CARGO = 1100  # bytes of a subsystem's word: it fits with the longest name of a sender

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Host = Annotated[str, Meta(min_length=1, max_length=64)]
Subject = Annotated[str, Meta(min_length=1, max_length=128)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Weight = Annotated[float, Meta(gt=0, le=1000)]

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3  # states of a member
UP, DOWN = 1, 2  # states of a subject


class WireError(Exception):
    """A datagram that can't be read; `reason` is a short code for the counters."""

    def __init__(self, reason: str, text: str = "") -> None:
        super().__init__(f"{reason}: {text}" if text else reason)
        self.reason = reason


class Ping(Struct, array_like=True, tag=1, frozen=True):
    """Are you there, `target`? An address may come to belong to another member."""

    n: Count
    target: Name


class Ack(Struct, array_like=True, tag=2, frozen=True):
    """I am, or who you asked for is."""

    n: Count


class Nack(Struct, array_like=True, tag=3, frozen=True):
    """I am here, but who you asked for said nothing."""

    n: Count


class Ask(Struct, array_like=True, tag=4, frozen=True):
    """Ping `target` for me."""

    n: Count
    target: Name
    host: Host
    port: Port


class Alive(Struct, array_like=True, tag=5, frozen=True):
    """A member's word on itself. `life` is its incarnation, `boot` the one run of its process."""

    name: Name
    host: Host
    port: Port
    life: Count
    boot: Count
    ready: bool
    weight: Weight


class Suspect(Struct, array_like=True, tag=6, frozen=True):
    """It did not answer `by`."""

    name: Name
    life: Count
    by: Name


class Dead(Struct, array_like=True, tag=7, frozen=True):
    """It was suspected too long; by itself, it has left."""

    name: Name
    life: Count
    by: Name


class Digest(Struct, array_like=True, tag=8, frozen=True):
    """Sums of what the sender knows of members, four bytes a bucket."""

    sums: Annotated[bytes, Meta(min_length=256, max_length=256)]


class Same(Struct, array_like=True, tag=9, frozen=True):
    """The answer to sums that are like ours."""


class Want(Struct, array_like=True, tag=10, frozen=True):
    """Send these buckets."""

    buckets: Annotated[bytes, Meta(max_length=64)]


class Row(Struct, array_like=True, tag=11, frozen=True):
    """What the sender knows of a member; `age` is ms since its state changed."""

    name: Name
    host: Host
    port: Port
    life: Count
    boot: Count
    ready: bool
    weight: Weight
    state: Annotated[int, Meta(ge=0, le=3)]
    age: Count


class Result(Struct, array_like=True, tag=12, frozen=True):
    """What the owner of a duty found; `at` is its wall clock in ms."""

    kind: Name
    subject: Subject
    term: Count
    owner: Name
    at: Count
    state: Annotated[int, Meta(ge=UP, le=DOWN)]


class Disclaim(Struct, array_like=True, tag=13, frozen=True):
    """`by` can't do this duty; others had better, for `rest` ms."""

    kind: Name
    subject: Subject
    by: Name
    at: Count
    rest: Count


class Cargo(Struct, array_like=True, tag=14, frozen=True):
    """What a subsystem tells its like at another member; the cluster carries it unread, and may lose it."""

    topic: Name
    data: Annotated[bytes, Meta(max_length=MOST_CARGO)]


Message = Ping | Ack | Nack | Ask | Alive | Suspect | Dead | Digest | Same | Want | Row | Result | Disclaim | Cargo


class Envelope(Struct, array_like=True, frozen=True):
    """`seq` counts the sender's datagrams, `wall` is its clock in Unix ms, `clock` its Lamport time."""

    version: int
    sender: Name
    boot: Count
    seq: Count
    wall: Count
    clock: Count
    body: list[Message]


class _Out(Struct, array_like=True, frozen=True):
    version: int
    sender: str
    boot: int
    seq: int
    wall: int
    clock: int
    body: list[Raw]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def pack(message: Message) -> bytes:
    """One message; news is packed once and sent often."""
    return _encoder.encode(message)


def envelope(sender: str, boot: int, seq: int, wall: int, clock: int, body: list[bytes]) -> bytes:
    """A whole datagram, not yet sealed."""
    return _encoder.encode(_Out(VERSION, sender, boot, seq, wall, clock, [Raw(x) for x in body]))


def room(sender: str) -> int:
    """Bytes that messages may take in an envelope of this sender, seal included."""
    return MOST - SEAL - (1 + 1 + 2 + len(sender.encode()) + 4 * 9 + 3)


def read(data: bytes) -> Envelope:
    """Raises WireError."""
    try:
        found = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise WireError("shape", str(error)) from error
    if found.version != VERSION:
        raise WireError("version", f"{found.version}")
    if len(found.body) > MOST_BODY:
        raise WireError("shape", "too many messages")
    return found


SEAL = 1 + 4 + 12 + 16  # version, key, nonce, tag
