"""DNS (RFC 1035), as much as the directory needs: one question, SRV, A, TXT and SOA in answers."""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

A, SOA, TXT, SRV = 1, 6, 16, 33
IN = 1
HEAD = struct.Struct(">HHHHHH")
RECORD = struct.Struct(">HHIH")


class DnsError(Exception):
    """What came is no answer that can be read whole."""


@dataclass(slots=True)
class Target:
    """One SRV record."""

    priority: int
    weight: int
    port: int
    name: str


@dataclass(slots=True)
class Reply:
    """What an answer says, whichever section said it."""

    ident: int
    serial: int | None = None
    targets: list[Target] = field(default_factory=list)
    addresses: dict[str, str] = field(default_factory=dict)
    texts: dict[str, list[str]] = field(default_factory=dict)


def query(ident: int, name: str) -> bytes:
    """A question for the SRV records of a name."""
    labels = b"".join(bytes([len(x)]) + x.encode() for x in name.split("."))
    return HEAD.pack(ident, 0, 1, 0, 0, 0) + labels + b"\0" + struct.pack(">HH", SRV, IN)


def read_name(data: bytes, at: int) -> tuple[str, int]:
    """A name, perhaps compressed, and where it ends. Pointers go backwards only, so there is no loop."""
    labels: list[str] = []
    end, limit = None, at
    while True:
        if at >= len(data):
            raise DnsError("name runs over the end")
        size = data[at]
        if size >= 0xC0:
            if at + 1 >= len(data):
                raise DnsError("pointer runs over the end")
            end = at + 2 if end is None else end
            at = (size & 0x3F) << 8 | data[at + 1]
            if at >= limit:
                raise DnsError("pointer does not go back")
            limit = at
        elif size > 63:
            raise DnsError("bad label")
        elif size == 0:
            return ".".join(labels), at + 1 if end is None else end
        else:
            label = data[at + 1 : at + 1 + size]
            if len(label) < size or len(labels) > 127:
                raise DnsError("bad label")
            labels.append(label.decode("latin-1").lower())
            at += 1 + size


def read_reply(data: bytes) -> Reply:
    """A whole answer. Raises DnsError for anything less."""
    if len(data) < HEAD.size:
        raise DnsError("too short")
    ident, flags, questions, *counts = HEAD.unpack_from(data)
    if not flags & 0x8000 or flags & 0x0200 or flags & 0x000F:
        raise DnsError("not a whole and good answer")
    at, reply = HEAD.size, Reply(ident)
    for _ in range(questions):
        _, at = read_name(data, at)
        at += 4
    for _ in range(sum(counts)):
        name, at = read_name(data, at)
        if at + RECORD.size > len(data):
            raise DnsError("record runs over the end")
        kind, _, _, size = RECORD.unpack_from(data, at)
        at += RECORD.size
        if at + size > len(data):
            raise DnsError("record runs over the end")
        try:
            _record(reply, name, kind, data, at, size)
        except struct.error:
            raise DnsError("record is too short") from None
        at += size
    return reply


def _record(reply: Reply, name: str, kind: int, data: bytes, at: int, size: int) -> None:
    if kind == SRV:
        priority, weight, port = struct.unpack_from(">HHH", data[: at + size], at)
        reply.targets.append(Target(priority, weight, port, read_name(data, at + 6)[0]))
    elif kind == A:
        reply.addresses[name] = ".".join(map(str, struct.unpack_from("4B", data[: at + size], at)))
    elif kind == TXT:
        texts, end = [], at + size
        while at < end:
            texts.append(data[at + 1 : min(end, at + 1 + data[at])].decode("latin-1"))
            at += 1 + data[at]
        reply.texts[name] = texts
    elif kind == SOA:
        _, at = read_name(data, at)
        _, at = read_name(data, at)
        (reply.serial,) = struct.unpack_from(">I", data, at)
