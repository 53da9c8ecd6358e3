"""Codec for the frames of the client protocol: length:4 type:1 stream:4 payload, all big-endian. No I/O.

Used by `client_connection`, and by the laboratory for its clients. Types and codes are plain numbers and not enums,
because the lookup of an enum member costs more than decoding the header of a frame.
"""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from decklb.core.ports import IncomingRequest
from decklb.interface import Settings
from decklb.wire.message_buffer import MessageBuffer
from decklb.wire.table_group import table_group

# Frame types.
REQUEST = 1  # from a client: fields, then the statement
ANSWER = 2  # to a client: a code, fields, then the result
CANCEL = 3  # from a client: it no longer waits for the answer on this stream
READINESS_QUERY = 4  # from a client
READINESS = 5  # to a client: a byte that is 1 if the process is ready, then a zero byte
GO_AWAY = 6  # to a client, on stream 0: send no new requests

# Answer codes.
REJECTED = 0  # not executed, safe to retry
SERVED = 1
FAILED = 9  # may or may not have been executed

MIN_LENGTH = 5  # smallest value of a frame's length: type and stream
MAX_LENGTH = 262_144  # largest value of a frame's length
HEADER = struct.Struct(">IBI")  # length, type, stream
LENGTH_SIZE = 4  # bytes of the length itself, which are not counted in it
MAX_BUDGET_MS = 3_600_000
REQUEST_ID = re.compile(r"[0-9a-f]{16}")
TOKEN = re.compile(r"[0-9A-Za-z_.:-]{1,64}")  # sent to engines in a list `name=value,name=value`, so no `,` or `=`


class FrameError(Exception):
    """The input is not a valid frame; `reason` is a code for the log and the client."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class InvalidRequestError(Exception):
    """A complete frame with an invalid request; the connection continues."""


@dataclass(slots=True)
class Frame:
    """A complete frame: its type, its stream and its payload."""

    type: int
    stream: int
    payload: bytes
    discarded: bool = False  # its payload was not kept


class FrameReader(MessageBuffer[Frame]):
    """Splits a byte stream, received in arbitrary pieces, into frames."""

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that are now complete, one by one, so that those before an error are handled.

        Raises FrameError for invalid input; the reader can't be used after that.
        """
        self.append(data)
        while (frame := self.next_frame()) is not None:
            yield frame

    def next_frame(self) -> Frame | None:
        """Return the next complete frame, or None. Raises FrameError as `feed` does."""
        if self.is_discarding:
            return self.take_discarded()
        size = self.partial_size()
        if not size or len(self.buffer) < size:
            return None
        _, frame_type, stream = HEADER.unpack_from(self.buffer)
        payload = bytes(memoryview(self.buffer)[HEADER.size : size])
        del self.buffer[:size]
        return Frame(frame_type, stream, payload)

    def partial_size(self) -> int:
        """Return the size in bytes of the frame that begins the buffer; 0 before its header is complete.

        Raises FrameError.
        """
        if len(self.buffer) < LENGTH_SIZE:
            return 0
        length = int.from_bytes(self.buffer[:LENGTH_SIZE], "big")
        if not MIN_LENGTH <= length <= MAX_LENGTH:  # checked before waiting for the payload
            raise FrameError("bad-length")
        return LENGTH_SIZE + length if len(self.buffer) >= HEADER.size else 0

    def without_bytes(self) -> Frame:
        """Return the frame that begins the buffer without its payload."""
        _, frame_type, stream = HEADER.unpack_from(self.buffer)
        return Frame(frame_type, stream, b"", discarded=True)


def pack(frame_type: int, stream: int, payload: bytes = b"") -> bytes:
    """Return an encoded frame."""
    return HEADER.pack(MIN_LENGTH + len(payload), frame_type, stream) + payload


def pack_fields(fields: dict[str, str]) -> bytes:
    """Return encoded fields: count:1, then size:1 name size:2 value for each."""
    encoded = bytearray([len(fields)])
    for name, value in fields.items():
        name_bytes, value_bytes = name.encode(), value.encode()
        encoded += bytes([len(name_bytes)]) + name_bytes + len(value_bytes).to_bytes(2, "big") + value_bytes
    return bytes(encoded)


def read_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """Return the decoded fields and the bytes after them. Raises InvalidRequestError."""
    fields: dict[str, str] = {}
    try:
        offset = 1
        for _ in range(payload[0]):
            name_end = offset + 1 + payload[offset]
            value_start = name_end + 2
            value_end = value_start + (payload[name_end] << 8 | payload[name_end + 1])
            if value_end > len(payload):
                raise InvalidRequestError("fields run over the frame's end")
            fields[payload[offset + 1 : name_end].decode()] = payload[value_start:value_end].decode()
            offset = value_end
    except IndexError:
        raise InvalidRequestError("fields run over the frame's end") from None
    except UnicodeDecodeError:
        raise InvalidRequestError("fields are not text") from None
    return fields, payload[offset:]


def read_request(payload: bytes, settings: Settings) -> IncomingRequest:
    """Return the request in the payload of a REQUEST frame. Raises InvalidRequestError."""
    fields, body = read_fields(payload)
    request_class = settings.classes.get(fields.get("method", ""))
    if request_class is None:
        raise InvalidRequestError("unknown method")
    rid, token, key = fields.get("rid", ""), fields.get("token", ""), fields.get("obj") or None
    if not REQUEST_ID.fullmatch(rid):
        raise InvalidRequestError("rid is not 16 hex digits")
    budget = fields.get("budget", "")
    if not (budget.isascii() and budget.isdigit() and 0 < len(budget) < 9):
        raise InvalidRequestError("budget is no number of milliseconds")
    if not 0 < int(budget) <= MAX_BUDGET_MS:
        raise InvalidRequestError("budget is out of bounds")
    if token and not TOKEN.fullmatch(token):
        raise InvalidRequestError("token can't be used")
    if settings.tenants and fields.get("acct") not in settings.tenants:
        raise InvalidRequestError("unknown acct")
    return IncomingRequest(
        rid, request_class.name, fields.get("acct", ""), float(budget), body, table_group(body), key, token
    )


def pack_answer(stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded ANSWER frame."""
    return pack(ANSWER, stream, bytes([code]) + pack_fields(fields) + body)


def rejection_fields(retry_after_ms: float) -> dict[str, str]:
    """Return the fields of a rejection: the ms after which to retry; none for 0."""
    return {"backoff": str(round(retry_after_ms))} if retry_after_ms else {}


def error_fields(reason: str) -> dict[str, str]:
    """Return the fields of an answer that reports an error of the client."""
    return {"reason": reason}
