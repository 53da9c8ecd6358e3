"""The matrix of failing system calls: the errors that the manual pages document for each call of the program.

Free of I/O. `fault_runs.system_call_run` runs the cases, each with one error for one of SPANS.
"""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass

FRONTS = ("platform", "postgres")
SPANS = {"once": 0.0, "short": 0.3, "long": 1.5}  # seconds for which a call fails; once: a single call fails

_OUT_OF_MEMORY = ("ENOBUFS", "ENOMEM")
_OUT_OF_DESCRIPTORS = ("EMFILE", "ENFILE")
# Errors by call and side (the peers whose sockets are affected). Sources: accept(2), connect(2), socket(2),
# getsockopt(2), setsockopt(2), recv(2), send(2), epoll_ctl(2), epoll_wait(2), write(2); for errors of the network also
# ip(7), udp(7), tcp(7).
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
# Errors that mean that a connection is lost, which the program can't prevent.
CONNECTION_LOST = frozenset({"ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOTCONN", "EPIPE"})
# Errors that a call may return at any time and that the program need not log.
TRANSIENT = frozenset({"EAGAIN", "EINTR"})
# Errors of connect(2) that may be the engine's fault.
ENGINE_FAULTS = frozenset({"ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH"})


@dataclass(frozen=True, slots=True)
class Case:
    """One system call that fails with one error for one time span, on one front.

    Attributes:
        front: platform or postgres.
        call: Name of the system call.
        side: Peers whose sockets are affected: client, engine, directory or any.
        error: Name of the errno value.
        span: Name of the time span, one of SPANS.
    """

    front: str
    call: str
    side: str
    error: str
    span: str

    @property
    def errno(self) -> int:
        """Return the errno value."""
        return int(getattr(errno, self.error))

    @property
    def ends_client_connections(self) -> bool:
        """Whether the fault itself ends connections of clients and the requests on them."""
        return self.side == "client" and self.call in ("recv", "send") and self.error in CONNECTION_LOST

    @property
    def may_be_engine_fault(self) -> bool:
        """Whether the program may attribute the error to the engine."""
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
        if span != "long" or error not in TRANSIENT  # the kernel returns these only for a short time
    ]


def sample_cases(seed: int, fraction: float) -> list[Case]:
    """Draw a fraction of the matrix by a seed, with at least one case of each call, side and front."""
    rng = random.Random(seed)
    groups: dict[tuple[str, str, str], list[Case]] = {}
    for case in all_cases():
        groups.setdefault((case.front, case.call, case.side), []).append(case)
    return [case for group in groups.values() for case in rng.sample(group, max(1, round(fraction * len(group))))]
