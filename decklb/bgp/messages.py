"""Codec of BGP-4 messages (RFC 4271, section 4) with the capability of four-octet AS numbers (RFC 6793).

Decodes bytes into typed messages and encodes messages. Only `MessageReader` has state: the bytes of an incomplete
message. Used by `decklb.bgp.session`, and by `decklb.bgp.settings` for validation.
"""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from decklb.bgp.errors import BgpError, ErrorCode, HeaderSubcode, OpenSubcode


class MessageType(IntEnum):
    """Type octets of message headers (RFC 4271, section 4.1)."""

    OPEN = 1
    UPDATE = 2
    NOTIFICATION = 3
    KEEPALIVE = 4


VERSION = 4
MARKER = b"\xff" * 16  # start of every message (RFC 4271, section 4.1)
HEADER_SIZE = 19  # bytes: marker, length, type
MAX_MESSAGE_SIZE = 4096  # bytes, header included
MIN_MESSAGE_SIZE = {  # bytes, header included
    MessageType.OPEN: 29,
    MessageType.UPDATE: 23,
    MessageType.NOTIFICATION: 21,
    MessageType.KEEPALIVE: 19,
}
OPEN_FIXED_SIZE = 10  # size in bytes of an OPEN's body without its optional parameters
CAPABILITIES_PARAMETER = 2  # type of the optional parameter that lists capabilities (RFC 5492)
FOUR_OCTET_ASN_CAPABILITY = 65  # RFC 6793, section 3
AS_TRANS = 23456  # placeholder for an AS number that does not fit in two octets (RFC 6793, section 9)
MAX_TWO_OCTET_ASN = (1 << 16) - 1
MIN_HOLD_TIME_S = 3  # a hold time is either 0 (none) or at least this (RFC 4271, section 4.2)

# Path attributes: flags and type code (RFC 4271, section 4.3; AS4_PATH: RFC 6793, section 3).
ORIGIN = b"\x40\x01"
AS_PATH = b"\x40\x02"
NEXT_HOP = b"\x40\x03"
LOCAL_PREF = b"\x40\x05"
AS4_PATH = b"\xc0\x11"
ORIGIN_IGP = b"\x00"
AS_SEQUENCE = 2  # type of an AS_PATH segment
DEFAULT_LOCAL_PREF = 100


class Message(NamedTuple):
    """A message: its type and its body without the header."""

    type: MessageType
    body: bytes


@dataclass(slots=True)
class Open:
    """A peer's OPEN (RFC 4271, section 4.2).

    Attributes:
        asn: Its AS number, taken from the four-octet capability if present.
        hold_time_s: The proposed hold time in seconds; 0: none.
        bgp_identifier: Its BGP Identifier in dotted-quad notation.
        four_octet_asn: Whether it supports four-octet AS numbers.
    """

    asn: int
    hold_time_s: int
    bgp_identifier: str
    four_octet_asn: bool


class MessageReader:
    """Splits a byte stream, which arrives in arbitrary chunks, into messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that are now complete. Raises BgpError for an invalid header (RFC 4271, 6.1)."""
        self.buffer += data
        messages = []
        while len(self.buffer) >= HEADER_SIZE:
            message_type, size = self._read_header()
            if len(self.buffer) < size:
                break
            messages.append(Message(message_type, bytes(self.buffer[HEADER_SIZE:size])))
            del self.buffer[:size]
        return messages

    def _read_header(self) -> tuple[MessageType, int]:
        """Return type and size of the first message in the buffer."""
        if self.buffer[: len(MARKER)] != MARKER:
            raise BgpError(ErrorCode.MESSAGE_HEADER, HeaderSubcode.CONNECTION_NOT_SYNCHRONIZED, text="bad marker")
        size, type_code = struct.unpack_from(">HB", self.buffer, len(MARKER))
        try:
            message_type = MessageType(type_code)
        except ValueError:
            data = bytes([type_code])
            raise BgpError(ErrorCode.MESSAGE_HEADER, HeaderSubcode.BAD_MESSAGE_TYPE, data, "unknown type") from None
        in_bounds = MIN_MESSAGE_SIZE[message_type] <= size <= MAX_MESSAGE_SIZE
        if not in_bounds or (message_type is MessageType.KEEPALIVE and size != HEADER_SIZE):
            data = size.to_bytes(2, "big")
            raise BgpError(ErrorCode.MESSAGE_HEADER, HeaderSubcode.BAD_MESSAGE_LENGTH, data, "bad length")
        return message_type, size


def pack(message_type: MessageType, body: bytes = b"") -> bytes:
    """Encode a message with its header."""
    return MARKER + struct.pack(">HB", HEADER_SIZE + len(body), message_type) + body


def pack_open(asn: int, hold_time_s: int, bgp_identifier: str) -> bytes:
    """Encode an OPEN that offers four-octet AS numbers."""
    capability = struct.pack(">BBI", FOUR_OCTET_ASN_CAPABILITY, 4, asn)
    parameter = struct.pack(">BB", CAPABILITIES_PARAMETER, len(capability)) + capability
    body = struct.pack(">BHH", VERSION, _two_octet_asn(asn), hold_time_s)
    body += ipaddress.IPv4Address(bgp_identifier).packed
    return pack(MessageType.OPEN, body + bytes([len(parameter)]) + parameter)


