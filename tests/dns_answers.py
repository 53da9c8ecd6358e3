"""Encodes DNS answers of the directory."""

from __future__ import annotations

import struct

from decklb.net import dns


def name(text):
    return b"".join(bytes([len(label)]) + label.encode() for label in text.split(".")) + b"\0"


def record(owner, record_type, data):
    return owner + struct.pack(">HHIH", record_type, 1, 0, len(data)) + data


def reply(flags=0x8400, records=None, count=None, query_id=77, port=4100, priority=1):
    """Return an answer with one engine; the A record refers to the target name by a compression pointer."""
    question = name("_api._tcp.svc.local") + struct.pack(">HH", dns.SRV, 1)
    target = name("s-1.sala.hosts")
    first = record(b"\xc0\x0c", dns.SRV, struct.pack(">HHH", priority, 40, port) + target)
    target_offset = 12 + len(question) + 2 + 10 + 6
    others = [
        record((0xC000 | target_offset).to_bytes(2, "big"), dns.A, bytes([127, 0, 0, 9 if port == 4100 else 1])),
        record(target, dns.TXT, b"\6kind=k\6cell=2\x0bstarted=500"),
        record(b"\xc0\x0c", dns.SOA, name("ns") + name("me") + struct.pack(">5I", 41, 0, 0, 0, 0)),
    ]
    records = [first, *others] if records is None else [first, *others][:records]
    header = dns.HEADER.pack(query_id, flags, 1, count if count is not None else len(records), 0, 0)
    return header + question + b"".join(records)
