"""Helpers for the end of a TCP connection: unread bytes, whether the peer has left, and the reason code of its end.

Stateless. Used by both listeners and by the engine connections.
"""

from __future__ import annotations

import select
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


ENDED_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR
RECEIVE_BYTES = 65_536  # that the transport reads at once; a shorter read has left nothing unread


def peer_has_left(transport: Any) -> bool:
    """Whether the peer has closed or reset the connection, even if bytes that it sent before are unread."""
    poller = select.poll()
    try:
        poller.register(transport.getHandle(), select.POLLRDHUP)  # errors and resets are always reported
        return any(events & ENDED_EVENTS for _, events in poller.poll(0))
    except (OSError, ValueError):  # a shortage, or a socket that is closed already and whose end is noticed otherwise
        return False


def end_reason(reason: Failure | None) -> str:
    """Return the reason code, for the log, of a connection that was ended by the peer or the network."""
    if reason is None or reason.type is None or reason.type is ConnectionDone:
        return "peer-closed"
    return "reset" if reason.type is ConnectionLost else reason.type.__name__
