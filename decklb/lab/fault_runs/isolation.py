"""Runs each fleet of a fault run in its own subprocess.

The network proxy forwards every datagram and connection of its fleet, and the simulated clients run in the same
process. With six fleets in one process its core would be saturated, and the proxy would delay traffic on links without
a fault.

`python -m decklb.lab.fault_runs.isolation MODULE:FUNCTION JSON` is the subprocess: it calls an async generator of the
laboratory with the JSON object as keyword arguments and prints each result as one line of JSON. It ends when the
generator does, at SIGTERM, or when its output is closed; in each case the generator ends the processes it started.

The module keeps no state. The campaigns of `handoff_run`, `zone_run` and `maintenance_run` call it.
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

ResultT = TypeVar("ResultT")
MAX_RESULT_BYTES = 1 << 24  # of one line of JSON; a verdict with all its findings is far smaller
MAX_ATTEMPTS = 3  # of a run whose result is inconclusive because the machine delayed the fleet
LABORATORY_PREFIX = "decklb.lab."  # only functions of these modules may be called
REPOSITORY_ROOT = Path(__file__).parents[3]


async def run_in_subprocess(function: str, result_type: type[ResultT], **arguments: Any) -> AsyncIterator[ResultT]:
    """Yield the results of an async generator that runs in a subprocess.

    The subprocess inherits stderr. It is terminated when the caller stops iterating.

    Args:
        function: The generator function, as `module:name`; its module is part of `decklb.lab`.
        result_type: Type that each line of JSON is decoded to.
        **arguments: Keyword arguments of the function, encoded as JSON.

    Raises:
        RuntimeError: The subprocess ended with an exit status other than 0.
    """
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "decklb.lab.fault_runs.isolation",
        function,
        msgspec.json.encode(arguments).decode(),
        cwd=REPOSITORY_ROOT,
        stdout=asyncio.subprocess.PIPE,
        limit=MAX_RESULT_BYTES,
    )
    assert child.stdout is not None
    try:
        while line := await child.stdout.readline():
            yield msgspec.json.decode(line, type=result_type)
        if exit_status := await child.wait():
            raise RuntimeError(f"{function} ended with exit status {exit_status}; arguments: {arguments}")
    finally:
        if child.returncode is None:
            child.terminate()
            await child.wait()


async def run_side_by_side(
    function: str,
    result_type: type[ResultT],
    runs: Iterable[dict[str, Any]],
    fleet_count: int,
    on_result: Callable[[ResultT], None],
    is_conclusive: Callable[[ResultT], bool],
) -> list[ResultT]:
    """Run a function once for each set of arguments, a few fleets at a time.

    A run whose result is not conclusive is repeated, up to MAX_ATTEMPTS in all.

    Args:
        function: See `run_in_subprocess`; it yields one result per run.
        result_type: Type of the results.
        runs: Keyword arguments of each run. `index`, the number of the fleet, is added to them.
        fleet_count: Fleets that run at the same time.
        on_result: Called with each result, also with inconclusive ones.
        is_conclusive: Returns False for a result that proves nothing because the machine delayed the fleet too much.

    Returns:
        The last result of each run, in the order in which the runs ended.
    """
    pending = iter(runs)
    results: list[ResultT] = []

    async def run_fleet(index: int) -> None:
        for arguments in pending:
            for _ in range(MAX_ATTEMPTS):
                async for result in run_in_subprocess(function, result_type, index=index, **arguments):
                    on_result(result)
                if is_conclusive(result):
                    break
            results.append(result)

    await asyncio.gather(*(run_fleet(index) for index in range(fleet_count)))
    return results


async def main(function: str, arguments: dict[str, Any]) -> None:
    """Call an async generator function in this process and print its results.

    Raises:
        ValueError: The function is not part of the laboratory.
    """
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    module, _, name = function.partition(":")
    if not module.startswith(LABORATORY_PREFIX):
        raise ValueError(f"module {module} is not part of {LABORATORY_PREFIX[:-1]}")
    async for result in getattr(importlib.import_module(module), name)(**arguments):
        sys.stdout.buffer.write(msgspec.json.encode(result) + b"\n")
        sys.stdout.buffer.flush()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], msgspec.json.decode(sys.argv[2])))
