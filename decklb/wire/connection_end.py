"""What every wire asks of a TCP connection at its end: whether bytes lie unread, and the reason code of its end.

No state. Used by both listeners and by the engine connections.
"""

from __future__ import annotations

import socket
from errno import EAGAIN
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from decklb.wire.local_errors import RETRYABLE_ERRNOS


def has_unread_bytes(transport: Any) -> bool:
    """Whether bytes have arrived that nobody has read yet, as after a stall of the process.

    True also where the machine is too short of resources to say: there may be some.
    """
    try:
        return bool(transport.getHandle().recv(1, socket.MSG_PEEK))
    except OSError as error:
        return error.errno in RETRYABLE_ERRNOS and error.errno != EAGAIN


def end_reason(reason: Failure | None) -> str:
    """The reason code, for the log, of a connection that the peer or the network has ended."""
    if reason is None or reason.type is None or reason.type is ConnectionDone:
        return "peer-closed"
    return "reset" if reason.type is ConnectionLost else reason.type.__name__
