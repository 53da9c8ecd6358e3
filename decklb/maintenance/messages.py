"""Codec of the messages between members about the plan: MessagePack, in fragments that fit a cluster datagram.

Owns the wire format (versions, tags, order of fields, bounds) and, in `Reassembler`, the fragments of messages that are
not complete yet. Called by `orchestrator.py`; the store uses the plan's encoding too. Free of I/O.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from decklb.cluster.errors import WireError
from decklb.maintenance.errors import PlanTooLargeError
from decklb.maintenance.paxos_messages import RegisterMessage
from decklb.maintenance.plan import Plan

TOPIC = "maintenance"  # of the cluster's datagrams
VERSION = 1
FRAGMENT_BYTES = 1000  # of a message in one datagram
MAX_FRAGMENTS = 64  # of one message
MAX_INCOMPLETE_MESSAGES = 64  # of which fragments lack; older ones are dropped
MAX_REPORTED_ENGINES = 1000

Name = Annotated[str, Meta(min_length=1, max_length=128)]
NonNegative = Annotated[int, Meta(ge=0)]
Engines = Annotated[list[Name], Meta(max_length=MAX_REPORTED_ENGINES)]


class Report(Struct, array_like=True, tag=9, frozen=True):
    """What one member knows, sent to all others on a change and every few ticks."""

    step_count: NonNegative  # of the newest plan that it knows to be committed
    committed_ballot: tuple[NonNegative, str]  # of that plan
    incarnation: NonNegative  # which run of its process it is
    in_flight: Annotated[dict[Name, NonNegative], Meta(max_length=MAX_REPORTED_ENGINES)]  # at unavailable engines
    unreachable: Engines
    seen_down: Engines  # at some time since they are out


Message = RegisterMessage | Report


class Fragment(Struct, array_like=True, frozen=True):
    """A piece of one message."""

    version: int
    message_id: NonNegative  # counted by its sender
    index: Annotated[int, Meta(ge=0, lt=MAX_FRAGMENTS)]
    count: Annotated[int, Meta(ge=1, le=MAX_FRAGMENTS)]
    data: Annotated[bytes, Meta(max_length=FRAGMENT_BYTES)]


_encoder = msgspec.msgpack.Encoder()
_message_decoder = msgspec.msgpack.Decoder(Message)
_fragment_decoder = msgspec.msgpack.Decoder(Fragment)
_plan_decoder = msgspec.msgpack.Decoder(Plan)


def encode_plan(plan: Plan) -> bytes:
    """The plan as the register carries it and the store keeps it."""
    return _encoder.encode(plan)


def decode_plan(data: bytes) -> Plan:
    """The plan of its bytes.

    Raises:
        WireError: The bytes are no plan.
    """
    try:
        return _plan_decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
        raise WireError("shape", str(error)) from error


def encode_fragments(message_id: int, message: Message) -> list[bytes]:
    """One message as datagrams.

    Raises:
        PlanTooLargeError: It has more fragments than members take.
    """
    data = _encoder.encode(message)
    pieces = [data[start : start + FRAGMENT_BYTES] for start in range(0, len(data), FRAGMENT_BYTES)]
    if len(pieces) > MAX_FRAGMENTS:
        raise PlanTooLargeError(len(data), FRAGMENT_BYTES * MAX_FRAGMENTS)
    return [
        _encoder.encode(Fragment(VERSION, message_id, index, len(pieces), piece)) for index, piece in enumerate(pieces)
    ]


class Reassembler:
    """Puts messages together from their fragments; one that stays incomplete is dropped for newer ones."""

    def __init__(self) -> None:
        self._incomplete: dict[tuple[str, int], dict[int, bytes]] = {}  # by sender and message id

    def receive(self, sender: str, data: bytes) -> Message | None:
        """Take one datagram; returns the message that it completes, if any.

        Raises:
            WireError: The datagram, or the message, can't be read.
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
