"""Failing system calls and a set wall clock in a process that was started with `Interposer.environment`."""

from __future__ import annotations

import mmap
import os
import shutil
import struct
import subprocess
from collections.abc import Mapping
from pathlib import Path

SOURCE = Path(__file__).with_name("interposer.c")
# The order is that of interposer.c's `enum call`.
CALLS = (
    "accept4",
    "connect",
    "socket",
    "bind",
    "getsockopt",
    "setsockopt",
    "recv",
    "recvfrom",
    "send",
    "sendto",
    "writev",
    "epoll_wait",
    "epoll_ctl",
    "read",
    "write",
    "pwrite",
    "pwritev",
    "fsync",
    "fdatasync",
    "msync",
    "ftruncate",
)
RULES = 16
RULE = struct.Struct("<iiiiqqiiqq")  # as `struct rule`
OFFSET = struct.Struct("<q")
COUNTERS = struct.Struct("<qq")  # at the end of a rule: seen, hits
ALWAYS = 1 << 62


class InterposerError(Exception):
    """Calls can't be interposed here, or a rule is wrong."""


class Interposer:
    """Rules by which calls of one process fail. They can be set and cleared while it runs."""

    def __init__(self, folder: Path) -> None:
        """Build the library in `folder`, and the file of rules. Raises InterposerError where there is no C compiler."""
        compiler = shutil.which("cc") or shutil.which("gcc")
        if compiler is None:
            raise InterposerError("no C compiler; install one to interpose system calls")
        self._library = folder / "interposer.so"
        built = subprocess.run(
            [compiler, "-O2", "-shared", "-fPIC", "-o", str(self._library), str(SOURCE), "-ldl"],
            capture_output=True,
            text=True,
        )
        if built.returncode != 0:
            raise InterposerError(f"the interposer can't be built: {built.stderr}")
        self._path = folder / "interposer.rules"
        self._path.write_bytes(bytes(OFFSET.size + RULES * RULE.size))
        with self._path.open("r+b") as file:
            self._rules = mmap.mmap(file.fileno(), 0)
        self._count = 0

    def environment(self, base: Mapping[str, str] = os.environ) -> dict[str, str]:
        """The environment of a process whose calls this strikes."""
        return dict(base) | {"LD_PRELOAD": str(self._library), "DECKLB_FAULTS": str(self._path)}

    def fail(
        self,
        call: str,
        error: int = 0,
        port: int = 0,
        skip: int = 0,
        count: int = ALWAYS,
        most: int = 0,
        delay: float = 0.0,
    ) -> Rule:
        """Strike a call.

        `error`: errno to fail with, 0 for none; `port`: only sockets with it at either end; `skip`: calls to let pass
        first; `count`: calls to strike; `most`: bytes the call may move; `delay`: seconds by which it is late.
        Raises InterposerError for an unknown call, or for too many rules at a time.
        """
        if call not in CALLS:
            raise InterposerError(f"unknown call {call!r}; one of {', '.join(CALLS)}")
        if self._count >= RULES:
            raise InterposerError(f"{RULES} rules at most; clear() first")
        at = OFFSET.size + self._count * RULE.size
        self._count += 1
        RULE.pack_into(self._rules, at, 0, CALLS.index(call), error, port, skip, count, most, int(delay * 1e6), 0, 0)
        struct.pack_into("<i", self._rules, at, 1)  # last, so that no half of a rule is ever acted on
        return Rule(self._rules, at)

    def clear(self) -> None:
        """No call is struck any more."""
        for number in range(RULES):
            struct.pack_into("<i", self._rules, OFFSET.size + number * RULE.size, 0)
        self._count = 0

    def set_wall_clock(self, seconds: float) -> None:
        """Set the process' wall clock that much ahead of the machine's, or behind it."""
        OFFSET.pack_into(self._rules, 0, int(seconds * 1e9))


class Rule:
    """A rule in force, or one that was."""

    def __init__(self, rules: mmap.mmap, at: int) -> None:
        self._rules, self._at = rules, at

    @property
    def hits(self) -> int:
        """How many calls it has struck."""
        _, hits = COUNTERS.unpack_from(self._rules, self._at + RULE.size - COUNTERS.size)
        return int(hits)
