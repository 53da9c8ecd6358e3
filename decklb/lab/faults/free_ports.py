"""Ports that stay with those they are given to: drawn below the range from which the kernel serves connections, so that
nobody else's connection has one while its owner is down, or before it has come up."""

from __future__ import annotations

import random
import socket
from pathlib import Path

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
LEAST = 10_000
_draw = random.SystemRandom()  # not by seed: fleets of one seed may run side by side


def free(count: int, host: str = "127.0.0.1") -> list[int]:
    """So many that are free for datagrams and for connections alike."""
    below = int(RANGE.read_text().split()[0])
    found: list[int] = []
    while len(found) < count:
        port = _draw.randrange(LEAST, below)
        try:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one, socket.socket() as two:
                one.bind((host, port))
                two.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found
