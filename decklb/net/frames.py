"""The client protocol's frames: length:4 type:1 stream:4 payload, all big-endian."""

from __future__ import annotations

import re
import struct
from collections.abc import Iterator
from dataclasses import dataclass

from decklb.core.ports import Work
from decklb.interface import Settings
from decklb.wire.tables import table_group

REQUEST, ANSWER, GONE, ASK_READY, READY, GO_AWAY = 1, 2, 3, 4, 5, 6
REFUSED, SERVED, FAILED = 0, 1, 9
LEAST, MOST = 5, 262_144  # what a length may say
LONGEST_BUDGET = 3_600_000
HEAD = struct.Struct(">IBI")
RID = re.compile(r"[0-9a-f]{16}")
TOKEN = re.compile(r"[0-9A-Za-z_.:-]{1,64}")  # it becomes part of a list `name=value,name=value`


class ProtocolError(Exception):
    """What came is no frame; `reason` is a code for the log."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class BadRequest(Exception):
    """A whole frame whose request can't be taken; the connection goes on."""


@dataclass(slots=True)
class Frame:
    """One whole frame."""

    type: int
    stream: int
    payload: bytes


class FrameReader:
    """Cuts a byte stream, split anywhere, into frames."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> Iterator[Frame]:
        """The frames that are whole now, one by one: what comes before a fault counts.

        Raises ProtocolError; nothing can be read after that.
        """
        self.buffer += data
        at = 0
        while len(self.buffer) - at >= 4:
            length = int.from_bytes(self.buffer[at : at + 4], "big")
            if not LEAST <= length <= MOST:  # checked before waiting for what it promises
                raise ProtocolError("bad-length")
            if len(self.buffer) - at < 4 + length:
                break
            _, kind, stream = HEAD.unpack_from(self.buffer, at)
            yield Frame(kind, stream, bytes(self.buffer[at + 9 : at + 4 + length]))
            at += 4 + length
        del self.buffer[:at]


def pack(kind: int, stream: int, payload: bytes = b"") -> bytes:
    """One frame."""
    return HEAD.pack(5 + len(payload), kind, stream) + payload


def pack_fields(fields: dict[str, str]) -> bytes:
    """count:1, then size:1 name size:2 value for each."""
    out = bytearray([len(fields)])
    for name, value in fields.items():
        n, v = name.encode(), value.encode()
        out += bytes([len(n)]) + n + len(v).to_bytes(2, "big") + v
    return bytes(out)


def read_fields(payload: bytes) -> tuple[dict[str, str], bytes]:
    """Fields and what follows them. Raises BadRequest."""
    fields: dict[str, str] = {}
    try:
        at = 1
        for _ in range(payload[0]):
            end = at + 1 + payload[at]
            last = end + 2 + (payload[end] << 8 | payload[end + 1])
            if last > len(payload):
                raise BadRequest("fields run over the frame's end")
            fields[payload[at + 1 : end].decode()] = payload[end + 2 : last].decode()
            at = last
    except IndexError:
        raise BadRequest("fields run over the frame's end") from None
    except UnicodeDecodeError:
        raise BadRequest("fields are not text") from None
    return fields, payload[at:]


def read_request(payload: bytes, settings: Settings) -> Work:
    """The request of a type 1 frame. Raises BadRequest."""
    fields, body = read_fields(payload)
    spec = settings.classes.get(fields.get("method", ""))
    if spec is None:
        raise BadRequest("unknown method")
    rid, token, key = fields.get("rid", ""), fields.get("token", ""), fields.get("obj") or None
    if not RID.fullmatch(rid):
        raise BadRequest("rid is not 16 hex digits")
    budget = fields.get("budget", "")
    if not (budget.isascii() and budget.isdigit() and 0 < len(budget) < 9):
        raise BadRequest("budget is no number of milliseconds")
    if not 0 < int(budget) <= LONGEST_BUDGET:
        raise BadRequest("budget is out of bounds")
    if token and not TOKEN.fullmatch(token):
        raise BadRequest("token can't be used")
    if settings.tenants and fields.get("acct") not in settings.tenants:
        raise BadRequest("unknown acct")
    return Work(rid, spec.name, fields.get("acct", ""), float(budget), body, table_group(body), key, token)


def pack_answer(stream: int, code: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """A type 2 frame."""
    return pack(ANSWER, stream, bytes([code]) + pack_fields(fields) + body)
