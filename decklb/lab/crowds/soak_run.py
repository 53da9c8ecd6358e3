"""Plays the runs of a soak: managers under crowds and series of signals, usual clients that keep their connections.

`play_soak` plays one seed and returns what was observed; `soak_verdict` judges it. The command is `decklb lab soak`.
"""

from __future__ import annotations

import asyncio
import signal
import tempfile
import time
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from decklb.lab.crowds.memory_sampler import MemorySampler
from decklb.lab.crowds.picture_run import (
    DEFAULT_DESCRIPTORS,
    DEFAULT_MEMORY_MB,
    USUAL_CLIENTS,
    LimitedProgram,
    late_attempts,
    run_clients,
)
from decklb.lab.crowds.reports import ClientReport, ClientTask
from decklb.lab.crowds.soak_plan import SoakPlan, Step, TimedStep, draw_plan
from decklb.lab.crowds.soak_verdict import ERROR_EVENTS, ManagerRecord, SoakRecord
from decklb.lab.fault_runs.program_process import SETTINGS, ProgramStartError
from decklb.lab.faults.free_ports import free
from decklb.lab.standins.recording_peers import RecordedAttempt, RecordingEngine, StandinDirectory

WORK_S = 0.005
NAMES_PER_MANAGER = 1 << 24  # numbers of clients
MAX_LOG_ERRORS = 3


class SoakManager(LimitedProgram):
    """A manager at a fixed address, between peers that the run owns; each of its processes is watched."""

    def __init__(
        self,
        plan: SoakPlan,
        number: int,
        folder: Path,
        source_tree: Path | None,
        port: int,
        engines: list[RecordingEngine],
        directory: StandinDirectory,
    ) -> None:
        super().__init__(plan.front, folder, source_tree, DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS, WORK_S)
        self.engines, self.directory, self.fixed_port = engines, directory, port
        self.number = number
        self._deadline_ms = plan.deadline_ms
        self.record = ManagerRecord(DEFAULT_MEMORY_MB)
        self._sampler: MemorySampler | None = None
        self._told_to_end = False

    def configuration(self) -> dict[str, Any]:
        """Return the configuration with the address and the deadline of the run."""
        categories = [category | {"deadline": self._deadline_ms} for category in SETTINGS["categories"]]
        settings = SETTINGS | {"categories": categories}
        return super().configuration() | {"listen": f"127.0.0.1:{self.fixed_port}", "settings": settings}

    async def start_watched(self) -> None:
        """Start a process and watch its memory."""
        self._told_to_end = False
        try:
            await self.start_program()
        except ProgramStartError:
            self.record.failed_starts += 1
            return
        assert self.process is not None
        self._sampler = MemorySampler(self.process.pid)

    async def end_watched(self) -> None:
        """Kill the process, if it has not ended, and keep what was observed of it."""
        if self.process is None:
            return
        if self.process.returncode is not None and not self._told_to_end:
            self.record.unexpected_exits.append(self.process.returncode)
        self.record.killed_at.append(time.monotonic())
        if self._sampler is not None:
            self.record.peaks_mb.append(self._sampler.stop())
            self._sampler = None
        await self.kill_program()
        errors = [line.strip() for line in self.log_lines if any(event in line for event in ERROR_EVENTS)]
        self.record.log_errors += errors[:MAX_LOG_ERRORS]
        self.process = None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is None or self.process.returncode is not None:
            return
        if number is signal.SIGTERM and not self._told_to_end:
            self._told_to_end = True
            self.record.terminated_at.append(time.monotonic())
        self.process.send_signal(number)


async def play_soak(seed: int, seconds: float, managers: int, source_tree: Path | None = None) -> SoakRecord:
    """Play the run of a seed and return what was observed."""
    plan = draw_plan(seed, seconds, managers)
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        peers = LimitedProgram(plan.front, folder, source_tree, DEFAULT_MEMORY_MB, DEFAULT_DESCRIPTORS, WORK_S)
        for engine in peers.engines:
            await engine.start()
            stack.push_async_callback(engine.stop)
        directory = StandinDirectory({f"s-{i}": engine.port for i, engine in enumerate(peers.engines)})
        await directory.start()
        stack.callback(directory.stop)
        fleet = []
        for number, port in enumerate(free(managers)):
            (folder / str(number)).mkdir()
            manager = SoakManager(plan, number, folder / str(number), source_tree, port, peers.engines, directory)
            stack.push_async_callback(manager.end_watched)
            await manager.start_watched()
            fleet.append(manager)
        clients = [asyncio.create_task(_run_clients(plan, manager, seconds)) for manager in fleet]
        await _play_steps(plan, fleet, directory)
        await asyncio.gather(*clients)
        for manager in fleet:
            await manager.end_watched()
        return _record(fleet, peers.engines)


async def _run_clients(plan: SoakPlan, manager: SoakManager, seconds: float) -> None:
    def task(crowds: bool) -> ClientTask:
        return ClientTask(
            "127.0.0.1",
            manager.fixed_port,
            plan.front,
            seconds,
            plan.seed,
            plan.crowds if crowds else (),
            0 if crowds else USUAL_CLIENTS,
            int(plan.deadline_ms),
            NAMES_PER_MANAGER * manager.number,
        )

    usual = asyncio.create_task(run_clients(task(crowds=False)))
    manager.record.crowd = await run_clients(task(crowds=True)) if plan.crowds else ClientReport()
    manager.record.usual = await usual


async def _play_steps(plan: SoakPlan, fleet: list[SoakManager], directory: StandinDirectory) -> None:
    began = time.monotonic()
    for timed in plan.steps:
        await asyncio.sleep(max(0.0, began + timed.at_s - time.monotonic()))
        await _play_step(timed, fleet[timed.manager], directory)


async def _play_step(timed: TimedStep, manager: SoakManager, directory: StandinDirectory) -> None:
    engine = manager.engines[0]
    match timed.step:
        case Step.KILL:
            await manager.end_watched()
        case Step.START:
            await manager.start_watched()
        case Step.TERMINATE:
            manager.send(signal.SIGTERM)
        case Step.RELOAD:
            manager.send(signal.SIGHUP)
        case Step.DROP_CONNECTIONS:
            engine.drop_connections()
        case Step.REPLACE_ENGINE:
            await engine.stop()
            await engine.start()
            old = next(name for name, port in directory.engine_ports.items() if port == engine.port)
            directory.replace(old, f"{old}-next")


def _record(fleet: list[SoakManager], engines: list[RecordingEngine]) -> SoakRecord:
    attempts: list[RecordedAttempt] = [attempt for engine in engines for attempt in engine.attempts]
    left_at = {name: at for manager in fleet for name, at in manager.record.crowd.left_at.items()}
    reports = [report for manager in fleet for report in (manager.record.usual, manager.record.crowd)]
    return SoakRecord(
        [manager.record for manager in fleet],
        late_attempts(attempts, left_at),
        fleet[0].overlapping_attempts(),
        max(report.own_delay_ms for report in reports),
    )
