"""Decoding of the directory's answers: the DNS codec and the endpoints in an answer."""

from __future__ import annotations

import contextlib
import struct
import unittest

from decklb.net import dns
from decklb.net.endpoints import from_reply
from tests.dns_answers import reply
from tests.processor_time import MAX_GROWTH, growth


def pointer_chain(length, start):
    """Return a name that is the root, and `length` pointers, each to the one before; the first byte is at `start`."""
    return b"\0" + b"".join(struct.pack(">H", 0xC000 | start + max(0, 2 * i - 1)) for i in range(length))


def reply_with_pointer_chain(size):
    """Return an answer with a chain of `size` pointers, and `size` records whose names are its last pointer."""
    start = dns.HEADER.size + 1 + dns.RECORD_HEADER.size
    chain = pointer_chain(size, start)
    first_record = b"\0" + dns.RECORD_HEADER.pack(dns.TXT, dns.CLASS_IN, 0, len(chain)) + chain
    last_pointer = struct.pack(">H", 0xC000 | start + len(chain) - 2)
    record = last_pointer + dns.RECORD_HEADER.pack(dns.TXT, dns.CLASS_IN, 0, 0)
    header = dns.HEADER.pack(1, dns.FLAG_RESPONSE, 0, 1 + size, 0, 0)
    return header + first_record + size * record


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

    # Guards against the class of incident 2: a few kilobytes that take time without bound.
    def test_time_to_read_an_answer_grows_linearly_with_its_size(self):
        def read(data):
            with contextlib.suppress(dns.DnsError):
                dns.read_reply(data)

        self.assertLess(growth(read, reply_with_pointer_chain, 500), MAX_GROWTH)

    def test_the_pointers_and_the_length_of_a_name_are_limited(self):
        for count in (1, dns.MAX_POINTERS):
            chain = pointer_chain(count, 0)
            self.assertEqual(dns.read_name(chain, len(chain) - 2), ("", len(chain)))
        chain = pointer_chain(dns.MAX_POINTERS + 1, 0)
        with self.assertRaisesRegex(dns.DnsError, "pointers"):
            dns.read_name(chain, len(chain) - 2)
        longest = 127 * b"\1a" + b"\0"
        self.assertEqual(dns.read_name(longest, 0), (".".join(127 * "a"), dns.MAX_NAME_BYTES))
        with self.assertRaisesRegex(dns.DnsError, "too long"):
            dns.read_name(b"\2aa" + longest[2:], 0)
