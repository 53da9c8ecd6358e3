"""Keys, datagrams and nodes for the tests of the cluster subsystem."""

from __future__ import annotations

import random

from decklb.cluster import messages
from decklb.cluster.node import Node
from decklb.cluster.sealing import Sealer
from decklb.cluster.settings import DutySettings, MembershipSettings

KEY, OTHER_KEY, SALT = bytes(32), bytes([1]) * 32, bytes(8)
WALL_MS = 1_700_000_000_000  # Unix ms
CLUSTER = "decklb"
PEER = ("127.0.0.1", 9)


def envelope(body=(), sender="b", run_id=7, sequence=1, wall_ms=WALL_MS, lamport_time=0):
    """Build an unsealed datagram from another member."""
    encoded = [messages.encode_message(message) for message in body]
    return messages.encode_envelope(sender, run_id, sequence, wall_ms, lamport_time, encoded)


def sealer(key=KEY):
    """Build the sealer of another member."""
    return Sealer(CLUSTER, [key], SALT)


def node(**duty):
    """Build the member "a", not started; with one kind of duty if settings for it are given."""
    return Node(
        MembershipSettings(),
        [DutySettings(**duty)] if duty else [],
        "a",
        ("127.0.0.1", 1),
        Sealer(CLUSTER, [KEY], bytes([9]) * 8),
        random.Random(1),
        0.0,
        WALL_MS,
    )
