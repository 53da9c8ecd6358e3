"""Builds the directory's answers."""

from __future__ import annotations

import struct

from decklb.net import dns


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
    head = dns.HEADER.pack(ident, flags, 1, count if count is not None else len(records), 0, 0)
    return head + question + b"".join(records)
