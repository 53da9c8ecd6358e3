"""Wire format between members: messages, the envelope around them, and their MessagePack codec.

A datagram is one envelope with up to `MAX_MESSAGES` messages, sealed by `sealing`. Messages and the envelope are
MessagePack arrays: the tag number of a class and the order of its fields define the wire format and never change within
a version. Decoding checks every bound given here; a datagram with an unknown version or tag is rejected as a whole. The
module keeps no state. `node` encodes and decodes envelopes; `membership` and `duties` create and read the messages.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Raw, Struct

from decklb.cluster.errors import WireError

PROTOCOL_VERSION = 1

# Maximum size of a sealed datagram: with UDP and IP headers it fits the usual MTU of 1500, so it is not fragmented.
MAX_DATAGRAM_BYTES = 1400

# Maximum number of messages in one envelope; bounds the work that one datagram can cause.
MAX_MESSAGES = 400

# Maximum size of a subsystem's payload: it fits into a datagram even if the sender's name has maximum length.
MAX_USER_PAYLOAD_BYTES = 1100

# Bytes added by sealing: version (1), key id (4), nonce (12), authentication tag (16).
SEAL_OVERHEAD_BYTES = 1 + 4 + 12 + 16

# Maximum encoded size of an envelope without its sender's name and messages: array header, version, name header, four
# integers of nine bytes, header of the list of messages.
ENVELOPE_OVERHEAD_BYTES = 1 + 1 + 2 + 4 * 9 + 3

Name = Annotated[str, Meta(min_length=1, max_length=64)]
Host = Annotated[str, Meta(min_length=1, max_length=64)]
Subject = Annotated[str, Meta(min_length=1, max_length=128)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Weight = Annotated[float, Meta(gt=0, le=1000)]


class MemberState(IntEnum):
    """State of a member; the values are part of the wire format."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class HealthStatus(IntEnum):
    """Outcome of a health check; the values are part of the wire format."""

    UP = 1
    DOWN = 2


class Ping(Struct, array_like=True, tag=1, frozen=True):
    """A probe of `target`, which is named because another member may have taken over its address."""

    sequence: Count
    target: Name


class Ack(Struct, array_like=True, tag=2, frozen=True):
    """The answer to a ping, or to a ping request if the target answered."""

    sequence: Count


class Nack(Struct, array_like=True, tag=3, frozen=True):
    """The answer to a ping request if the target has not answered (Lifeguard)."""

    sequence: Count


class PingRequest(Struct, array_like=True, tag=4, frozen=True):
    """Asks the receiver to ping `target` for the sender (SWIM's ping-req)."""

    sequence: Count
    target: Name
    host: Host
    port: Port


class Alive(Struct, array_like=True, tag=5, frozen=True):
    """A member's announcement of itself. `run_id` identifies one run of its process; an older run has a lower id."""

    name: Name
    host: Host
    port: Port
    incarnation: Count
    run_id: Count
    ready: bool
    weight: Weight


class Suspect(Struct, array_like=True, tag=6, frozen=True):
    """The member did not answer a probe of `reported_by`."""

    name: Name
    incarnation: Count
    reported_by: Name


class Dead(Struct, array_like=True, tag=7, frozen=True):
    """The member did not refute a suspicion in time, or has left if `reported_by` is the member itself."""

    name: Name
    incarnation: Count
    reported_by: Name


class Digest(Struct, array_like=True, tag=8, frozen=True):
    """Checksums of the sender's member table: 64 buckets of four bytes each, big-endian."""

    checksums: Annotated[bytes, Meta(min_length=256, max_length=256)]


class InSync(Struct, array_like=True, tag=9, frozen=True):
    """The answer to a digest that equals the answering member's own digest."""


class BucketRequest(Struct, array_like=True, tag=10, frozen=True):
    """Requests the member records of these buckets; each byte is a bucket's number."""

    buckets: Annotated[bytes, Meta(max_length=64)]


class MemberRecord(Struct, array_like=True, tag=11, frozen=True):
    """One row of the sender's member table. `state_age_ms` is the time since the member's state changed."""

    name: Name
    host: Host
    port: Port
    incarnation: Count
    run_id: Count
    ready: bool
    weight: Weight
    state: MemberState
    state_age_ms: Count


class DutyResult(Struct, array_like=True, tag=12, frozen=True):
    """The result that the owner of a duty found; `found_at_ms` is the time by the owner's wall clock (Unix ms)."""

    kind: Name
    subject: Subject
    term: Count
    owner: Name
    found_at_ms: Count
    status: HealthStatus


class DutyDecline(Struct, array_like=True, tag=13, frozen=True):
    """`declined_by` cannot perform this duty; another member owns it for `hold_ms` from `declined_at_ms` (Unix ms)."""

    kind: Name
    subject: Subject
    declined_by: Name
    declined_at_ms: Count
    hold_ms: Count


class UserMessage(Struct, array_like=True, tag=14, frozen=True):
    """An opaque payload from a subsystem to its counterpart at another member; delivery is not guaranteed."""

    topic: Name
    payload: Annotated[bytes, Meta(max_length=MAX_USER_PAYLOAD_BYTES)]


Message = (
    Ping
    | Ack
    | Nack
    | PingRequest
    | Alive
    | Suspect
    | Dead
    | Digest
    | InSync
    | BucketRequest
    | MemberRecord
    | DutyResult
    | DutyDecline
    | UserMessage
)


class Envelope(Struct, array_like=True, frozen=True):
    """The content of one datagram.

    Attributes:
        version: `PROTOCOL_VERSION`.
        sender: name of the sending member.
        run_id: run of the sender's process.
        sequence: number of the datagram in this run of the sender, from 1.
        wall_clock_ms: the sender's Unix time.
        lamport_time: time of the sender's logical clock.
        messages: messages in the order in which they must be handled.
    """

    version: int
    sender: Name
    run_id: Count
    sequence: Count
    wall_clock_ms: Count
    lamport_time: Count
    messages: list[Message]


class _EncodedEnvelope(Struct, array_like=True, frozen=True):
    """An `Envelope` with already encoded messages, since a broadcast is encoded once and sent several times."""

    version: int
    sender: str
    run_id: int
    sequence: int
    wall_clock_ms: int
    lamport_time: int
    messages: list[Raw]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_message(message: Message) -> bytes:
    """Encode one message for an envelope."""
    return _encoder.encode(message)


def encode_envelope(
    sender: str, run_id: int, sequence: int, wall_clock_ms: int, lamport_time: int, messages: list[bytes]
) -> bytes:
    """Encode an envelope around encoded messages: an unsealed datagram."""
    raw = [Raw(message) for message in messages]
    return _encoder.encode(
        _EncodedEnvelope(PROTOCOL_VERSION, sender, run_id, sequence, wall_clock_ms, lamport_time, raw)
    )


def message_capacity(sender: str) -> int:
    """Return the bytes available for encoded messages in one datagram of this sender."""
    return MAX_DATAGRAM_BYTES - SEAL_OVERHEAD_BYTES - ENVELOPE_OVERHEAD_BYTES - len(sender.encode())


def decode_envelope(data: bytes) -> Envelope:
    """Decode an unsealed datagram.

    Raises:
        WireError: with the reason `shape` (malformed or out of bounds) or `version`.
    """
    try:
        envelope = _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise WireError("shape", str(error)) from error
    if envelope.version != PROTOCOL_VERSION:
        raise WireError("version", f"{envelope.version}")
    if len(envelope.messages) > MAX_MESSAGES:
        raise WireError("shape", "too many messages")
    return envelope
