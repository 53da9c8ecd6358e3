"""Fault runs of the handoff between real processes.

A fleet of managers takes over requests from one another while its clients retry and a schedule drawn from a seed
injects faults between managers, engines and clients. Everything runs on loopback, with bounded time and request count;
see docs/faults.md.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from decklb.lab.checks.execution_verdict import ClientRecord, Verdict, judge
from decklb.lab.fault_runs.handoff_fleet import LOAD_CLASS, Fleet, Setup
from decklb.lab.fault_runs.isolation import MAX_ATTEMPTS, run_in_subprocess
from decklb.lab.fault_runs.retrying_client import RetryingClient
from decklb.lab.faults.fault_schedule import FleetFault, draw_schedule
from decklb.lab.faults.network_proxy import MAX_LATE_MS

COUNTED_LOG_TEXTS = (
    "handoff-taken-over",
    "handoff-fenced",
    "handoff-lease-ended",
    "backstop",
    "policy-failed",
    "Traceback",
)


async def run_schedule(fleet: Fleet, seed: int, repetition: int = 0) -> tuple[Verdict, list[FleetFault]]:
    """Run the load and the fault schedule of a seed on a started fleet, and judge the result.

    All faults are undone before the end of the run.

    Args:
        fleet: Started, with members that may vote.
        seed: Of the load and of the fault schedule.
        repetition: Number of the run among those of this seed on this fleet; part of the requests' keys, which must
            differ from those of earlier runs.
    """
    setup, rng = fleet.setup, random.Random(seed)
    faults = draw_schedule(seed, fleet.names, setup.span, setup.faults, setup.kinds)
    start_s, fleet.rig.late_ms = time.monotonic(), 0.0

    async def inject_faults() -> None:
        for fault in faults:
            await asyncio.sleep(max(0.0, start_s + fault.at_ms / 1000 - time.monotonic()))
            await fleet.inject(fault)

    injection = asyncio.ensure_future(inject_faults())
    clients: list[asyncio.Task[ClientRecord]] = []
    due_s = start_s
    while (due_s := due_s + rng.expovariate(setup.rate)) < start_s + setup.span / 1000:
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        clients.append(asyncio.ensure_future(RetryingClient(fleet, rng, f"s{seed}.{repetition}.{len(clients)}").run()))
    await injection
    records = await asyncio.gather(*clients)
    await asyncio.sleep(max(setup.work) / 1000 + 0.1)
    keys = {record.key for record in records}
    verdict = judge(records, [event for event in fleet.execution_events() if event.key in keys], LOAD_CLASS)
    # Only the lateness of the proxy counts: faults stop managers on purpose.
    verdict.late_ms = round(fleet.rig.late_ms, 1)
    return verdict, faults


@dataclass(slots=True)
class FleetRun:
    """One run of a campaign. The field names are keys of the JSON lines that a subprocess prints."""

    seed: int
    verdict: Verdict
    faults: list[FleetFault]
    logged: dict[str, int]  # by text of COUNTED_LOG_TEXTS: log lines of the fleet since its start
    again: bool = False  # the run is repeated because the machine delayed the proxy


async def campaign(
    setup: Setup,
    seeds: list[int],
    fleet_count: int,
    on_run: Callable[[int, Verdict, list[FleetFault]], None],
    log_folder: str = "",
) -> tuple[list[Verdict], dict[str, int]]:
    """Run all seeds, divided among fleets that run side by side.

    Each fleet has its own subprocess and stays up from run to run.

    Args:
        setup: Of each fleet.
        seeds: One run each.
        fleet_count: Fleets that run at the same time.
        on_run: Called with the seed, verdict and faults of each run, also of those that are repeated.
        log_folder: Folder for the logs of runs that were not clean; "" for none.

    Returns:
        The verdicts, and the number of log lines with each text of COUNTED_LOG_TEXTS.
    """
    verdicts: list[Verdict] = []
    log_counts = dict.fromkeys(COUNTED_LOG_TEXTS, 0)

    async def run_fleet(index: int) -> None:
        fleet_log_counts: dict[str, int] = {}
        async for run in run_in_subprocess(
            f"{__name__}:isolated_runs",
            FleetRun,
            setup=setup,
            seeds=seeds[index::fleet_count],
            index=index,
            logs=log_folder,
        ):
            on_run(run.seed, run.verdict, run.faults)
            fleet_log_counts = run.logged
            if not run.again:
                verdicts.append(run.verdict)
        for text, count in fleet_log_counts.items():
            log_counts[text] += count

    await asyncio.gather(*(run_fleet(i) for i in range(min(fleet_count, len(seeds)))))
    return verdicts, log_counts


async def isolated_runs(setup: dict[str, Any], seeds: list[int], index: int, logs: str) -> AsyncIterator[FleetRun]:
    """Run the seeds of one fleet; called in a subprocess by `run_in_subprocess`."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(msgspec.convert(setup, Setup), seeds[0] * 1000 + index, folder, index)
        try:
            await fleet.start()
            for seed in seeds:
                for repetition in range(MAX_ATTEMPTS):
                    await fleet.wait_until_members_vote()
                    verdict, faults = await run_schedule(fleet, seed, repetition)
                    if logs and not verdict.clean:
                        await asyncio.to_thread(fleet.save_logs, Path(logs) / str(seed))
                    repeated = repetition < MAX_ATTEMPTS - 1 and not verdict.clean and verdict.late_ms > MAX_LATE_MS
                    yield FleetRun(
                        seed,
                        verdict,
                        faults,
                        {text: fleet.count_log_lines(text) for text in COUNTED_LOG_TEXTS},
                        repeated,
                    )
                    if not repeated:
                        break
        finally:
            await fleet.stop()


def describe_faults(faults: list[FleetFault]) -> list[dict[str, Any]]:
    """Return faults as rows of a JSON report."""
    return [{"at_ms": round(f.at_ms), "kind": f.kind.value, "target": f.target, "other": f.other} for f in faults]
