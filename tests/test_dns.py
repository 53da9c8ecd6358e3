"""Answers of the directory: the DNS codec and the endpoints in an answer."""

from __future__ import annotations

import unittest

from decklb.net import dns
from decklb.net.endpoints import from_reply
from tests.dns_answers import reply


class Dns(unittest.TestCase):
    def test_a_whole_answer(self):
        found = dns.read_reply(reply())
        self.assertEqual((found.query_id, found.serial), (77, 41))
        (row,) = from_reply(found).values()
        self.assertEqual(
            (
                row.engine_id,
                row.address,
                row.zone,
                row.machine_type,
                row.cell,
                row.phase.value,
                row.weight,
                row.started_at_ms,
            ),
            ("s-1", ("127.0.0.9", 4100), "sala", "k", 2, "draining", 4.0, 500),
        )

    def test_an_incomplete_answer_is_not_used(self):
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
                from_reply(dns.read_reply(data))

    def test_a_truncated_answer_raises_a_dns_error(self):
        for end in range(len(reply())):
            with self.assertRaises(dns.DnsError):
                from_reply(dns.read_reply(reply()[:end]))
