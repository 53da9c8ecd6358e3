"""The client protocol's frames: length:4 type:1 stream:4 payload, all big-endian. A codec without I/O.

Used by `client_connection` and, as a client, by the laboratory. Types and codes are plain numbers, not enums: looking
up a member of an enum would cost more than reading the frame's header.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from decklb.core.ports import IncomingRequest
from decklb.interface import Settings
from decklb.wire.table_group import table_group

# Types of frames.
REQUEST = 1  # from a client: fields, then the statement
ANSWER = 2  # to a client: a code, fields, then the result
CANCEL = 3  # from a client: it does not wait for this stream any more
READINESS_QUERY = 4  # from a client
READINESS = 5  # to a client: a byte that is 1 if the process is ready, then a zero byte
GO_AWAY = 6  # to a client, on stream 0: send nothing new

# Codes of answers.
REJECTED = 0  # a retry is harmless
SERVED = 1
FAILED = 9  # no promise about what was done

MIN_LENGTH = 5  # of what a frame's length may say: type and stream
MAX_LENGTH = 262_144
HEADER = struct.Struct(">IBI")  # length, type, stream
LENGTH_SIZE = 4  # bytes of the length, which does not count itself
LONGEST_BUDGET_MS = 3_600_000
REQUEST_ID = re.compile(r"[0-9a-f]{16}")
TOKEN = re.compile(r"[0-9A-Za-z_.:-]{1,64}")  # it becomes part of a list `name=value,name=value`


class FrameError(Exception):
    """What came is no frame; `reason` is a code for the log and the client."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class InvalidRequestError(Exception):
    """A whole frame whose request can't be taken; the connection goes on."""


@dataclass(slots=True)
class Frame:
    """One whole frame: its type, its stream and what follows them."""

    type: int
    stream: int
    payload: bytes


class FrameReader:
    """Cuts a byte stream, split anywhere, into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # what has come of a frame in part

    def feed(self, data: bytes) -> Iterator[Frame]:
        """The frames that are whole now, one by one: what comes before an error counts.

        Raises FrameError; nothing can be read after that.
        """
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= LENGTH_SIZE:
            length = int.from_bytes(self.buffer[at : at + LENGTH_SIZE], "big")
            if not MIN_LENGTH <= length <= MAX_LENGTH:  # checked before waiting for what it promises
                raise FrameError("bad-length")
            end = at + LENGTH_SIZE + length
            if len(self.buffer) < end:
                break
            _, kind, stream = HEADER.unpack_from(self.buffer, at)
            yield Frame(kind, stream, bytes(self.buffer[at + HEADER.size : end]))
            at = end
        del self.buffer[:at]


def pack(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """One frame."""
    return HEADER.pack(MIN_LENGTH + len(payload), kind, stream) + payload


def pack_fields(fields: dict[str, str]) -> bytes:
    """Fields as count:1, then size:1 name size:2 value for each."""
    out = bytearray([len(fields)])
    for name, value in fields.items():
        name_bytes, value_bytes = name.encode(), value.encode()
        out += bytes([len(name_bytes)]) + name_bytes + len(value_bytes).to_bytes(2, "big") + value_bytes
    return bytes(out)


def read_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """Fields and what follows them. Raises InvalidRequestError."""
    fields: dict[str, str] = {}
    try:
        at = 1
        for _ in range(payload[0]):
            name_end = at + 1 + payload[at]
            value_start = name_end + 2
            value_end = value_start + (payload[name_end] << 8 | payload[name_end + 1])
            if value_end > len(payload):
                raise InvalidRequestError("fields run over the frame's end")
            fields[payload[at + 1 : name_end].decode()] = payload[value_start:value_end].decode()
            at = value_end
    except IndexError:
        raise InvalidRequestError("fields run over the frame's end") from None
    except UnicodeDecodeError:
        raise InvalidRequestError("fields are not text") from None
    return fields, payload[at:]


def read_request(payload: bytes, settings: Settings) -> IncomingRequest:
    """The request of a type 1 frame. Raises InvalidRequestError."""
    fields, body = read_fields(payload)
    spec = settings.classes.get(fields.get("method", ""))
    if spec is None:
        raise InvalidRequestError("unknown method")
    rid, token, key = fields.get("rid", ""), fields.get("token", ""), fields.get("obj") or None
    if not REQUEST_ID.fullmatch(rid):
        raise InvalidRequestError("rid is not 16 hex digits")
    budget = fields.get("budget", "")
    if not (budget.isascii() and budget.isdigit() and 0 < len(budget) < 9):
        raise InvalidRequestError("budget is no number of milliseconds")
    if not 0 < int(budget) <= LONGEST_BUDGET_MS:
        raise InvalidRequestError("budget is out of bounds")
    if token and not TOKEN.fullmatch(token):
        raise InvalidRequestError("token can't be used")
    if settings.tenants and fields.get("acct") not in settings.tenants:
        raise InvalidRequestError("unknown acct")
    return IncomingRequest(rid, spec.name, fields.get("acct", ""), float(budget), body, table_group(body), key, token)


def pack_answer(stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """A type 2 frame."""
    return pack(ANSWER, stream, bytes([code]) + pack_fields(fields) + body)


def rejection_fields(retry_after_ms: float) -> dict[str, str]:
    """Fields of a rejection: when a retry had better come; none for 0."""
    return {"backoff": str(round(retry_after_ms))} if retry_after_ms else {}


def error_fields(reason: str) -> dict[str, str]:
    """Fields of an answer that names an error of the client's."""
    return {"reason": reason}
