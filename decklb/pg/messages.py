"""PostgreSQL's frontend/backend protocol 3.0: cutting a stream into messages, and the few built here."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

PROTOCOL, CANCEL, SSL, GSS = 196_608, 80_877_102, 80_877_103, 80_877_104
LONGEST_STARTUP = 10_000

ADMIN_SHUTDOWN, CANNOT_CONNECT_NOW = "57P01", "57P03"
PROTOCOL_VIOLATION, FEATURE_NOT_SUPPORTED, LIMIT_EXCEEDED = "08P01", "0A000", "54000"
INSUFFICIENT_RESOURCES, TOO_MANY_CONNECTIONS = "53000", "53300"
QUERY_CANCELED, COMPLETION_UNKNOWN = "57014", "40003"
NO_SUCH_STATEMENT, NO_SUCH_PORTAL = "26000", "34000"
DUPLICATE_STATEMENT, DUPLICATE_PORTAL = "42P05", "42P03"
INVALID_VALUE, BAD_AUTHORIZATION = "22023", "28000"


class PgError(Exception):
    """An error with its SQLSTATE; `fatal` ends the connection."""

    def __init__(self, state: str, message: str, hint: str = "", fatal: bool = False) -> None:
        super().__init__(message)
        self.state, self.message, self.hint, self.fatal = state, message, hint, fatal

    def pack(self) -> bytes:
        """The ErrorResponse."""
        return pack_error(self.state, self.message, self.hint, "FATAL" if self.fatal else "ERROR")


@dataclass(slots=True)
class Message:
    """One message; `raw` is all of it, as it came."""

    type: bytes
    payload: bytes
    raw: bytes


class MessageReader:
    """Cuts a byte stream, split anywhere, into messages. The first of a client's has no type."""

    def __init__(self, most: int, startup: bool) -> None:
        self.buffer = bytearray()
        self.most, self.startup = most, startup

    def feed(self, data: bytes) -> Iterator[Message]:
        """The messages that are whole now, one by one. Raises PgError; nothing can be read after that."""
        self.buffer += data
        while True:
            head = 0 if self.startup else 1
            if len(self.buffer) < head + 4:
                return
            size = int.from_bytes(self.buffer[head : head + 4], "big")
            most = LONGEST_STARTUP if self.startup else self.most
            if not 4 <= size <= most:  # checked before waiting for what it promises
                raise PgError(PROTOCOL_VIOLATION, "message length is out of bounds", fatal=True)
            if len(self.buffer) < head + size:
                return
            raw = bytes(self.buffer[: head + size])
            del self.buffer[: head + size]
            yield Message(raw[:head], raw[head + 4 :], raw)


class Fields:
    """Reads a payload from left to right. Raises PgError where it ends too early."""

    def __init__(self, payload: bytes) -> None:
        self.payload, self.at = payload, 0

    def text(self) -> str:
        """A string up to its zero byte."""
        end = self.payload.find(b"\0", self.at)
        if end < 0:
            raise PgError(PROTOCOL_VIOLATION, "string without an end", fatal=True)
        value, self.at = self.payload[self.at : end], end + 1
        try:
            return value.decode()
        except UnicodeDecodeError:
            raise PgError("22021", "text is not UTF-8") from None

    def number(self, form: str) -> int:
        """One number of struct's format."""
        try:
            (value,) = struct.unpack_from(">" + form, self.payload, self.at)
        except struct.error:
            raise PgError(PROTOCOL_VIOLATION, "message ends too early", fatal=True) from None
        self.at += struct.calcsize(">" + form)
        return int(value)

    def rest(self) -> bytes:
        """All that is left."""
        return self.payload[self.at :]


def pack(kind: bytes, payload: bytes = b"") -> bytes:
    """One message."""
    return kind + (len(payload) + 4).to_bytes(4, "big") + payload


def text(value: str) -> bytes:
    """A string and its zero byte."""
    return value.encode() + b"\0"


def pack_startup(parameters: dict[str, str]) -> bytes:
    """The first message to an engine."""
    body = PROTOCOL.to_bytes(4, "big") + b"".join(text(k) + text(v) for k, v in parameters.items()) + b"\0"
    return (len(body) + 4).to_bytes(4, "big") + body


def pack_cancel(pid: int, key: int) -> bytes:
    """A CancelRequest."""
    return struct.pack(">IIII", 16, CANCEL, pid, key)


def pack_error(state: str, message: str, hint: str = "", severity: str = "ERROR") -> bytes:
    """An ErrorResponse."""
    fields = b"S" + text(severity) + b"V" + text(severity) + b"C" + text(state) + b"M" + text(message)
    return pack(b"E", fields + (b"H" + text(hint) if hint else b"") + b"\0")


def read_error(payload: bytes) -> dict[str, str]:
    """The fields of an ErrorResponse by their letters."""
    parts = payload.split(b"\0")
    return {p[:1].decode("latin-1"): p[1:].decode("utf-8", "replace") for p in parts if p}


def split(raw: bytes) -> Iterator[Message]:
    """The messages of whole bytes."""
    return MessageReader(len(raw) + 1, startup=False).feed(raw)


READY = pack(b"Z", b"I")
PARSE_COMPLETE, BIND_COMPLETE, CLOSE_COMPLETE = pack(b"1"), pack(b"2"), pack(b"3")
NO_DATA, EMPTY_QUERY, SUSPENDED = pack(b"n"), pack(b"I"), pack(b"s")
NO_PARAMETERS = pack(b"t", b"\0\0")
SYNC = pack(b"S")
EXECUTE_ALL = pack(b"E", b"\0" + b"\0\0\0\0")


def complete(tag: str) -> bytes:
    """A CommandComplete."""
    return pack(b"C", text(tag))
