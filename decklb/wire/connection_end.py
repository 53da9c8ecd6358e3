"""Helpers for the end of a TCP connection: whether it has unread bytes, and the reason code of its end.

Stateless. Used by both listeners and by the engine connections.
"""

from __future__ import annotations

import socket
from errno import EAGAIN
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from decklb.wire.local_errors import RETRYABLE_ERRNOS


def has_unread_bytes(transport: Any) -> bool:
    """Whether the socket has received bytes that are not read yet, for example after a stall of the process.

    Also true if a shortage of resources on this machine prevents the check, since there may be unread bytes.
    """
    try:
        return bool(transport.getHandle().recv(1, socket.MSG_PEEK))
    except OSError as error:
        return error.errno in RETRYABLE_ERRNOS and error.errno != EAGAIN


def end_reason(reason: Failure | None) -> str:
    """Return the reason code, for the log, of a connection that was ended by the peer or the network."""
    if reason is None or reason.type is None or reason.type is ConnectionDone:
        return "peer-closed"
    return "reset" if reason.type is ConnectionLost else reason.type.__name__
