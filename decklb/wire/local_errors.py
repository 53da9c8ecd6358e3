"""Errors of system calls that are this machine's own: they say nothing about whoever is at the other end."""

from __future__ import annotations

import errno

from twisted.internet.error import ConnectBindError, ConnectError

# The kernel is short of something, or was interrupted: the same call may do a moment later. (Manual pages of
# accept(2), connect(2), recv(2), send(2), socket(2).)
SHORTAGES = frozenset(
    {errno.EAGAIN, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC}
)
# connect(2) fails so before anything has left this machine.
LOCAL_CONNECT = SHORTAGES | {
    errno.EACCES,
    errno.EADDRINUSE,
    errno.EADDRNOTAVAIL,
    errno.EAFNOSUPPORT,
    errno.EBADF,
    errno.EFAULT,
    errno.EINVAL,
    errno.EALREADY,
    errno.ENETDOWN,
    errno.ENETUNREACH,
    errno.ENOTSOCK,
    errno.EPERM,
    errno.EPROTONOSUPPORT,
    errno.EPROTOTYPE,
}
# accept(2) hands out errors of the connection that it would have taken: it is gone, the listener is well.
GONE_BEFORE_ACCEPT = frozenset(
    {
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)
RETRY = 0.01  # seconds until a call that failed for a shortage is made again


def is_local(error: BaseException | None) -> bool:
    """Whether a connection failed to come up for a reason of this machine, which is no word about the other end."""
    if isinstance(error, ConnectBindError):  # socket(2) or bind(2) failed
        return True
    return isinstance(error, ConnectError) and error.osError in LOCAL_CONNECT
