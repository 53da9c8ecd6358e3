"""Reads KNOWN-RED.txt at the project's root: the tests that fail because of a known fault of the program.

A listed test is expected to fail; if it passes, the run fails. So the commit that fixes a fault must also remove its
test from the list.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

LIST_FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_FAILURES = 3  # known failures that may be listed at a time
PARTS_PER_LINE = 3


@dataclass(frozen=True)
class KnownFailure:
    """One line of the list: the test's id without parameters, the cause, and the issue that tracks the fix."""

    test: str
    cause: str
    issue: str

    def matches(self, nodeid: str) -> bool:
        """Return whether this is the id of the listed test, with any parameters."""
        return nodeid.partition("[")[0] == self.test


def parse(text: str) -> list[KnownFailure]:
    """Parse the list. Raises ValueError if a line does not have three parts or there are too many lines."""
    failures = []
    for line in filter(None, map(str.strip, text.splitlines())):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != PARTS_PER_LINE or not all(parts):
            raise ValueError(f"KNOWN-RED.txt: 'test | cause | issue' is expected, not {line!r}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_FAILURES:
        raise ValueError(f"KNOWN-RED.txt: {len(failures)} lines, {MAX_FAILURES} at most")
    return failures


def load() -> list[KnownFailure]:
    """Return the current list; it is empty if there is no file."""
    return parse(LIST_FILE.read_text()) if LIST_FILE.exists() else []
