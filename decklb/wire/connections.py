"""Bounds on clients' connections, the same on every front that listens on a socket."""

from __future__ import annotations

import socket
from typing import Any

# Whoever says nothing readable is owed an end within 3 s of connecting; both have to begin well before.
FIRST, HALF = 2200.0, 2200.0  # ms from connecting to a first whole message, from a message's first byte to its last
LINGER = 3000.0  # ms that what still comes is read and thrown away after an error: a reset could overtake it


def unread(transport: Any) -> bool:
    """Whether bytes have arrived that nobody has read yet, as when the process was held up."""
    try:
        return bool(transport.getHandle().recv(1, socket.MSG_PEEK))
    except OSError:
        return False
