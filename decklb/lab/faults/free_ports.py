"""Draws free ports for processes that tests and fault runs start and restart.

The ports are below the kernel's ephemeral range, so no outgoing connection of another process can occupy one before its
owner has started or while the owner is down.
"""

from __future__ import annotations

import random
import socket
from pathlib import Path

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
MIN_PORT = 10_000
_rng = random.SystemRandom()  # not from a seed: fleets with the same seed may run side by side


def free(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return this number of ports that are free for both UDP and TCP."""
    first_ephemeral = int(EPHEMERAL_RANGE.read_text().split()[0])
    ports: list[int] = []
    while len(ports) < count:
        port = _rng.randrange(MIN_PORT, first_ephemeral)
        if port not in ports and _is_free(host, port):
            ports.append(port)
    return ports


def _is_free(host: str, port: int) -> bool:
    try:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket, socket.socket() as tcp_socket:
            udp_socket.bind((host, port))
            tcp_socket.bind((host, port))
    except OSError:
        return False
    return True
