"""Makes chosen system calls of one process fail, and sets its wall clock, while it runs.

`Interposer` builds a library that is preloaded into the process (`interposer.c`) and owns the file of rules that both
map into memory: `struct rule` there and RULE here have the same layout. Fault runs start the program with
`Interposer.environment` and set rules from outside.
"""

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
MAX_RULES = 16
RULE = struct.Struct("<iiiiqqiiqq")  # active, call, errno, port, skip, count, most, delay in us, seen, hits
CLOCK_OFFSET = struct.Struct("<q")  # ns that the wall clock is ahead; before all rules
COUNTERS = struct.Struct("<qq")  # at the end of a rule: seen, hits
ACTIVE = struct.Struct("<i")  # at the beginning of a rule
ALWAYS = 1 << 62  # calls; more than ever come


class InterposerError(Exception):
    """Calls can't be interposed here, or a rule is wrong."""


class Interposer:
    """Rules by which calls of one process fail. They can be set and cleared while it runs."""

    def __init__(self, folder: Path) -> None:
        """Build the library and the file of rules in a folder.

        Raises:
            InterposerError: There is no C compiler, or it fails.
        """
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
        self._path.write_bytes(bytes(CLOCK_OFFSET.size + MAX_RULES * RULE.size))
        with self._path.open("r+b") as file:
            self._rules = mmap.mmap(file.fileno(), 0)
        self._count = 0

    def environment(self, base: Mapping[str, str] = os.environ) -> dict[str, str]:
        """Return the environment of a process whose calls this strikes."""
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
        """Strike a call from now on.

        Args:
            call: One of CALLS.
            error: errno to fail with; 0 for none.
            port: Only sockets with it at either end; 0 for all.
            skip: Calls to let pass first.
            count: Calls to strike.
            most: Bytes that the call may move; 0 for no limit.
            delay: Seconds by which the call is late.

        Raises:
            InterposerError: The call is unknown, or there are too many rules at a time.
        """
        if call not in CALLS:
            raise InterposerError(f"unknown call {call!r}; one of {', '.join(CALLS)}")
        if self._count >= MAX_RULES:
            raise InterposerError(f"{MAX_RULES} rules at most; clear() first")
        offset = CLOCK_OFFSET.size + self._count * RULE.size
        self._count += 1
        inactive, seen, hits = 0, 0, 0
        RULE.pack_into(
            self._rules,
            offset,
            inactive,
            CALLS.index(call),
            error,
            port,
            skip,
            count,
            most,
            int(delay * 1e6),
            seen,
            hits,
        )
        ACTIVE.pack_into(self._rules, offset, 1)  # last, so that no half of a rule is ever acted on
        return Rule(self._rules, offset)

    def clear(self) -> None:
        """Strike no call any more."""
        for number in range(MAX_RULES):
            ACTIVE.pack_into(self._rules, CLOCK_OFFSET.size + number * RULE.size, 0)
        self._count = 0

    def set_wall_clock(self, seconds: float) -> None:
        """Set the process's wall clock that much ahead of the machine's, or behind it where below 0."""
        CLOCK_OFFSET.pack_into(self._rules, 0, int(seconds * 1e9))


class Rule:
    """A rule in force, or one that was; `offset` is its place in the mapped file."""

    def __init__(self, rules: mmap.mmap, offset: int) -> None:
        self._rules, self._offset = rules, offset

    @property
    def hits(self) -> int:
        """Return how many calls it has struck."""
        _, hits = COUNTERS.unpack_from(self._rules, self._offset + RULE.size - COUNTERS.size)
        return int(hits)
