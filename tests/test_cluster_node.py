"""A node drops and counts datagrams that it cannot accept, and never answers them."""

from __future__ import annotations

import random

import msgspec
import pytest

from decklb.cluster import messages
from decklb.cluster.messages import HealthStatus
from tests.cluster_builders import OTHER_KEY, PEER, WALL_MS, envelope, node, sealer


def unacceptable_datagrams():
    """Yield datagrams, each with the reason under which it is counted."""
    yield "size", b""
    yield "size", bytes(33)
    yield "size", bytes(1401)
    yield "version", bytes([2]) * 100
    yield "key", sealer(OTHER_KEY).seal(envelope())
    seal = sealer().seal
    sealed = seal(envelope())
    yield "seal", sealed[:-1]
    yield "seal", sealed[:40] + bytes([sealed[40] ^ 1]) + sealed[41:]
    yield "size", seal(b"")
    yield "shape", seal(b"\xc1" * 50)
    yield "shape", seal(b"\x91" * 1200)
    yield "shape", seal(envelope() + b"x")
    yield "shape", seal(msgspec.msgpack.encode([1, "", 7, 1, WALL_MS, 0, []]))
    yield "shape", seal(msgspec.msgpack.encode([1, "b", -7, 1, WALL_MS, 0, []]))
    yield "shape", seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL_MS, 0, [[99, 1]]]))
    yield "shape", seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL_MS, 0, [[5, "x" * 65, "h", 1, 1, 1, True, 1.0]]]))
    yield "shape", seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL_MS, 0, [[5, "x", "h", 0, 1, 1, True, 1.0]]]))
    yield "shape", seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL_MS, 0, [[5, "x", "h", 1, 1, 1, True, 0.0]]]))
    yield "shape", seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL_MS, 0, [[9]] * 401]))
    yield "version", seal(msgspec.msgpack.encode([2, "b", 7, 1, WALL_MS, 0, []]))
    yield "skew", seal(envelope(wall_ms=WALL_MS - 31_000))
    yield "skew", seal(envelope(wall_ms=0))


@pytest.mark.parametrize(
    ("reason", "data"), list(unacceptable_datagrams()), ids=lambda x: x if isinstance(x, str) else ""
)
def test_unacceptable_datagrams_are_counted_and_never_answered(reason, data):
    member = node()
    member.receive(0.0, WALL_MS, data, PEER)
    assert member.dropped == {reason: 1} and member.received == 0 and not member.outgoing


def test_a_replayed_datagram_is_not_answered_again():
    member, data = node(), sealer().seal(envelope([messages.Ping(1, "a")]))
    member.receive(0.0, WALL_MS, data, PEER)
    answers = len(member.outgoing)
    member.receive(1.0, WALL_MS + 1, data, PEER)
    assert answers > 0 and len(member.outgoing) == answers and member.dropped == {"replay": 1}


def test_damaged_datagrams_are_counted_and_do_no_harm():
    rng, member = random.Random(4), node(period_ms=1000.0)
    seal = sealer().seal
    intact = envelope(
        [
            messages.Alive("b", "127.0.0.1", 9, 5, 7, True, 1.0),
            messages.Suspect("a", 3, "b"),
            messages.Digest(bytes(256)),
            messages.DutyResult("probe", "e", 3, "b", WALL_MS, HealthStatus.DOWN),
            messages.MemberRecord("c", "h", 2, 1, 1, True, 1.0, 2, 5),
        ]
    )
    for i in range(3000):
        data = bytearray(intact)
        for _ in range(rng.randint(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        member.receive(float(i), WALL_MS + i, seal(bytes(data[: rng.randint(1, len(data))])), PEER)
        member.tick(float(i), WALL_MS + i)
    assert member.received + sum(member.dropped.values()) == 3000 and member.dropped["shape"] > 1000
