"""Fault runs in processes of their own, one for each fleet.

The rig carries every datagram and connection of its fleet, and the callers live beside it: six fleets in one process
take its whole core, and then the rig itself is the slow peer that nobody asked for.

`python -m decklb.lab.fault_runs.isolation MODULE:FUNCTION JSON` runs an async generator of the laboratory and prints
what it yields, a line of JSON each; it ends with its work, at SIGTERM, or when nobody reads it any more, and takes its
processes along.
"""

from __future__ import annotations

import asyncio
import importlib
import signal
import sys
from collections.abc import AsyncIterator, Callable, Iterable
from pathlib import Path
from typing import Any, TypeVar

import msgspec

T = TypeVar("T")
LINE = 1 << 24  # bytes of one result at most
TRIES = 3  # of a run that the machine held up


async def apart(function: str, result: type[T], **words: Any) -> AsyncIterator[T]:
    """What a function yields in a process of its own. Raises RuntimeError where that fails; its words are on ours."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "decklb.lab.fault_runs.isolation",
        function,
        msgspec.json.encode(words).decode(),
        cwd=Path(__file__).parents[3],
        stdout=asyncio.subprocess.PIPE,
        limit=LINE,
    )
    assert child.stdout is not None
    try:
        while line := await child.stdout.readline():
            yield msgspec.json.decode(line, type=result)
        if code := await child.wait():
            raise RuntimeError(f"{function} ended with {code}: {words}")
    finally:
        if child.returncode is None:
            child.terminate()
            await child.wait()


async def side_by_side(
    function: str,
    result: type[T],
    plays: Iterable[dict[str, Any]],
    fleets: int,
    told: Callable[[T], None],
    judged: Callable[[T], bool],
) -> list[T]:
    """One run of each play, a few fleets side by side. Each is told; one that can't be judged, since the machine itself
    stood still, is played again, and what stands of it is the last."""
    left, made = iter(plays), list[T]()

    async def one(index: int) -> None:
        for play in left:
            for _ in range(TRIES):
                async for run in apart(function, result, index=index, **play):
                    told(run)
                if judged(run):
                    break
            made.append(run)

    await asyncio.gather(*(one(i) for i in range(fleets)))
    return made


async def main(function: str, words: dict[str, Any]) -> None:
    """Run it here."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    module, _, name = function.partition(":")
    if not module.startswith("decklb.lab."):
        raise ValueError(f"{module} is not of the laboratory")
    async for found in getattr(importlib.import_module(module), name)(**words):
        sys.stdout.buffer.write(msgspec.json.encode(found) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], msgspec.json.decode(sys.argv[2])))
