"""Decoding of the directory's answers: the DNS codec and the endpoints in an answer."""

from __future__ import annotations

import unittest

from decklb.net import dns
from decklb.net.endpoints import from_reply
from tests.dns_answers import reply


class Dns(unittest.TestCase):
    def test_a_complete_answer_is_decoded(self):
        answer = dns.read_reply(reply())
        self.assertEqual((answer.query_id, answer.serial), (77, 41))
        (instance,) = from_reply(answer).values()
        self.assertEqual(
            (
                instance.engine_id,
                instance.address,
                instance.zone,
                instance.machine_type,
                instance.cell,
                instance.phase.value,
                instance.weight,
                instance.started_at_ms,
            ),
            ("s-1", ("127.0.0.9", 4100), "sala", "k", 2, "draining", 4.0, 500),
        )

    def test_an_incomplete_or_invalid_answer_raises_a_dns_error(self):
        complete = reply()
        for data in (
            complete[:-1],
            complete[:40],
            b"",
            reply(flags=0x8600),
            reply(flags=0x8403),
            reply(flags=0x0400),
            reply(count=9),
            complete[:12] + b"\xc0\x0c" + complete[14:],
            complete[:12] + b"\x80" + complete[13:],
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