def _two_octet_asn(asn: int) -> int:
    return asn if asn <= MAX_TWO_OCTET_ASN else AS_TRANS


def read_open(body: bytes) -> Open:
    """Decode an OPEN. Raises BgpError for an invalid one (RFC 4271, 6.2)."""
    version, asn, hold_time_s, identifier, parameters_size = struct.unpack_from(">BHH4sB", body)
    if version != VERSION:
        data = VERSION.to_bytes(2, "big")
        raise BgpError(ErrorCode.OPEN_MESSAGE, OpenSubcode.UNSUPPORTED_VERSION, data, "version")
    if 0 < hold_time_s < MIN_HOLD_TIME_S:
        raise BgpError(ErrorCode.OPEN_MESSAGE, OpenSubcode.UNACCEPTABLE_HOLD_TIME, text="hold time")
    if identifier == b"\0\0\0\0":
        raise BgpError(ErrorCode.OPEN_MESSAGE, OpenSubcode.BAD_BGP_IDENTIFIER, text="router id")
    parameters = body[OPEN_FIXED_SIZE:]
    if len(parameters) != parameters_size:
        raise _bad_parameters()
    four_octet_asn = False
    for parameter_type, parameter in _type_length_values(parameters):
        if parameter_type != CAPABILITIES_PARAMETER:
            subcode = OpenSubcode.UNSUPPORTED_OPTIONAL_PARAMETER
            raise BgpError(ErrorCode.OPEN_MESSAGE, subcode, text="optional parameter")
        for capability, value in _type_length_values(parameter):
            if capability == FOUR_OCTET_ASN_CAPABILITY and len(value) == 4:
                asn, four_octet_asn = int.from_bytes(value, "big"), True
    return Open(asn, hold_time_s, str(ipaddress.IPv4Address(identifier)), four_octet_asn)


def _type_length_values(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Yield type and value of each entry; parameters and capabilities share this format (RFC 5492).

    An entry is one octet of type, one octet of length, and the value.
    """
    while data:
        if len(data) < 2 or len(data) < 2 + data[1]:
            raise _bad_parameters()
        end = 2 + data[1]
        yield data[0], data[2:end]
        data = data[end:]


def _bad_parameters() -> BgpError:
    return BgpError(ErrorCode.OPEN_MESSAGE, OpenSubcode.UNSPECIFIC, text="parameters")


def pack_notification(error: BgpError) -> bytes:
    """Encode a NOTIFICATION (RFC 4271, section 4.5)."""
    return pack(MessageType.NOTIFICATION, bytes([error.code, error.subcode]) + error.data)


def pack_prefix(prefix: str) -> bytes:
    """Encode a prefix for an UPDATE: its length in bits and the octets that contain them (RFC 4271, section 4.3)."""
    network = ipaddress.IPv4Network(prefix)
    return bytes([network.prefixlen]) + network.network_address.packed[: (network.prefixlen + 7) // 8]


def pack_announcement(prefixes: list[str], next_hop: str, asn: int, internal: bool, four_octet_asn: bool) -> bytes:
    """Encode an UPDATE that announces routes.

    Args:
        prefixes: The routes, such as "10.0.0.0/8".
        next_hop: Address to which their traffic is sent.
        asn: Our AS number.
        internal: Whether the peer is in our AS (IBGP): if so, the AS path is empty and a local preference is sent.
        four_octet_asn: Whether the peer supports four-octet AS numbers.
    """
    attributes = _attribute(ORIGIN, ORIGIN_IGP)
    attributes += _attribute(AS_PATH, b"" if internal else _as_path(asn, four_octet_asn))
    attributes += _attribute(NEXT_HOP, ipaddress.IPv4Address(next_hop).packed)
    if internal:
        attributes += _attribute(LOCAL_PREF, struct.pack(">I", DEFAULT_LOCAL_PREF))
    elif not four_octet_asn and asn > MAX_TWO_OCTET_ASN:
        # The peer forwards it unchanged to speakers that support four-octet AS numbers (RFC 6793, section 4.2.2).
        attributes += _attribute(AS4_PATH, _as_path(asn, four_octet_asn=True))
    no_withdrawn_routes = b"\0\0"
    body = no_withdrawn_routes + struct.pack(">H", len(attributes)) + attributes
    return pack(MessageType.UPDATE, body + b"".join(map(pack_prefix, prefixes)))


def _attribute(flags_and_type: bytes, value: bytes) -> bytes:
    return flags_and_type + bytes([len(value)]) + value


def _as_path(asn: int, four_octet_asn: bool) -> bytes:
    """Encode an AS path of one segment that contains only our AS."""
    if four_octet_asn:
        return struct.pack(">BBI", AS_SEQUENCE, 1, asn)
    return struct.pack(">BBH", AS_SEQUENCE, 1, _two_octet_asn(asn))


def pack_withdrawal(prefixes: list[str]) -> bytes:
    """Encode an UPDATE that withdraws routes."""
    routes = b"".join(map(pack_prefix, prefixes))
    no_attributes = b"\0\0"
    return pack(MessageType.UPDATE, struct.pack(">H", len(routes)) + routes + no_attributes)
