"""What all cases share: the verdict, the record of what was sent, answered and run, and a folder for the run."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"  # with TROUBLE=0 a case runs without its disruption
RUN_LIMIT_S = 110.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be run, so it says nothing about the rule."""


class Record:
    """Writes `record.txt`: one line an event, with the time since the start in s."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line, here and to standard output."""
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


class Case:
    """One run of a case.

    Attributes:
        folder: A temporary folder.
        record: Of the events.
        broken: What was seen that breaks the rule.
        cleanups: Called at the end, last first.
    """

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record = folder, record
        self.broken: list[str] = []
        self.cleanups: list[Callable[[], Awaitable[None]]] = []

    def check(self, holds: bool, text: str) -> None:
        """Note that a part of the rule was broken unless it holds."""
        self.record.write(f"check {'held' if holds else 'BROKEN'}: {text}")
        if not holds:
            self.broken.append(text)


def run(play: Callable[[Case], Awaitable[None]]) -> None:
    """Play a case and exit with its verdict: 0 the rule held, 1 it was broken, 2 the case could not run."""
    record = Record(Path(sys.argv[0]).resolve().parent / "record.txt")
    record.write(f"begins {'with' if TROUBLE else 'without'} the disruption")
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder), record)
        try:
            asyncio.run(_play(play, case))
            status = BROKEN if case.broken else HELD
        except Exception as error:
            record.write(f"the case could not run: {error!r}")
            traceback.print_exc()
    record.write(f"ends with status {status}")
    sys.exit(status)


async def _play(play: Callable[[Case], Awaitable[None]], case: Case) -> None:
    try:
        await asyncio.wait_for(play(case), RUN_LIMIT_S)
    finally:
        for cleanup in reversed(case.cleanups):
            try:
                await cleanup()
            except Exception as error:
                case.record.write(f"cleaning up: {error!r}")


async def wait_until(condition: Callable[[], object], timeout_s: float, what: str) -> None:
    """Wait until the condition holds; raises CannotRunError if it does not in time."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            raise CannotRunError(f"no {what} within {timeout_s:g} s")
        await asyncio.sleep(0.01)
