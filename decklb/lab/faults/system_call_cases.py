"""Which system calls of the program can fail how: the errors that the manual pages name, for each call in its path."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass

FRONTS = ("platform", "postgres")
SPANS = {"once": 0.0, "short": 0.3, "long": 1.5}  # seconds that the call goes on failing; once: a single time

_SHORT = ("ENOBUFS", "ENOMEM")
_DESCRIPTORS = ("EMFILE", "ENFILE")
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
        *_DESCRIPTORS,
        *_SHORT,
    ),
    ("recv", "client"): ("EAGAIN", "EINTR", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOTCONN", *_SHORT),
    ("recv", "engine"): ("EAGAIN", "EINTR", "ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOTCONN", *_SHORT),
    ("send", "client"): ("EAGAIN", "EINTR", "ECONNRESET", "EPIPE", "EHOSTUNREACH", "ENOTCONN", *_SHORT),
    ("send", "engine"): ("EAGAIN", "EINTR", "ECONNRESET", "EPIPE", "EHOSTUNREACH", "ENOTCONN", *_SHORT),
    ("setsockopt", "client"): ("EBADF", "EINVAL", "ENOPROTOOPT", *_SHORT),
    ("setsockopt", "engine"): ("EBADF", "EINVAL", "ENOPROTOOPT", *_SHORT),
    ("getsockopt", "engine"): ("EBADF", "EINVAL", *_SHORT),
    ("socket", "any"): ("EACCES", "EAFNOSUPPORT", *_DESCRIPTORS, *_SHORT),
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
        *_SHORT,
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
        *_SHORT,
    ),
    ("recvfrom", "directory"): ("EAGAIN", "EINTR", "ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "ETIMEDOUT", *_SHORT),
    ("epoll_ctl", "any"): ("EEXIST", "ENOENT", "ENOMEM", "ENOSPC"),
    ("epoll_wait", "any"): ("EINTR", "EINVAL", "EBADF"),
    ("write", "any"): ("EIO", "ENOSPC", "EPIPE"),  # the log
}
# Errors that say that a connection is gone: nothing that the program does can keep it.
GONE = frozenset({"ECONNRESET", "ETIMEDOUT", "EHOSTUNREACH", "ENOTCONN", "EPIPE"})
# Errors that a call may give at any time, which the program need not tell of.
USUAL = frozenset({"EAGAIN", "EINTR"})
# Errors of connect(2) that do tell of the other end.
OF_THE_ENGINE = frozenset({"ECONNREFUSED", "ETIMEDOUT", "EHOSTUNREACH"})


@dataclass(frozen=True, slots=True)
class Case:
    """One call that fails in one way for one span, on one front."""

    front: str
    call: str
    side: str
    error: str
    span: str

    @property
    def errno(self) -> int:
        """The error's number."""
        return int(getattr(errno, self.error))

    @property
    def ends_client_connections(self) -> bool:
        """Whether the fault itself ends connections of clients, with what is open on them."""
        return self.side == "client" and self.call in ("recv", "send") and self.error in GONE

    @property
    def blames_engine(self) -> bool:
        """Whether the fault tells of an engine."""
        return self.side == "engine" and (self.error in GONE or self.error in OF_THE_ENGINE)

    def __str__(self) -> str:
        return f"{self.front}: {self.call} of {self.side}: {self.error}, {self.span}"


def all_cases() -> list[Case]:
    """The whole matrix."""
    return [
        Case(front, call, side, error, span)
        for front in FRONTS
        for (call, side), errors in ERRORS.items()
        for error in errors
        for span in SPANS
        if span != "long" or error not in USUAL  # the kernel gives these only for a moment
    ]


def some_cases(seed: int, part: float) -> list[Case]:
    """A part of the matrix, drawn anew for each seed: at least one case of each call, side and front."""
    draw = random.Random(seed)
    groups: dict[tuple[str, str, str], list[Case]] = {}
    for case in all_cases():
        groups.setdefault((case.front, case.call, case.side), []).append(case)
    return [case for group in groups.values() for case in draw.sample(group, max(1, round(part * len(group))))]
