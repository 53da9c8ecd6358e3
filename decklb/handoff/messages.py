"""Messages between members about replicated records, and their frames: MessagePack arrays by msgspec.

A frame is one envelope around any number of messages, sealed as the cluster's datagrams are. Its nonce is the
receiver's own, from its greeting on this connection, and its sequence number counts up: a frame of an earlier
connection, or one that is replayed, is refused.

The order of the fields and the tags are the wire form, which members of several versions share. Messages are made and
handled by the modules that `coordinator.py` wires, and framed by `runtime.py`. Durations and times are milliseconds; a
`sent_at_ms` is on its sender's clock and comes back unchanged in the answer, where it renews the lease.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Raw, Struct

from decklb.handoff.errors import FrameError
from decklb.handoff.records import Outcome, Record

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 << 20  # of a sealed frame
MAX_MESSAGES = 1000  # in one frame

MemberName = Annotated[str, Meta(min_length=1, max_length=64)]
Key = Annotated[str, Meta(min_length=1, max_length=200)]
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Milliseconds = Annotated[float, Meta(ge=-1e9, le=1e12)]


class RejectReason(IntEnum):
    """Why a replica or a claim is rejected."""

    KEY_HELD = 1  # another member, or another incarnation, holds the key
    KEY_REUSED = 2  # the key was given to another request
    FENCED = 3  # a higher claim was granted
    MEMORY_TOO_SHORT = 4  # this voter may have forgotten a record of the key
    BODY_MISSING = 5  # the request itself is lacking here
    OUT_OF_CAPACITY = 6
    HOLDER_ALIVE = 7  # the holder is alive in this voter's view
    TERM_TOO_LOW = 8  # a claim must be above `highest_term`


class LookupState(IntEnum):
    """What the holder of a key answers about it."""

    UNKNOWN = 0
    RUNNING = 1
    ANSWERED = 2
    OTHER_REQUEST = 3  # the key was given to another request


class Greeting(Struct, array_like=True, frozen=True):
    """The first frame of each side."""

    version: int
    member: MemberName
    incarnation: Count
    memory_id: Count  # names what the sender remembers; another one means that it has forgotten
    memory_age_ms: Milliseconds  # how far that reaches back
    nonce: Annotated[bytes, Meta(min_length=16, max_length=16)]


class Replicate(Struct, array_like=True, tag=1, frozen=True):
    """Holder to voter: the newest version of a record."""

    record: Record
    remaining_ms: Milliseconds  # until the record's deadline
    age_ms: Milliseconds  # since the holder admitted the key, or took it over
    sent_at_ms: float
    new_key: bool  # the request waits for its admission
    body: bytes | None = None  # the request itself, until the voter has it


class ReplicateAck(Struct, array_like=True, tag=2, frozen=True):
    """Voter to holder: this version is kept here."""

    key: Key
    term: Count
    version: Count
    sent_at_ms: float


class ReplicateReject(Struct, array_like=True, tag=3, frozen=True):
    """Voter to holder: this version is not kept here."""

    key: Key
    term: Count
    reason: RejectReason
    sent_at_ms: float
    holder: str = ""  # of the key, as far as the voter knows
    highest_term: Count = 0  # that the voter granted for the key


class Heartbeat(Struct, array_like=True, tag=4, frozen=True):
    """Renews the sender's leases on all that it holds."""

    sent_at_ms: float


class HeartbeatAck(Struct, array_like=True, tag=5, frozen=True):
    """The sender still admits all the receiver holds, but for what it said was fenced."""

    sent_at_ms: float


class Fenced(Struct, array_like=True, tag=6, frozen=True):
    """Voter to former holder: a higher claim of this key was granted to another member."""

    key: Key
    term: Count
    claimer: MemberName


class ClaimRequest(Struct, array_like=True, tag=7, frozen=True):
    """Claimer to voter: the holder of this key is lost, and the sender wants to hold it under this term."""

    key: Key
    term: Count


class ClaimGrant(Struct, array_like=True, tag=8, frozen=True):
    """Voter to claimer: granted, with what the voter keeps of the key."""

    key: Key
    term: Count
    record: Record | None = None
    remaining_ms: Milliseconds = 0.0  # until the record's deadline
    body: bytes | None = None


class ClaimReject(Struct, array_like=True, tag=9, frozen=True):
    """Voter to claimer: not granted."""

    key: Key
    term: Count
    reason: RejectReason
    highest_term: Count = 0  # that a further claim must be above


class LookupRequest(Struct, array_like=True, tag=10, frozen=True):
    """To the holder of a key: a client came to the sender with it."""

    request_id: Count
    key: Key
    request_digest: Annotated[str, Meta(max_length=64)]


class LookupReply(Struct, array_like=True, tag=11, frozen=True):
    """What the holder knows of the key."""

    request_id: Count
    state: LookupState
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""


class Release(Struct, array_like=True, tag=12, frozen=True):
    """The sender holds no record of this key in this incarnation: the key is free."""

    key: Key
    holder_incarnation: Count


Message = (
    Replicate
    | ReplicateAck
    | ReplicateReject
    | Heartbeat
    | HeartbeatAck
    | Fenced
    | ClaimRequest
    | ClaimGrant
    | ClaimReject
    | LookupRequest
    | LookupReply
    | Release
)


class Envelope(Struct, array_like=True, frozen=True):
    """One frame after the greeting."""

    nonce: bytes
    sequence: Count
    messages: list[Message]


class _EncodedEnvelope(Struct, array_like=True, frozen=True):
    """An envelope whose messages are encoded already."""

    nonce: bytes
    sequence: int
    messages: list[Raw]


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_greeting_decoder = msgspec.msgpack.Decoder(Greeting)


def encode_message(message: Message | Greeting) -> bytes:
    """The bytes of one message, or of a greeting."""
    return _encoder.encode(message)


def encode_envelope(nonce: bytes, sequence: int, messages: list[bytes]) -> bytes:
    """The bytes of a frame around encoded messages, not yet sealed."""
    return _encoder.encode(_EncodedEnvelope(nonce, sequence, [Raw(message) for message in messages]))


def decode_greeting(data: bytes) -> Greeting:
    """Decode the first frame.

    Raises:
        FrameError: With the reason "shape" or "version".
    """
    try:
        greeting = _greeting_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise FrameError("shape", str(error)) from error
    if greeting.version != PROTOCOL_VERSION:
        raise FrameError("version", f"{greeting.version}")
    return greeting


def decode_envelope(data: bytes) -> Envelope:
    """Decode a frame after the first.

    Raises:
        FrameError: With the reason "shape".
    """
    try:
        envelope = _envelope_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        raise FrameError("shape", str(error)) from error
    if len(envelope.messages) > MAX_MESSAGES:
        raise FrameError("shape", "too many messages")
    return envelope
