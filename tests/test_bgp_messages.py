"""Encoding and decoding of BGP messages, and the error codes of invalid ones (RFC 4271)."""

from __future__ import annotations

import struct

import pytest

from decklb.bgp import messages as bgp
from decklb.bgp.errors import BgpError
from decklb.bgp.messages import MessageType


def open_body(version=4, hold_time_s=90, bgp_identifier=b"\1\1\1\1", parameters=b"\0"):
    return struct.pack(">BHH4s", version, 64512, hold_time_s, bgp_identifier) + parameters


@pytest.mark.parametrize("asn", [64512, 4_200_000_001])
def test_an_encoded_open_is_decoded_to_the_same_fields(asn):
    ((message_type, body),) = bgp.MessageReader().feed(bgp.pack_open(asn, 90, "127.0.0.1"))
    assert message_type is MessageType.OPEN
    assert bgp.read_open(body) == bgp.Open(asn, 90, "127.0.0.1", four_octet_asn=True)


@pytest.mark.parametrize(
    ("body", "code"),
    [
        (open_body(version=3), (2, 1)),
        (open_body(hold_time_s=2), (2, 6)),
        (open_body(bgp_identifier=b"\0" * 4), (2, 3)),
        (open_body(parameters=b"\5\2"), (2, 0)),
        (open_body(parameters=b"\2\1\0"), (2, 4)),
        (open_body(parameters=b"\3\2\6\x41"), (2, 0)),
    ],
)
def test_invalid_opens_are_rejected_with_their_error_codes(body, code):
    with pytest.raises(BgpError) as caught:
        bgp.read_open(body)
    assert (caught.value.code, caught.value.subcode) == code


@pytest.mark.parametrize(
    ("raw", "code"),
    [
        (b"\0" * 19, (1, 1)),
        (bgp.MARKER + b"\0\x13\x09", (1, 3)),
        (bgp.MARKER + b"\0\x12\x04", (1, 2)),
        (bgp.MARKER + b"\x20\0\x02", (1, 2)),
        (bgp.MARKER + b"\0\x14\x04", (1, 2)),
    ],
)
def test_invalid_headers_are_rejected_with_their_error_codes(raw, code):
    with pytest.raises(BgpError) as caught:
        bgp.MessageReader().feed(raw)
    assert (caught.value.code, caught.value.subcode) == code


def test_announcements_and_withdrawals_are_encoded():
    internal = bgp.pack_announcement(["10.1.2.0/23"], "127.0.0.1", 64512, internal=True, four_octet_asn=True)
    attributes = "40010100" + "400200" + "4003047f000001" + "40050400000064"
    assert internal[bgp.HEADER_SIZE :].hex() == "00000015" + attributes + "170a0102"
    external = bgp.pack_announcement(["10.1.2.3/32"], "127.0.0.1", 64512, internal=False, four_octet_asn=True)
    assert bytes.fromhex("4002060201" + "0000fc00") in external
    assert bgp.pack_withdrawal(["10.1.2.3/32"])[bgp.HEADER_SIZE :].hex() == "0005200a0102030000"
