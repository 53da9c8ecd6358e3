"""The matrix of system calls that can fail: the errors that manual pages name, for each call in the program's path.

Free of I/O. `fault_runs.system_call_run` plays the cases, each with its error for one of SPANS.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass

FRONTS = ("platform", "postgres")
SPANS = {"once": 0.0, "short": 0.3, "long": 1.5}  # seconds that a call goes on failing; once: a single time

_OUT_OF_MEMORY = ("ENOBUFS", "ENOMEM")
_OUT_OF_DESCRIPTORS = ("EMFILE", "ENFILE")
# Errors of each call by side: whose sockets are struck. Sources: accept(2), connect(2), socket(2), getsockopt(2),
# setsockopt(2), recv(2), send(2), epoll_ctl(2), epoll_wait(2), write(2); ip(7), udp(7), tcp(7) for the network's.
ERRORS: dict[tuple[str, str], tuple[str, ...]] = {
    ("accept4", "client"): (
        "EAGAIN",
        "ECONNABORTED",
        "EINTR",
        "EPERM",
        "EPROTO",
        "ENETDOWN",
        "ENOPROTOOPT",
        "EHOSTDOWN",
        "ENONET",
        "EHOSTUNREACH",
        "EOPNOTSUPP",
        "ENETUNREACH",
        "ETIMEDOUT",
        *_OUT_OF_DESCRIPTORS,
        *_OUT_OF_MEMORY,
    ),
    ("recv", "client"): ("EAGAIN", "EINTR", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOTCONN", *_OUT_OF_MEMORY),
    ("recv", "engine"): ("EAGAIN", "EINTR", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOTCONN", *_OUT_OF_MEMORY),
    ("send", "client"): ("EAGAIN", "EINTR", "ECONNRESET", "EPIPE", "EHOSTUNREACH", "ENOTCONN", *_OUT_OF_MEMORY),
    ("send", "engine"): ("EAGAIN", "EINTR", "ECONNRESET", "EPIPE", "EHOSTUNREACH", "ENOTCONN", *_OUT_OF_MEMORY),
    ("setsockopt", "client"): ("EBADF", "EINVAL", "ENOPROTOOPT", *_OUT_OF_MEMORY),
    ("setsockopt", "engine"): ("EBADF", "EINVAL", "ENOPROTOOPT", *_OUT_OF_MEMORY),
    ("getsockopt", "engine"): ("EBADF", "EINVAL", *_OUT_OF_MEMORY),
    ("socket", "any"): ("EACCES", "EAFNOSUPPORT", *_OUT_OF_DESCRIPTORS, *_OUT_OF_MEMORY),
    ("connect", "engine"): (
        "EACCES",
        "EPERM",
        "EADDRINUSE",
        "EADDRNOTAVAIL",
        "EAGAIN",
        "EINTR",
        "ENETUNREACH",
        "ECONNREFUSED",
        "ETIMEDOUT",
        "EHOSTUNREACH",
        *_OUT_OF_MEMORY,
    ),
    ("sendto", "directory"): (
        "EAGAIN",
        "EINTR",
        "EACCES",
        "EPERM",
        "ECONNREFUSED",
        "EHOSTUNREACH",
        "ENETUNREACH",
        "ENETDOWN",
        "EMSGSIZE",
        *_OUT_OF_MEMORY,
    ),
    ("recvfrom", "directory"): (
        "EAGAIN",
        "EINTR",
        "ECONNREFUSED",
        "EHOSTUNREACH",
        "ENETUNREACH",
        "ETIMEDOUT",
        *_OUT_OF_MEMORY,
    ),
    ("epoll_ctl", "any"): ("EEXIST", "ENOENT", "ENOMEM", "ENOSPC"),
    ("epoll_wait", "any"): ("EINTR", "EINVAL", "EBADF"),
    ("write", "any"): ("EIO", "ENOSPC", "EPIPE"),  # the log
}
# Errors that say that a connection is lost: nothing that the program does can keep it.
CONNECTION_LOST = frozenset({"ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOTCONN", "EPIPE"})
# Errors that a call may give at any time, and that the program need not log.
TRANSIENT = frozenset({"EAGAIN", "EINTR"})
# Errors of connect(2) that say something of the engine.
ENGINE_FAULTS = frozenset({"ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH"})


@dataclass(frozen=True, slots=True)
class Case:
    """One call that fails in one way for one span, on one front.

    Attributes:
        front: platform or postgres.
        call: Name of the system call.
        side: Whose sockets are struck: client, engine, directory or any.
        error: Name of the errno.
        span: For how long, of SPANS.
    """

    front: str
    call: str
    side: str
    error: str
    span: str

    @property
    def errno(self) -> int:
        """Return the error's number."""
        return int(getattr(errno, self.error))

    @property
    def ends_client_connections(self) -> bool:
        """Whether the fault itself ends connections of clients, with what is open on them."""
        return self.side == "client" and self.call in ("recv", "send") and self.error in CONNECTION_LOST

    @property
    def says_engine_failed(self) -> bool:
        """Whether the program may rightly take it for a fault of the engine."""
        return self.side == "engine" and (self.error in CONNECTION_LOST or self.error in ENGINE_FAULTS)

    def __str__(self) -> str:
        return f"{self.front}: {self.call} of {self.side}: {self.error}, {self.span}"


def all_cases() -> list[Case]:
    """Return the complete matrix."""
    return [
        Case(front, call, side, error, span)
        for front in FRONTS
        for (call, side), errors in ERRORS.items()
        for error in errors
        for span in SPANS
        if span != "long" or error not in TRANSIENT  # the kernel gives these only for a moment
    ]


def some_cases(seed: int, share: float) -> list[Case]:
    """Draw a share of the matrix by seed: at least one case of each call, side and front."""
    draw = random.Random(seed)
    groups: dict[tuple[str, str, str], list[Case]] = {}
    for case in all_cases():
        groups.setdefault((case.front, case.call, case.side), []).append(case)
    return [case for group in groups.values() for case in draw.sample(group, max(1, round(share * len(group))))]
