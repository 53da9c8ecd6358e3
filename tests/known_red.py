"""The tests that fail for a known fault of the program, as KNOWN-RED.txt at the root lists them.

A listed test is expected to fail, and the run fails if it passes: a fixed test comes off the list with its fix.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_FAILURES = 3  # faults that may wait for their fix at a time
PARTS_A_LINE = 3


@dataclass(frozen=True)
class KnownFailure:
    """One line: the test's id without its parameters, the cause, and the issue that will fix it."""

    test: str
    cause: str
    issue: str

    def covers(self, nodeid: str) -> bool:
        """Whether this is the test, whatever its parameters."""
        return nodeid.partition("[")[0] == self.test


def read(text: str) -> list[KnownFailure]:
    """The lines of the list. Raises ValueError for a line without its three parts, and for too many lines."""
    failures = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != PARTS_A_LINE or not all(parts):
            raise ValueError(f"KNOWN-RED.txt: 'test | cause | issue' is expected, not {line!r}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_FAILURES:
        raise ValueError(f"KNOWN-RED.txt: {len(failures)} lines, {MAX_FAILURES} at most")
    return failures


def load() -> list[KnownFailure]:
    """The list as it stands; empty where there is no file."""
    return read(LIST.read_text()) if LIST.exists() else []
