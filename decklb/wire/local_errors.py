"""Classification of system call errors that are caused by this machine and not by the peer.

Constants and one function, stateless. Used by the reactor's sockets (`retrying_sockets`), by `dialing` and by the
engine connections, which must not blame an engine for a local shortage of resources.
"""

from __future__ import annotations

import errno

from twisted.internet.error import ConnectBindError, ConnectError

# The kernel is short of a resource, or the call was interrupted: the same call may succeed a moment later. See the
# manual pages of accept(2), connect(2), recv(2), send(2) and socket(2).
RETRYABLE_ERRNOS = frozenset(
    {errno.EAGAIN, errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.ENOSPC}
)
# Errors with which connect(2) fails before it has sent anything.
LOCAL_CONNECT_ERRNOS = RETRYABLE_ERRNOS | {
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
# Errors of accept(2) that concern the connection it would have returned: that connection is lost, but the listener
# keeps working.
ABORTED_ACCEPT_ERRNOS = frozenset(
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


def is_local_error(error: BaseException | None) -> bool:
    """Whether a connection attempt failed because of this machine and not because of the peer."""
    if isinstance(error, ConnectBindError):  # socket(2) or bind(2) failed
        return True
    return isinstance(error, ConnectError) and error.osError in LOCAL_CONNECT_ERRNOS
