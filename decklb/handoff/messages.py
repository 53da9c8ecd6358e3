"""Messages between members about replicated records, and their frames, encoded as MessagePack arrays by msgspec.

A frame is one envelope with any number of messages, sealed in the same way as the cluster's datagrams. It carries the
nonce from the receiver's greeting on this connection and an increasing sequence number, so frames of an earlier
connection and replayed frames are rejected.

The tags and the order of the fields define the wire format, which must stay compatible between versions. Messages are
created and handled by the modules that `coordinator.py` connects, and framed by `peer_connection.py`. Durations and
times are in ms. A `sent_at_ms` is on its sender's clock and is returned unchanged in the answer, where it renews the
sender's lease.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Raw, Struct

from decklb.handoff.errors import FrameError
from decklb.handoff.records import Outcome, Record

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 << 20  # size limit of a sealed frame
MAX_MESSAGES = 1000  # limit per frame

MemberName = Annotated[str, Meta(min_length=1, max_length=64)]
Key = Annotated[str, Meta(min_length=1, max_length=200)]
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Milliseconds = Annotated[float, Meta(ge=-1e9, le=1e12)]


class RejectReason(IntEnum):
    """Reason for rejecting a replica or a claim."""

    KEY_HELD = 1  # another member, or another incarnation of the same member, holds the key
    KEY_REUSED = 2  # the key belongs to a different request
    FENCED = 3  # a higher claim of the key was granted
    MEMORY_TOO_SHORT = 4  # this voter may have forgotten a record of the key
    BODY_MISSING = 5  # this voter does not have the request itself
    OUT_OF_CAPACITY = 6
    HOLDER_ALIVE = 7  # this voter sees the holder alive
    TERM_TOO_LOW = 8  # the term of a claim must be above `highest_term`


class LookupState(IntEnum):
    """The holder's answer about a key."""

    UNKNOWN = 0
    RUNNING = 1
    ANSWERED = 2
    OTHER_REQUEST = 3  # the key belongs to a different request


class Greeting(Struct, array_like=True, frozen=True):
    """The first frame that each side sends."""

    version: int
    member: MemberName
    incarnation: Count
    memory_id: Count  # identifies the sender's memory; a changed id means that its earlier memory is lost
    memory_age_ms: Milliseconds  # how far back that memory reaches
    nonce: Annotated[bytes, Meta(min_length=16, max_length=16)]


class Replicate(Struct, array_like=True, tag=1, frozen=True):
    """Holder to voter: the newest version of a record."""

    record: Record
    remaining_ms: Milliseconds  # until the record's deadline
    age_ms: Milliseconds  # time since the holder admitted the key or took it over
    sent_at_ms: float
    new_key: bool  # the admission of the request is undecided
    body: bytes | None = None  # the request itself; None once the voter has it


class ReplicateAck(Struct, array_like=True, tag=2, frozen=True):
    """Voter to holder: the voter has stored this version."""

    key: Key
    term: Count
    version: Count
    sent_at_ms: float


class ReplicateReject(Struct, array_like=True, tag=3, frozen=True):
    """Voter to holder: the voter has not stored this version."""

    key: Key
    term: Count
    reason: RejectReason
    sent_at_ms: float
    holder: str = ""  # holder of the key as far as the voter knows
    highest_term: Count = 0  # highest term that the voter granted for the key


class Heartbeat(Struct, array_like=True, tag=4, frozen=True):
    """To each connected member: its acknowledgement renews the sender's leases on all records that it holds."""

    sent_at_ms: float


class HeartbeatAck(Struct, array_like=True, tag=5, frozen=True):
    """The sender still admits all records that the receiver holds, except those it reported as fenced."""

    sent_at_ms: float


class Fenced(Struct, array_like=True, tag=6, frozen=True):
    """Voter to former holder: the voter granted a higher claim of this key to another member."""

    key: Key
    term: Count
    claimer: MemberName


class ClaimRequest(Struct, array_like=True, tag=7, frozen=True):
    """Claimer to voter: the holder of this key is lost, and the claimer requests to hold it under this term."""

    key: Key
    term: Count


class ClaimGrant(Struct, array_like=True, tag=8, frozen=True):
    """Voter to claimer: the claim is granted; the message carries what the voter has of the key."""

    key: Key
    term: Count
    record: Record | None = None
    remaining_ms: Milliseconds = 0.0  # until the record's deadline
    body: bytes | None = None


class ClaimReject(Struct, array_like=True, tag=9, frozen=True):
    """Voter to claimer: the claim is rejected."""

    key: Key
    term: Count
    reason: RejectReason
    highest_term: Count = 0  # the term of a further claim must be above this


class LookupRequest(Struct, array_like=True, tag=10, frozen=True):
    """To the holder of a key: the sender received a request with this key from a client."""

    request_id: Count
    key: Key
    request_digest: Annotated[str, Meta(max_length=64)]


class LookupReply(Struct, array_like=True, tag=11, frozen=True):
    """Answer of the holder about the key."""

    request_id: Count
    state: LookupState
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""


class Release(Struct, array_like=True, tag=12, frozen=True):
    """The sender holds no record of this key in this incarnation, so replicas of it are void and the key is free."""

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
    """A frame after the greeting."""

    nonce: bytes
    sequence: Count
    messages: list[Message]


class _EncodedEnvelope(Struct, array_like=True, frozen=True):
    """An envelope of messages that are already encoded."""

    nonce: bytes
    sequence: int
    messages: list[Raw]


_encoder = msgspec.msgpack.Encoder()
_envelope_decoder = msgspec.msgpack.Decoder(Envelope)
_greeting_decoder = msgspec.msgpack.Decoder(Greeting)


def encode_message(message: Message | Greeting) -> bytes:
    """Encode one message or a greeting."""
    return _encoder.encode(message)


def encode_envelope(nonce: bytes, sequence: int, messages: list[bytes]) -> bytes:
    """Encode a frame of encoded messages, without sealing it."""
    return _encoder.encode(_EncodedEnvelope(nonce, sequence, [Raw(message) for message in messages]))


def decode_greeting(data: bytes) -> Greeting:
    """Decode a greeting, the first frame of a connection.

    Raises:
        FrameError: The frame is malformed (reason "shape") or of another protocol version (reason "version").
    """
    try:
        greeting = _greeting_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise FrameError("shape", str(error)) from error
    if greeting.version != PROTOCOL_VERSION:
        raise FrameError("version", f"{greeting.version}")
    return greeting


def decode_envelope(data: bytes) -> Envelope:
    """Decode a frame after the greeting.

    Raises:
        FrameError: The frame is malformed or has too many messages (reason "shape").
    """
    try:
        envelope = _envelope_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError, ValueError) as error:
        raise FrameError("shape", str(error)) from error
    if len(envelope.messages) > MAX_MESSAGES:
        raise FrameError("shape", "too many messages")
    return envelope
