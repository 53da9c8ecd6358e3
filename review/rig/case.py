"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

from __future__ import annotations

import asyncio
import os
import shutil
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path

from rig.process import CaseError, Record

LIMIT_S = 110.0


@dataclass
class Case:
    """What a case gets: its record, a temporary folder, whether the disruption is on, and what ends it."""

    record: Record
    folder: Path
    trouble: bool
    stack: AsyncExitStack


async def _bounded(body: Callable[[Case], Awaitable[bool]], record: Record, folder: Path) -> bool:
    async with AsyncExitStack() as stack:
        trouble = os.environ.get("TROUBLE", "1") != "0"
        record.say(f"disruption: {'on' if trouble else 'off'}")
        return await asyncio.wait_for(body(Case(record, folder, trouble, stack)), LIMIT_S)


def main(body: Callable[[Case], Awaitable[bool]]) -> None:
    """Run the body, which returns whether the rule held, and end everything that it started."""
    folder = Path(tempfile.mkdtemp(prefix="decklb-review-"))
    record = Record(os.environ.get("RECORD", "record.txt"))
    status = 2
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that SIGTERM ends the processes too
    try:
        held = asyncio.run(_bounded(body, record, folder))
        record.say("the rule held" if held else "the rule was broken")
        status = 0 if held else 1
    except CaseError as error:
        record.say(f"the case could not run: {error}")
    except Exception:
        record.say("the case could not run: " + traceback.format_exc())
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(status)
