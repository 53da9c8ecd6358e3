"""What connections of every wire share: bounds on clients' connections, and how the end of one is named."""

from __future__ import annotations

import socket
from errno import EAGAIN
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from decklb.wire.local_errors import SHORTAGES

# Whoever says nothing readable is owed an end within 3 s of connecting; both have to begin well before.
FIRST, HALF = 2200.0, 2200.0  # ms from connecting to a first whole message, from a message's first byte to its last
LINGER = 3000.0  # ms that what still comes is read and thrown away after an error: a reset could overtake it


def unread(transport: Any) -> bool:
    """Whether bytes have arrived that nobody has read yet, as when the process was held up.

    Where the machine is too short of something to say, there may be some.
    """
    try:
        return bool(transport.getHandle().recv(1, socket.MSG_PEEK))
    except OSError as error:
        return error.errno in SHORTAGES and error.errno != EAGAIN


def end_reason(reason: Failure | None) -> str:
    """The reason code of a connection that the other side, or the network, has ended."""
    if reason is None or reason.type is None or reason.type is ConnectionDone:
        return "peer-closed"
    return "reset" if reason.type is ConnectionLost else reason.type.__name__
