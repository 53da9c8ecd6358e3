"""Tables of cases for the platform's parsers and for BGP's."""

from __future__ import annotations

import struct
import unittest

from decklb.bgp import messages as bgp
from decklb.net import dns, frames, resp
from decklb.net.directory import rows_from
from decklb.settings import settings_from
from tests.standins import SETTINGS

GOOD = {"method": "read", "rid": "9b1f03aa5c7e2d41", "budget": "1500", "acct": "cusco"}


class Frames(unittest.TestCase):
    settings = settings_from(SETTINGS)

    def test_split_anywhere(self):
        raw = frames.pack(1, 7, b"abc") + frames.pack(3, 8) + frames.pack(4, 1, b"\0")
        for size in (1, 2, 5, 9, len(raw)):
            reader, found = frames.FrameReader(), []
            for at in range(0, len(raw), size):
                found += reader.feed(raw[at : at + size])
            self.assertEqual(
                [(f.type, f.stream, f.payload) for f in found], [(1, 7, b"abc"), (3, 8, b""), (4, 1, b"\0")]
            )

    def test_lengths_out_of_bounds_are_refused_at_once(self):
        for length in (0, 4, 262_145, 0xFFFFFFFF):
            with self.assertRaises(frames.ProtocolError):
                list(frames.FrameReader().feed(length.to_bytes(4, "big")))
        self.assertEqual(list(frames.FrameReader().feed((262_144).to_bytes(4, "big"))), [])

    def test_a_good_request(self):
        body = b"select 1 from a_3.b"
        work = frames.read_request(frames.pack_fields(GOOD | {"token": "t0", "obj": "k1"}) + body, self.settings)
        self.assertEqual(
            (work.rid, work.lane, work.tenant, work.budget, work.statement, work.tables, work.key, work.token),
            (GOOD["rid"], "read", "cusco", 1500.0, body, 3, "k1", "t0"),
        )

    def test_bad_requests(self):
        for change in (
            {"method": "none"},
            {"rid": ""},
            {"rid": "9B1F03AA5C7E2D41"},
            {"rid": "9b1f03aa5c7e2d4"},
            {"budget": ""},
            {"budget": "0"},
            {"budget": "-5"},
            {"budget": "1.5"},
            {"budget": "9" * 12},
            {"budget": "\u0665"},
            {"acct": "nobody"},
            {"token": "a,b=c"},
            {"token": "x" * 65},
        ):
            with self.assertRaises(frames.BadRequest, msg=change):
                frames.read_request(frames.pack_fields(GOOD | change), self.settings)
        for payload in (b"", b"\5", b"\1\3ab", b"\1\1a\xff\xff", b"\1\1\xff\0\1a", b"\1\1a\0"):
            with self.assertRaises(frames.BadRequest, msg=payload):
                frames.read_request(payload, self.settings)


class Resp(unittest.TestCase):
    def test_split_anywhere(self):
        raw = resp.pack(b"id", b"data", b"parts=2", b"a\tb\r\n\n") + resp.pack(b"x", b"moot")
        for size in (1, 2, 3, len(raw)):
            reader, found = resp.RespReader(), []
            for at in range(0, len(raw), size):
                found += reader.feed(raw[at : at + size])
            self.assertEqual(found, [[b"id", b"data", b"parts=2", b"a\tb\r\n\n"], [b"x", b"moot"]])

    def test_what_is_no_array_of_bulk_strings(self):
        for raw in (
            b"+OK\r\n",
            b"*99\r\n",
            b"*-1\r\n",
            b"*1\r\n:1\r\n",
            b"*1\r\n$99999999\r\n",
            b"*1\r\n$1\r\nabc",
            b"*" + b"1" * 20,
            b"*1\r\n$-1\r\n",
            b"*x\r\n",
        ):
            with self.assertRaises(resp.RespError, msg=raw):
                resp.RespReader().feed(raw)

    def test_fields(self):
        self.assertEqual(resp.pack_fields({}), b"-")
        for text, fields in ((b"-", {}), (b"a=1,b=x=y", {"a": "1", "b": "x=y"}), (b"", {}), (b"\xff", {})):
            self.assertEqual(resp.read_fields(text), fields)


def name(text):
    return b"".join(bytes([len(x)]) + x.encode() for x in text.split(".")) + b"\0"


def record(owner, kind, data):
    return owner + struct.pack(">HHIH", kind, 1, 0, len(data)) + data


def reply(flags=0x8400, records=None, count=None, ident=77, port=4100, priority=1):
    """An answer with one engine; its target is named by a pointer in the A record."""
    question = name("_api._tcp.svc.local") + struct.pack(">HH", dns.SRV, 1)
    target = name("s-1.sala.hosts")
    first = record(b"\xc0\x0c", dns.SRV, struct.pack(">HHH", priority, 40, port) + target)
    at = 12 + len(question) + 2 + 10 + 6
    rest = [
        record((0xC000 | at).to_bytes(2, "big"), dns.A, bytes([127, 0, 0, 9 if port == 4100 else 1])),
        record(target, dns.TXT, b"\6kind=k\6cell=2\x0bstarted=500"),
        record(b"\xc0\x0c", dns.SOA, name("ns") + name("me") + struct.pack(">5I", 41, 0, 0, 0, 0)),
    ]
    records = [first, *rest] if records is None else [first, *rest][:records]
    head = dns.HEAD.pack(ident, flags, 1, count if count is not None else len(records), 0, 0)
    return head + question + b"".join(records)


class Dns(unittest.TestCase):
    def test_a_whole_answer(self):
        found = dns.read_reply(reply())
        self.assertEqual((found.ident, found.serial), (77, 41))
        (row,) = rows_from(found).values()
        self.assertEqual(
            (row.engine, row.address, row.zone, row.kind, row.cell, row.phase.value, row.hint, row.started),
            ("s-1", ("127.0.0.9", 4100), "sala", "k", 2, "draining", 4.0, 500),
        )

    def test_what_is_not_whole_is_not_used(self):
        whole = reply()
        for data in (
            whole[:-1],
            whole[:40],
            b"",
            reply(flags=0x8600),
            reply(flags=0x8403),
            reply(flags=0x0400),
            reply(count=9),
            whole[:12] + b"\xc0\x0c" + whole[14:],
            whole[:12] + b"\x80" + whole[13:],
            reply(records=1),
            reply(records=2),
            reply(records=3),
        ):
            with self.assertRaises(dns.DnsError, msg=data):
                rows_from(dns.read_reply(data))

    def test_no_cut_of_an_answer_raises_anything_else(self):
        for end in range(len(reply())):
            with self.assertRaises(dns.DnsError):
                rows_from(dns.read_reply(reply()[:end]))


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


if __name__ == "__main__":
    unittest.main()
