"""Codec of PostgreSQL's frontend/backend protocol, version 3.0.

`MessageReader` cuts a byte stream into messages, `PayloadReader` reads the fields of one, and the functions build
those messages that are sent here. Used on both sides: towards clients, and towards engines and health checks.

Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", section "Message Formats".
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, NamedTuple

from decklb.pg import sqlstate
from decklb.pg.errors import PgError, Severity

# Codes at the start of a message without a type octet, in the place of the protocol's version.
PROTOCOL_3_0 = 196_608
CANCEL_REQUEST_CODE = 80_877_102
SSL_REQUEST_CODE = 80_877_103
GSSENC_REQUEST_CODE = 80_877_104

LENGTH_SIZE = 4  # bytes of a message's length, which counts itself but not the type octet
MAX_STARTUP_SIZE = 10_000  # bytes; PostgreSQL's own bound (MAX_STARTUP_PACKET_LENGTH)


class FrontendType:
    """Type octets of the messages that clients send."""

    BIND: Final = b"B"
    CLOSE: Final = b"C"
    COPY_DATA: Final = b"d"
    COPY_DONE: Final = b"c"
    COPY_FAIL: Final = b"f"
    DESCRIBE: Final = b"D"
    EXECUTE: Final = b"E"
    FLUSH: Final = b"H"
    FUNCTION_CALL: Final = b"F"
    PARSE: Final = b"P"
    QUERY: Final = b"Q"
    SYNC: Final = b"S"
    TERMINATE: Final = b"X"


class BackendType:
    """Type octets of the messages that servers send."""

    AUTHENTICATION: Final = b"R"
    BACKEND_KEY_DATA: Final = b"K"
    BIND_COMPLETE: Final = b"2"
    CLOSE_COMPLETE: Final = b"3"
    COMMAND_COMPLETE: Final = b"C"
    DATA_ROW: Final = b"D"
    EMPTY_QUERY_RESPONSE: Final = b"I"
    ERROR_RESPONSE: Final = b"E"
    NEGOTIATE_PROTOCOL_VERSION: Final = b"v"
    NO_DATA: Final = b"n"
    PARAMETER_DESCRIPTION: Final = b"t"
    PARAMETER_STATUS: Final = b"S"
    PARSE_COMPLETE: Final = b"1"
    PORTAL_SUSPENDED: Final = b"s"
    READY_FOR_QUERY: Final = b"Z"
    ROW_DESCRIPTION: Final = b"T"


class ErrorField:
    """Codes of the fields of an ErrorResponse (section "Error and Notice Message Fields")."""

    SEVERITY_LOCALIZED: Final = b"S"
    SEVERITY: Final = b"V"
    SQLSTATE: Final = b"C"
    MESSAGE: Final = b"M"
    HINT: Final = b"H"


class BackendKey(NamedTuple):
    """What names a session in a CancelRequest, as its BackendKeyData told."""

    process_id: int
    secret_key: int


@dataclass(slots=True)
class Message:
    """One message.

    Attributes:
        type: Its type octet; b"" for the messages before and at startup, which have none.
        payload: What follows the length.
        raw: The message whole, as it came.
    """

    type: bytes
    payload: bytes
    raw: bytes


class MessageReader:
    """Cuts a byte stream, split anywhere, into messages.

    Attributes:
        buffer: Bytes of the message that is not complete yet.
        max_message_size: Bound of a message's length field, in bytes.
        startup: Whether the next message has no type octet, as all that a client sends up to its StartupMessage.
            Whoever reads that sets it to False.
    """

    def __init__(self, max_message_size: int, startup: bool) -> None:
        self.buffer = bytearray()
        self.max_message_size, self.startup = max_message_size, startup

    def feed(self, data: bytes) -> Iterator[Message]:
        """The messages that are complete now, one by one. Raises PgError; nothing can be read after that."""
        self.buffer += data
        while True:
            type_size = 0 if self.startup else 1
            header_size = type_size + LENGTH_SIZE
            if len(self.buffer) < header_size:
                return
            length = int.from_bytes(self.buffer[type_size:header_size], "big")
            max_length = MAX_STARTUP_SIZE if self.startup else self.max_message_size
            if not LENGTH_SIZE <= length <= max_length:  # checked before the rest is waited for
                raise PgError(sqlstate.PROTOCOL_VIOLATION, "message length is out of bounds", fatal=True)
            message_size = type_size + length
            if len(self.buffer) < message_size:
                return
            raw = bytes(self.buffer[:message_size])
            del self.buffer[:message_size]
            yield Message(raw[:type_size], raw[header_size:], raw)


def split_messages(raw: bytes) -> Iterator[Message]:
    """The messages of bytes that hold complete ones only."""
    return MessageReader(len(raw) + 1, startup=False).feed(raw)


class PayloadReader:
    """Reads the fields of a payload from left to right. Raises PgError where the payload ends too early."""

    def __init__(self, payload: bytes) -> None:
        self.payload = payload
        self.position = 0  # of the next field

    def string(self) -> str:
        """A string, up to its zero octet."""
        end = self.payload.find(b"\0", self.position)
        if end < 0:
            raise PgError(sqlstate.PROTOCOL_VIOLATION, "string without an end", fatal=True)
        value = self.payload[self.position : end]
        self.position = end + 1
        try:
            return value.decode()
        except UnicodeDecodeError:
            raise PgError(sqlstate.CHARACTER_NOT_IN_REPERTOIRE, "text is not UTF-8") from None

    def integer(self, struct_format: str) -> int:
        """One integer in network order, of a format of `struct`: "B", "h", "i" or "I"."""
        try:
            (value,) = struct.unpack_from(">" + struct_format, self.payload, self.position)
        except struct.error:
            raise PgError(sqlstate.PROTOCOL_VIOLATION, "message ends too early", fatal=True) from None
        self.position += struct.calcsize(">" + struct_format)
        return int(value)

    def remaining(self) -> bytes:
        """All that was not read yet."""
        return self.payload[self.position :]


def read_error(payload: bytes) -> dict[str, str]:
    """The fields of an ErrorResponse by their codes; see `ErrorField`."""
    fields = payload.split(b"\0")
    return {field[:1].decode("latin-1"): field[1:].decode("utf-8", "replace") for field in fields if field}


def pack(message_type: bytes, payload: bytes = b"") -> bytes:
    """A message of this type octet."""
    return message_type + (len(payload) + LENGTH_SIZE).to_bytes(LENGTH_SIZE, "big") + payload


def pack_string(value: str) -> bytes:
    """A string and its zero octet."""
    return value.encode() + b"\0"


def pack_startup(parameters: dict[str, str]) -> bytes:
    """A StartupMessage."""
    pairs = b"".join(pack_string(name) + pack_string(value) for name, value in parameters.items())
    body = PROTOCOL_3_0.to_bytes(4, "big") + pairs + b"\0"
    return (len(body) + LENGTH_SIZE).to_bytes(LENGTH_SIZE, "big") + body


def pack_cancel(process_id: int, secret_key: int) -> bytes:
    """A CancelRequest for the session of this key."""
    return struct.pack(">IIII", 16, CANCEL_REQUEST_CODE, process_id, secret_key)


def pack_error(code: str, message: str, hint: str = "", severity: str = Severity.ERROR) -> bytes:
    """An ErrorResponse; `code` is its SQLSTATE."""
    fields = ErrorField.SEVERITY_LOCALIZED + pack_string(severity)
    fields += ErrorField.SEVERITY + pack_string(severity)
    fields += ErrorField.SQLSTATE + pack_string(code)
    fields += ErrorField.MESSAGE + pack_string(message)
    if hint:
        fields += ErrorField.HINT + pack_string(hint)
    return pack(BackendType.ERROR_RESPONSE, fields + b"\0")


def pack_error_response(error: PgError) -> bytes:
    """The ErrorResponse that tells of an error."""
    return pack_error(error.sqlstate, error.message, error.hint, error.severity)


def pack_command_complete(tag: str) -> bytes:
    """A CommandComplete with its command tag."""
    return pack(BackendType.COMMAND_COMPLETE, pack_string(tag))


def pack_parameter_status(name: str, value: str) -> bytes:
    """A ParameterStatus."""
    return pack(BackendType.PARAMETER_STATUS, pack_string(name) + pack_string(value))


AUTHENTICATION_OK_PAYLOAD = b"\0\0\0\0"
AUTHENTICATION_OK = pack(BackendType.AUTHENTICATION, AUTHENTICATION_OK_PAYLOAD)
READY_FOR_QUERY = pack(BackendType.READY_FOR_QUERY, b"I")  # I: idle, in no transaction block
PARSE_COMPLETE = pack(BackendType.PARSE_COMPLETE)
BIND_COMPLETE = pack(BackendType.BIND_COMPLETE)
CLOSE_COMPLETE = pack(BackendType.CLOSE_COMPLETE)
NO_DATA = pack(BackendType.NO_DATA)
EMPTY_QUERY_RESPONSE = pack(BackendType.EMPTY_QUERY_RESPONSE)
PORTAL_SUSPENDED = pack(BackendType.PORTAL_SUSPENDED)
NO_PARAMETERS = pack(BackendType.PARAMETER_DESCRIPTION, b"\0\0")
SYNC = pack(FrontendType.SYNC)
EXECUTE_ALL = pack(FrontendType.EXECUTE, b"\0" + b"\0\0\0\0")  # of the unnamed portal, all rows
