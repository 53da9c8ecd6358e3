"""Codec of PostgreSQL's frontend/backend protocol, version 3.0.

`MessageReader` splits a byte stream into messages, `PayloadReader` reads the fields of a message, and the functions
encode the messages that the manager sends. Used for connections to clients and to engines.

Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", section "Message Formats".
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, NamedTuple

from decklb.pg import sqlstate
from decklb.pg.errors import PgError, Severity
from decklb.wire.message_buffer import MessageBuffer

# Codes in the version field of a message without a type octet.
PROTOCOL_3_0 = 196_608
CANCEL_REQUEST_CODE = 80_877_102
SSL_REQUEST_CODE = 80_877_103
GSSENC_REQUEST_CODE = 80_877_104

LENGTH_SIZE = 4  # size of the length field in bytes; the length includes this field but not the type octet
MAX_STARTUP_SIZE = 10_000  # bytes; PostgreSQL's limit (MAX_STARTUP_PACKET_LENGTH)


class FrontendType:
    """Type octets of client messages."""

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
    """Type octets of server messages."""

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
    """Field codes of an ErrorResponse (section "Error and Notice Message Fields")."""

    SEVERITY_LOCALIZED: Final = b"S"
    SEVERITY: Final = b"V"
    SQLSTATE: Final = b"C"
    MESSAGE: Final = b"M"
    HINT: Final = b"H"


class BackendKey(NamedTuple):
    """Identifies a session in a CancelRequest; sent to the client in BackendKeyData."""

    process_id: int
    secret_key: int


@dataclass(slots=True)
class Message:
    """One message.

    Attributes:
        type: Its type octet; b"" for messages up to the StartupMessage, which have none.
        payload: The bytes after the length field.
        raw: The complete message as received.
        discarded: Its bytes were not kept, to save memory.
    """

    type: bytes
    payload: bytes
    raw: bytes
    discarded: bool = False


class MessageReader(MessageBuffer[Message]):
    """Splits a byte stream, which arrives in arbitrary chunks, into messages.

    Attributes:
        max_message_size: Largest accepted value of the length field, in bytes.
        startup: Whether the next message has no type octet: true for client messages up to the StartupMessage. The
            caller sets it to False after the StartupMessage.
    """

    def __init__(self, max_message_size: int, startup: bool) -> None:
        super().__init__()
        self.max_message_size, self.startup = max_message_size, startup

    def feed(self, data: bytes) -> Iterator[Message]:
        """Yield the messages that are now complete. After a PgError, nothing more can be read."""
        self.append(data)
        while (message := self.next_message()) is not None:
            yield message

    def next_message(self) -> Message | None:
        """Return the next complete message, or None. Raises PgError as `feed` does."""
        if self.is_discarding:
            return self.take_discarded()
        size = self.partial_size()
        if not size or len(self.buffer) < size:
            return None
        type_size = self._type_size
        raw = bytes(memoryview(self.buffer)[:size])
        del self.buffer[:size]
        return Message(raw[:type_size], raw[type_size + LENGTH_SIZE :], raw)

    @property
    def _type_size(self) -> int:
        return 0 if self.startup else 1

    def partial_size(self) -> int:
        """Return the size in bytes of the message that begins the buffer; 0 while it is not known.

        Raises PgError if it is out of bounds.
        """
        header_size = self._type_size + LENGTH_SIZE
        if len(self.buffer) < header_size:
            return 0
        length = int.from_bytes(self.buffer[self._type_size : header_size], "big")
        max_length = MAX_STARTUP_SIZE if self.startup else self.max_message_size
        if not LENGTH_SIZE <= length <= max_length:  # checked before the payload arrives
            raise PgError(sqlstate.PROTOCOL_VIOLATION, "message length is out of bounds", fatal=True)
        return self._type_size + length

    def without_bytes(self) -> Message:
        """Return the type of the message that begins the buffer as a message without bytes."""
        return Message(bytes(self.buffer[: self._type_size]), b"", b"", discarded=True)


def split_messages(raw: bytes) -> Iterator[Message]:
    """Yield the messages of `raw`, which contains complete messages only."""
    return MessageReader(len(raw) + 1, startup=False).feed(raw)


class PayloadReader:
    """Reads the fields of a payload in order. Raises PgError if the payload is too short."""

    def __init__(self, payload: bytes) -> None:
        self.payload = payload
        self.position = 0  # offset of the next field

    def string(self) -> str:
        """Read a zero-terminated string."""
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
        """Read one big-endian integer of the `struct` format "B", "h", "i" or "I"."""
        try:
            (value,) = struct.unpack_from(">" + struct_format, self.payload, self.position)
        except struct.error:
            raise PgError(sqlstate.PROTOCOL_VIOLATION, "message ends too early", fatal=True) from None
        self.position += struct.calcsize(">" + struct_format)
        return int(value)

    def remaining(self) -> bytes:
        """Return the unread bytes."""
        return self.payload[self.position :]


def read_error(payload: bytes) -> dict[str, str]:
    """Return the fields of an ErrorResponse by their codes (see `ErrorField`)."""
    fields = payload.split(b"\0")
    return {field[:1].decode("latin-1"): field[1:].decode("utf-8", "replace") for field in fields if field}


def pack(message_type: bytes, payload: bytes = b"") -> bytes:
    """Encode a message."""
    return message_type + (len(payload) + LENGTH_SIZE).to_bytes(LENGTH_SIZE, "big") + payload


def pack_string(value: str) -> bytes:
    """Encode a zero-terminated string."""
    return value.encode() + b"\0"


def pack_startup(parameters: dict[str, str]) -> bytes:
    """Encode a StartupMessage."""
    pairs = b"".join(pack_string(name) + pack_string(value) for name, value in parameters.items())
    body = PROTOCOL_3_0.to_bytes(4, "big") + pairs + b"\0"
    return (len(body) + LENGTH_SIZE).to_bytes(LENGTH_SIZE, "big") + body


def pack_cancel(process_id: int, secret_key: int) -> bytes:
    """Encode a CancelRequest for the session with this backend key."""
    return struct.pack(">IIII", 16, CANCEL_REQUEST_CODE, process_id, secret_key)


def pack_error(code: str, message: str, hint: str = "", severity: str = Severity.ERROR) -> bytes:
    """Encode an ErrorResponse; `code` is the SQLSTATE."""
    fields = ErrorField.SEVERITY_LOCALIZED + pack_string(severity)
    fields += ErrorField.SEVERITY + pack_string(severity)
    fields += ErrorField.SQLSTATE + pack_string(code)
    fields += ErrorField.MESSAGE + pack_string(message)
    if hint:
        fields += ErrorField.HINT + pack_string(hint)
    return pack(BackendType.ERROR_RESPONSE, fields + b"\0")


def pack_error_response(error: PgError) -> bytes:
    """Encode an exception as an ErrorResponse."""
    return pack_error(error.sqlstate, error.message, error.hint, error.severity)


def pack_command_complete(tag: str) -> bytes:
    """Encode a CommandComplete with this command tag."""
    return pack(BackendType.COMMAND_COMPLETE, pack_string(tag))


def pack_parameter_status(name: str, value: str) -> bytes:
    """Encode a ParameterStatus."""
    return pack(BackendType.PARAMETER_STATUS, pack_string(name) + pack_string(value))


AUTHENTICATION_OK_PAYLOAD = b"\0\0\0\0"
AUTHENTICATION_OK = pack(BackendType.AUTHENTICATION, AUTHENTICATION_OK_PAYLOAD)
READY_FOR_QUERY = pack(BackendType.READY_FOR_QUERY, b"I")  # I: idle, not in a transaction block
PARSE_COMPLETE = pack(BackendType.PARSE_COMPLETE)
BIND_COMPLETE = pack(BackendType.BIND_COMPLETE)
CLOSE_COMPLETE = pack(BackendType.CLOSE_COMPLETE)
NO_DATA = pack(BackendType.NO_DATA)
EMPTY_QUERY_RESPONSE = pack(BackendType.EMPTY_QUERY_RESPONSE)
PORTAL_SUSPENDED = pack(BackendType.PORTAL_SUSPENDED)
NO_PARAMETERS = pack(BackendType.PARAMETER_DESCRIPTION, b"\0\0")
SYNC = pack(FrontendType.SYNC)
EXECUTE_ALL = pack(FrontendType.EXECUTE, b"\0" + b"\0\0\0\0")  # unnamed portal, all rows
