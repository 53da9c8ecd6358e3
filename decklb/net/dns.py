"""DNS (RFC 1035), as much as the directory needs: one question, SRV, A, TXT and SOA in answers. A codec without I/O.

Used by `directory_client`; the laboratory's directory uses the constants.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

# Types of records (RFC 1035, RFC 2782).
A = 1
SOA = 6
TXT = 16
SRV = 33
CLASS_IN = 1

HEADER = struct.Struct(">HHHHHH")  # id, flags, counts of questions, answers, authorities and additional records
RECORD_HEADER = struct.Struct(">HHIH")  # type, class, time to live, size of the data
QUESTION_SIZE = 4  # bytes of type and class behind a question's name
SRV_HEADER = struct.Struct(">HHH")  # priority, weight, port; the target's name follows
UINT32 = struct.Struct(">I")

FLAG_RESPONSE = 0x8000
FLAG_TRUNCATED = 0x0200
RESPONSE_CODE_MASK = 0x000F
POINTER_MARK = 0xC0  # a label's first byte from which on it is a pointer
MAX_LABEL_BYTES = 63
MAX_LABELS = 127


class DnsError(Exception):
    """What came is no answer that can be read whole."""


@dataclass(slots=True)
class SrvRecord:
    """One SRV record."""

    priority: int
    weight: int
    port: int
    name: str


@dataclass(slots=True)
class Reply:
    """What an answer says, whichever section said it."""

    query_id: int
    serial: int | None = None  # of the SOA record
    targets: list[SrvRecord] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)  # A records by name
    texts: dict[str, list[str]] = field(default_factory=dict)  # TXT records by name


def pack_query(query_id: int, name: str) -> bytes:
    """A question for the SRV records of a name."""
    labels = b"".join(bytes([len(label)]) + label.encode() for label in name.split("."))
    return HEADER.pack(query_id, 0, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">HH", SRV, CLASS_IN)


def read_name(data: bytes, at: int) -> tuple[str, int]:
    """A name, perhaps compressed, and where it ends. Pointers go backwards only, so there is no loop."""
    labels: list[str] = []
    end = None  # where the name ends in the record, once a pointer has led elsewhere
    pointers_below = at
    while True:
        if at >= len(data):
            raise DnsError("name runs over the end")
        size = data[at]
        if size >= POINTER_MARK:
            if at + 1 >= len(data):
                raise DnsError("pointer runs over the end")
            end = at + 2 if end is None else end
            at = (size & ~POINTER_MARK) << 8 | data[at + 1]
            if at >= pointers_below:
                raise DnsError("pointer does not go back")
            pointers_below = at
        elif size > MAX_LABEL_BYTES:
            raise DnsError("bad label")
        elif size == 0:
            return ".".join(labels), at + 1 if end is None else end
        else:
            label = data[at + 1 : at + 1 + size]
            if len(label) < size or len(labels) > MAX_LABELS:
                raise DnsError("bad label")
            labels.append(label.decode("latin-1").lower())
            at += 1 + size


def read_reply(data: bytes) -> Reply:
    """A whole answer. Raises DnsError for anything less."""
    if len(data) < HEADER.size:
        raise DnsError("too short")
    query_id, flags, question_count, *record_counts = HEADER.unpack_from(data)
    if not flags & FLAG_RESPONSE or flags & FLAG_TRUNCATED or flags & RESPONSE_CODE_MASK:
        raise DnsError("not a whole and good answer")
    at, reply = HEADER.size, Reply(query_id)
    for _ in range(question_count):
        _, at = read_name(data, at)
        at += QUESTION_SIZE
    for _ in range(sum(record_counts)):
        at = _read_record(reply, data, at)
    return reply


def _read_record(reply: Reply, data: bytes, at: int) -> int:
    """Add the record that begins there to the reply; returns where it ends."""
    name, at = read_name(data, at)
    if at + RECORD_HEADER.size > len(data):
        raise DnsError("record runs over the end")
    kind, _, _, size = RECORD_HEADER.unpack_from(data, at)
    at += RECORD_HEADER.size
    if at + size > len(data):
        raise DnsError("record runs over the end")
    try:
        _read_record_data(reply, name, kind, data, at, size)
    except struct.error:
        raise DnsError("record is too short") from None
    return at + int(size)


def _read_record_data(reply: Reply, name: str, kind: int, data: bytes, at: int, size: int) -> None:
    end = at + size
    if kind == SRV:
        priority, weight, port = SRV_HEADER.unpack_from(data[:end], at)
        reply.targets.append(SrvRecord(priority, weight, port, read_name(data, at + SRV_HEADER.size)[0]))
    elif kind == A:
        reply.addresses[name] = ".".join(map(str, struct.unpack_from("4B", data[:end], at)))
    elif kind == TXT:
        texts = []
        while at < end:
            texts.append(data[at + 1 : min(end, at + 1 + data[at])].decode("latin-1"))
            at += 1 + data[at]
        reply.texts[name] = texts
    elif kind == SOA:
        _, at = read_name(data, at)  # primary server
        _, at = read_name(data, at)  # mailbox
        (reply.serial,) = UINT32.unpack_from(data, at)
