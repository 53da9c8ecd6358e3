"""Makes chosen system calls of a running process fail and shifts its wall clock.

`Interposer` builds a library that is preloaded into the process (`interposer.c`), and owns the file of rules that both
sides map into memory: `struct rule` there and RULE here have the same layout. Fault runs start the program in
`Interposer.environment` and add rules while it runs.
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
RULE = struct.Struct("<iiiiqqiiqq")  # active, call, errno, port, skip, count, max_bytes, delay in us, seen, hits
CLOCK_OFFSET = struct.Struct("<q")  # offset of the wall clock in ns; precedes all rules
COUNTERS = struct.Struct("<qq")  # at the end of a rule: seen, hits
ACTIVE = struct.Struct("<i")  # at the beginning of a rule
ALWAYS = 1 << 62  # calls, more than any process makes


class InterposerError(Exception):
    """System calls can't be interposed on this machine, or a rule is invalid."""


class Interposer:
    """Rules by which system calls of one process fail. They can be added and cleared while it runs."""

    def __init__(self, folder: Path) -> None:
        """Build the library and create the file of rules in a folder.

        Raises:
            InterposerError: There is no C compiler, or compilation failed.
        """
        compiler = shutil.which("cc") or shutil.which("gcc")
        if compiler is None:
            raise InterposerError("no C compiler found; install one to interpose system calls")
        self._library = folder / "interposer.so"
        build = subprocess.run(
            [compiler, "-O2", "-shared", "-fPIC", "-o", str(self._library), str(SOURCE), "-ldl"],
            capture_output=True,
            text=True,
        )
        if build.returncode != 0:
            raise InterposerError(f"compilation of the interposer failed: {build.stderr}")
        self._rules_path = folder / "interposer.rules"
        self._rules_path.write_bytes(bytes(CLOCK_OFFSET.size + MAX_RULES * RULE.size))
        with self._rules_path.open("r+b") as file:
            self._rules = mmap.mmap(file.fileno(), 0)
        self._rule_count = 0

    def environment(self, base: Mapping[str, str] = os.environ) -> dict[str, str]:
        """Return the environment in which a process has to be started for the rules to apply."""
        return dict(base) | {"LD_PRELOAD": str(self._library), "DECKLB_FAULTS": str(self._rules_path)}

    def add_rule(
        self,
        call: str,
        error: int = 0,
        port: int = 0,
        skip: int = 0,
        count: int = ALWAYS,
        max_bytes: int = 0,
        delay_s: float = 0.0,
    ) -> Rule:
        """Add a rule, which applies from now on.

        Args:
            call: Name of the system call, one of CALLS.
            error: errno value with which the call fails; 0 for none.
            port: Only calls on sockets with this local or remote port; 0 for all.
            skip: Number of matching calls before the rule applies.
            count: Number of matching calls after the skipped ones to which the rule applies.
            max_bytes: Maximum number of bytes that the call transfers; 0 for no limit.
            delay_s: Time by which the call is delayed.

        Raises:
            InterposerError: The call is unknown, or there are too many rules.
        """
        if call not in CALLS:
            raise InterposerError(f"unknown call {call!r}; must be one of {', '.join(CALLS)}")
        if self._rule_count >= MAX_RULES:
            raise InterposerError(f"at most {MAX_RULES} rules are possible; call clear() first")
        offset = CLOCK_OFFSET.size + self._rule_count * RULE.size
        self._rule_count += 1
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
            max_bytes,
            int(delay_s * 1e6),
            seen,
            hits,
        )
        ACTIVE.pack_into(self._rules, offset, 1)  # last, so that the process never applies an incomplete rule
        return Rule(self._rules, offset)

    def clear(self) -> None:
        """Deactivate all rules."""
        for number in range(MAX_RULES):
            ACTIVE.pack_into(self._rules, CLOCK_OFFSET.size + number * RULE.size, 0)
        self._rule_count = 0

    def set_wall_clock(self, offset_s: float) -> None:
        """Set the process's wall clock this far ahead of the machine's; a negative offset sets it behind."""
        CLOCK_OFFSET.pack_into(self._rules, 0, int(offset_s * 1e9))


class Rule:
    """A rule, active or cleared; `offset` is its position in the mapped file."""

    def __init__(self, rules: mmap.mmap, offset: int) -> None:
        self._rules, self._offset = rules, offset

    @property
    def hits(self) -> int:
        """Return the number of calls to which the rule was applied."""
        _, hits = COUNTERS.unpack_from(self._rules, self._offset + RULE.size - COUNTERS.size)
        return int(hits)
