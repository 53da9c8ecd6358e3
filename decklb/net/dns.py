"""Codec for the part of DNS (RFC 1035) that the directory needs: one question for SRV records, and the answer to it.

Reads SRV, A, TXT and SOA records. No I/O. Used by `directory_client`; the laboratory's directory uses the constants.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

# Record types (RFC 1035, RFC 2782).
A = 1
SOA = 6
TXT = 16
SRV = 33
CLASS_IN = 1

HEADER = struct.Struct(">HHHHHH")  # id, flags, numbers of questions, answers, authority and additional records
RECORD_HEADER = struct.Struct(">HHIH")  # type, class, time to live, data length
QUESTION_SIZE = 4  # bytes of type and class after the name of a question
SRV_HEADER = struct.Struct(">HHH")  # priority, weight, port; followed by the target name
UINT32 = struct.Struct(">I")

FLAG_RESPONSE = 0x8000
FLAG_TRUNCATED = 0x0200
RESPONSE_CODE_MASK = 0x000F
POINTER_MARK = 0xC0  # smallest first byte of a label that marks a compression pointer
MAX_LABEL_BYTES = 63
MAX_NAME_BYTES = 255  # of a name without compression, with the length of each label and the final zero
MAX_POINTERS = 127  # followed in one name: a name has at most this many labels, and a useful pointer leads to one


class DnsError(Exception):
    """The datagram is not a complete, valid answer."""


@dataclass(slots=True)
class SrvRecord:
    """One SRV record."""

    priority: int
    weight: int
    port: int
    name: str


@dataclass(slots=True)
class Reply:
    """The records of an answer, from all its sections."""

    query_id: int
    serial: int | None = None  # of the SOA record
    targets: list[SrvRecord] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)  # A records by name
    texts: dict[str, list[str]] = field(default_factory=dict)  # TXT records by name


def pack_query(query_id: int, name: str) -> bytes:
    """Return a query for the SRV records of a name."""
    labels = b"".join(bytes([len(label)]) + label.encode() for label in name.split("."))
    return HEADER.pack(query_id, 0, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">HH", SRV, CLASS_IN)


def read_name(data: bytes, offset: int) -> tuple[str, int]:
    """Return the name at `offset`, possibly compressed, and the offset of its end.

    Pointers may only point backwards, so there is no endless loop. Their number and the length of a name are limited,
    so that the time for a datagram is linear in its size.
    """
    labels: list[str] = []
    name_size, pointer_count = 1, 0  # the size counts the final zero
    end = None  # end of the name in the record, set when the first pointer is followed
    pointer_limit = offset
    while True:
        if offset >= len(data):
            raise DnsError("name runs over the end")
        size = data[offset]
        if size >= POINTER_MARK:
            if offset + 1 >= len(data):
                raise DnsError("compression pointer is truncated")
            end = offset + 2 if end is None else end
            offset = (size & ~POINTER_MARK) << 8 | data[offset + 1]
            if offset >= pointer_limit:
                raise DnsError("pointer does not go back")
            pointer_limit = offset
            pointer_count += 1
            if pointer_count > MAX_POINTERS:
                raise DnsError("name has too many pointers")
        elif size > MAX_LABEL_BYTES:
            raise DnsError("bad label")
        elif size == 0:
            return ".".join(labels), offset + 1 if end is None else end
        else:
            label = data[offset + 1 : offset + 1 + size]
            if len(label) < size:
                raise DnsError("bad label")
            name_size += 1 + size
            if name_size > MAX_NAME_BYTES:
                raise DnsError("name is too long")
            labels.append(label.decode("latin-1").lower())
            offset += 1 + size


def read_reply(data: bytes) -> Reply:
    """Return the records of an answer. Raises DnsError if it is invalid or incomplete."""
    if len(data) < HEADER.size:
        raise DnsError("too short")
    query_id, flags, question_count, *record_counts = HEADER.unpack_from(data)
    if not flags & FLAG_RESPONSE or flags & FLAG_TRUNCATED or flags & RESPONSE_CODE_MASK:
        raise DnsError("not a whole and good answer")
    offset, reply = HEADER.size, Reply(query_id)
    for _ in range(question_count):
        _, offset = read_name(data, offset)
        offset += QUESTION_SIZE
    for _ in range(sum(record_counts)):
        offset = _read_record(reply, data, offset)
    return reply


def _read_record(reply: Reply, data: bytes, offset: int) -> int:
    """Add the record at `offset` to the reply; returns the offset of its end."""
    name, offset = read_name(data, offset)
    if offset + RECORD_HEADER.size > len(data):
        raise DnsError("record runs over the end")
    record_type, _, _, size = RECORD_HEADER.unpack_from(data, offset)
    offset += RECORD_HEADER.size
    if offset + size > len(data):
        raise DnsError("record runs over the end")
    try:
        _read_record_data(reply, name, record_type, data, offset, size)
    except struct.error:
        raise DnsError("record data is too short for its type") from None
    return offset + int(size)


def _read_record_data(reply: Reply, name: str, record_type: int, data: bytes, offset: int, size: int) -> None:
    end = offset + size
    if record_type == SRV:
        priority, weight, port = SRV_HEADER.unpack_from(data[:end], offset)
        reply.targets.append(SrvRecord(priority, weight, port, read_name(data, offset + SRV_HEADER.size)[0]))
    elif record_type == A:
        reply.addresses[name] = ".".join(map(str, struct.unpack_from("4B", data[:end], offset)))
    elif record_type == TXT:
        texts = []
        while offset < end:
            texts.append(data[offset + 1 : min(end, offset + 1 + data[offset])].decode("latin-1"))
            offset += 1 + data[offset]
        reply.texts[name] = texts
    elif record_type == SOA:
        _, offset = read_name(data, offset)  # primary name server
        _, offset = read_name(data, offset)  # mailbox of the administrator
        (reply.serial,) = UINT32.unpack_from(data, offset)
