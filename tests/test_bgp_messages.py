"""The codec of BGP's messages."""

from __future__ import annotations

import struct
import unittest

from decklb.bgp import messages as bgp


class Bgp(unittest.TestCase):
    def test_open_both_ways(self):
        for asn in (64512, 4_200_000_001):
            ((kind, body),) = bgp.MessageReader().feed(bgp.pack_open(asn, 90, "127.0.0.1"))
            said = bgp.read_open(body)
            self.assertEqual(
                (kind, said.asn, said.hold, said.router, said.four_octet), (bgp.OPEN, asn, 90, "127.0.0.1", True)
            )

    def test_faults_and_their_codes(self):
        def told(version=4, hold=90, router=b"\1\1\1\1", tail=b"\0"):
            return struct.pack(">BHH4s", version, 64512, hold, router) + tail

        for body, code in (
            (told(version=3), (2, 1)),
            (told(hold=2), (2, 6)),
            (told(router=b"\0" * 4), (2, 3)),
            (told(tail=b"\5\2"), (2, 0)),
            (told(tail=b"\2\1\0"), (2, 4)),
            (told(tail=b"\3\2\6\x41"), (2, 0)),
        ):
            with self.assertRaises(bgp.BgpError) as caught:
                bgp.read_open(body)
            self.assertEqual((caught.exception.code, caught.exception.subcode), code, body)
        for raw, code in (
            (b"\0" * 19, (1, 1)),
            (bgp.MARKER + b"\0\x13\x09", (1, 3)),
            (bgp.MARKER + b"\0\x12\x04", (1, 2)),
            (bgp.MARKER + b"\x20\0\x02", (1, 2)),
            (bgp.MARKER + b"\0\x14\x04", (1, 2)),
        ):
            with self.assertRaises(bgp.BgpError) as caught:
                bgp.MessageReader().feed(raw)
            self.assertEqual((caught.exception.code, caught.exception.subcode), code, raw)

    def test_updates(self):
        inside = bgp.pack_announcement(["10.1.2.0/23"], "127.0.0.1", 64512, internal=True, four=True)[19:]
        self.assertEqual(
            inside.hex(), "00000015" + "40010100" + "400200" + "4003047f000001" + "40050400000064" + "170a0102"
        )
        outside = bgp.pack_announcement(["10.1.2.3/32"], "127.0.0.1", 64512, internal=False, four=True)[19:]
        self.assertIn(bytes.fromhex("4002060201" + "0000fc00"), outside)
        self.assertEqual(bgp.pack_withdrawal(["10.1.2.3/32"])[19:].hex(), "0005200a0102030000")
