"""Draws free ports that stay free while their owner is down, for processes that tests and fault runs start again.

They lie below the range from which the kernel serves outgoing connections, so that nobody else's connection takes one
before its owner has come up, or between its end and its next start.
"""

from __future__ import annotations

import random
import socket
from pathlib import Path

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
MIN_PORT = 10_000
_rng = random.SystemRandom()  # not by seed: fleets of one seed may run side by side


def free(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return so many ports that are free for datagrams and for connections alike."""
    first_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
    ports: list[int] = []
    while len(ports) < count:
        port = _rng.randrange(MIN_PORT, first_ephemeral)
        if port not in ports and _is_free(host, port):
            ports.append(port)
    return ports


def _is_free(host: str, port: int) -> bool:
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams, socket.socket() as connections:
            datagrams.bind((host, port))
            connections.bind((host, port))
    except OSError:
        return False
    return True
