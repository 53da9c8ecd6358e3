"""Codec of the messages that members exchange about the plan: MessagePack, in fragments that fit a cluster datagram.

Defines the wire format (versions, tags, order of fields, bounds). `Reassembler` holds the fragments of incomplete
messages. Called by `orchestrator.py`; the store also uses the encoding of the plan. Does no I/O.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from decklb.cluster.errors import WireError
from decklb.maintenance.errors import PlanTooLargeError
from decklb.maintenance.paxos_messages import RegisterMessage
from decklb.maintenance.plan import Plan

TOPIC = "maintenance"  # topic of the cluster datagrams
VERSION = 1
FRAGMENT_BYTES = 1000  # maximum number of bytes of a message per datagram
MAX_FRAGMENTS = 64  # per message
MAX_INCOMPLETE_MESSAGES = 64  # maximum number of messages with missing fragments; the oldest are dropped
MAX_REPORTED_ENGINES = 1000

Name = Annotated[str, Meta(min_length=1, max_length=128)]
NonNegative = Annotated[int, Meta(ge=0)]
Engines = Annotated[list[Name], Meta(max_length=MAX_REPORTED_ENGINES)]


class Report(Struct, array_like=True, tag=9, frozen=True):
    """One member's report, sent to all other members on a change and every few ticks."""

    step_count: NonNegative  # step count of the newest plan that the member knows to be committed
    committed_ballot: tuple[NonNegative, str]  # ballot of that plan
    incarnation: NonNegative  # identifies the run of the member's process
    # Number of this member's attempts in flight, by unavailable engine.
    in_flight: Annotated[dict[Name, NonNegative], Meta(max_length=MAX_REPORTED_ENGINES)]
    unreachable: Engines
    seen_down: Engines  # engines that the member has seen down since they were taken out


Message = RegisterMessage | Report


class Fragment(Struct, array_like=True, frozen=True):
    """A part of one message."""

    version: int
    message_id: NonNegative  # assigned by the sender, increasing
    index: Annotated[int, Meta(ge=0, lt=MAX_FRAGMENTS)]
    count: Annotated[int, Meta(ge=1, le=MAX_FRAGMENTS)]
    data: Annotated[bytes, Meta(max_length=FRAGMENT_BYTES)]


_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(Message)
_fragment_decoder = msgspec.msgpack.Decoder(Fragment)
_plan_decoder = msgspec.msgpack.Decoder(Plan)


def encode_plan(plan: Plan) -> bytes:
    """Encode a plan for the register and the store."""
    return _encoder.encode(plan)


def decode_plan(data: bytes) -> Plan:
    """Decode a plan.

    Raises:
        WireError: The bytes are not a valid plan.
    """
    try:
        return _plan_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise WireError("shape", str(error)) from error


def encode_fragments(message_id: int, message: Message) -> list[bytes]:
    """Encode one message as datagrams.

    Raises:
        PlanTooLargeError: The message needs more than MAX_FRAGMENTS datagrams.
    """
    data = _encoder.encode(message)
    pieces = [data[start : start + FRAGMENT_BYTES] for start in range(0, len(data), FRAGMENT_BYTES)]
    if len(pieces) > MAX_FRAGMENTS:
        raise PlanTooLargeError(len(data), FRAGMENT_BYTES * MAX_FRAGMENTS)
    return [
        _encoder.encode(Fragment(VERSION, message_id, index, len(pieces), piece)) for index, piece in enumerate(pieces)
    ]


class Reassembler:
    """Reassembles messages from their fragments; the oldest incomplete messages are dropped if there are too many."""

    def __init__(self) -> None:
        self._incomplete: dict[tuple[str, int], dict[int, bytes]] = {}  # by sender and message id

    def receive(self, sender: str, data: bytes) -> Message | None:
        """Process one datagram, and return the message that it completes, if any.

        Raises:
            WireError: The datagram or the message is malformed.
        """
        try:
            fragment = _fragment_decoder.decode(data)
            if fragment.version != VERSION:
                raise WireError("version", f"{fragment.version}")
            if fragment.count == 1:
                return _message_decoder.decode(fragment.data)
            complete = self._collect(sender, fragment)
            return None if complete is None else _message_decoder.decode(complete)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
            raise WireError("shape", str(error)) from error

    def _collect(self, sender: str, fragment: Fragment) -> bytes | None:
        pieces = self._incomplete.setdefault((sender, fragment.message_id), {})
        pieces[fragment.index] = fragment.data
        if len(pieces) >= fragment.count:
            del self._incomplete[sender, fragment.message_id]
            return b"".join(pieces[index] for index in sorted(pieces))
        while len(self._incomplete) > MAX_INCOMPLETE_MESSAGES:
            del self._incomplete[next(iter(self._incomplete))]
        return None
