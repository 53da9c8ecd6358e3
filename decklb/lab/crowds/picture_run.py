"""Plays one picture: a manager between its peers, crowds, and usual clients beside them.

The manager, the crowds and the usual clients are processes of their own; the engines and the directory run here.
`play_picture` returns what was measured. Used by the command `decklb lab crowds` and by `soak_run`.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from decklb.lab.crowds.memory_sampler import MemorySampler
from decklb.lab.crowds.reports import AnswerKind, ClientReport, ClientTask, decode_report, encode_task
from decklb.lab.crowds.shapes import Picture
from decklb.lab.fault_runs.program_process import SOURCE_TREE, ProgramProcess
from decklb.lab.standins.recording_peers import PgEngine, RecordedAttempt, RespEngine

USUAL_CLIENTS = 4
CLIENT_EXIT_TIMEOUT_S = 20.0  # after a client process' time, in which it has to report
WARM_UP_S = 1.0  # for which usual clients run before the crowd
MAX_ELEMENT_BYTES = 1 << 20  # of a statement at the stand-in engines
LEAVE_LIMIT_S = 0.1  # after a client has left, in which an attempt may still begin
DEFAULT_MEMORY_MB = 192.0
DEFAULT_DESCRIPTORS = 1024
ENGINE_COUNT = 4


@dataclass(slots=True)
class PictureResult:
    """What was measured in one picture.

    Attributes:
        picture: Its name.
        ready_mb: Resident memory of the manager before any client, in MB.
        peak_mb: Peak of it, in MB.
        after_mb: The same when the clients had left.
        exit_status: Exit status of the manager if it ended by itself, else None.
        usual: Report of the usual clients.
        crowd: Report of the crowds.
        late_attempts: Attempts that began over LEAVE_LIMIT_S after their client had left, in ms after it.
        overlaps: Attempts of one request that ran at the same time.
        own_delay_ms: Longest delay of the run's own processes in ms.
    """

    picture: str
    ready_mb: float
    peak_mb: float
    after_mb: float
    exit_status: int | None
    usual: ClientReport
    crowd: ClientReport
    late_attempts: list[float]
    overlaps: list[str]
    own_delay_ms: float


class LimitedProgram(ProgramProcess):
    """A manager with given limits, whose engines take large statements."""

    def __init__(
        self, front: str, folder: Path, source_tree: Path | None, memory_mb: float, descriptors: int, work_s: float
    ) -> None:
        super().__init__(front, folder, source_tree)
        self.limits = {"memory_mb": memory_mb, "sockets": descriptors}
        self.engines = [
            RespEngine(work_s=work_s, max_element_bytes=MAX_ELEMENT_BYTES)
            if front == "platform"
            else PgEngine(work_s=work_s)
            for _ in range(ENGINE_COUNT)
        ]

    def configuration(self) -> dict[str, Any]:
        """Return the configuration with these limits."""
        return super().configuration() | {"limits": self.limits}


async def run_clients(task: ClientTask) -> ClientReport:
    """Run a client process to its end and return its report."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "decklb.lab.crowds.client_process",
        encode_task(task),
        cwd=SOURCE_TREE,
        stdout=asyncio.subprocess.PIPE,
        limit=1 << 24,
    )
    try:
        output, _ = await asyncio.wait_for(process.communicate(), task.seconds + CLIENT_EXIT_TIMEOUT_S)
    finally:
        if process.returncode is None:
            process.kill()
    return decode_report(output.decode())


async def play_picture(
    picture: Picture,
    seconds: float,
    seed: int,
    source_tree: Path | None = None,
    memory_mb: float = DEFAULT_MEMORY_MB,
    work_s: float = 0.005,
) -> PictureResult:
    """Play one picture for some seconds and return what was measured."""
    with tempfile.TemporaryDirectory() as folder:
        program = LimitedProgram(picture.front, Path(folder), source_tree, memory_mb, DEFAULT_DESCRIPTORS, work_s)
        try:
            await program.start()
            return await _measure(program, picture, seconds, seed)
        finally:
            await program.stop()


async def _measure(program: LimitedProgram, picture: Picture, seconds: float, seed: int) -> PictureResult:
    assert program.process is not None
    sampler = MemorySampler(program.process.pid)
    usual_task = ClientTask(
        "127.0.0.1", program.port, picture.front, seconds + WARM_UP_S, seed, usual_clients=USUAL_CLIENTS
    )
    usual_running = asyncio.create_task(run_clients(usual_task))
    await asyncio.sleep(WARM_UP_S)
    crowd = ClientReport()
    if picture.crowds:
        crowd = await run_clients(ClientTask("127.0.0.1", program.port, picture.front, seconds, seed, picture.crowds))
    usual = await usual_running
    await asyncio.sleep(LEAVE_LIMIT_S)
    after_mb = sampler.last_mb
    peak_mb = sampler.stop()
    attempts = [attempt for engine in program.engines for attempt in engine.attempts]
    return PictureResult(
        picture.name,
        sampler.first_mb,
        peak_mb,
        after_mb,
        program.process.returncode,
        usual,
        crowd,
        late_attempts(attempts, crowd.left_at),
        program.overlapping_attempts(),
        max(sampler.own_delay_ms, usual.own_delay_ms),
    )


def late_attempts(attempts: list[RecordedAttempt], left_at: dict[str, float]) -> list[float]:
    """Return, for each attempt that began too long after its client had left, the time between in ms."""
    delays = [attempt.began - left_at[attempt.name[:8]] for attempt in attempts if attempt.name[:8] in left_at]
    return [1000 * delay for delay in delays if delay > LEAVE_LIMIT_S]


def table_row(result: PictureResult) -> str:
    """Return the result as a row of a Markdown table."""
    answers = result.usual.answers
    others = ", ".join(f"{answers[kind]} {kind}" for kind in AnswerKind if kind != AnswerKind.SERVED and answers[kind])
    crowd = ", ".join(f"{count} {kind}" for kind, count in result.crowd.answers.items() if count)
    times = result.usual
    return (
        f"| {result.picture} | {result.ready_mb:.0f} | {result.peak_mb:.0f} | {result.after_mb:.0f} "
        f"| {answers[AnswerKind.SERVED]} served{', ' + others if others else ''} "
        f"| {times.percentile_ms(0.5):.0f} / {times.percentile_ms(0.99):.0f} / {max(times.times_ms, default=0):.0f} "
        f"| {crowd or '-'} | {len(result.late_attempts)} "
        f"| {len(result.overlaps)} | {'exit ' + str(result.exit_status) if result.exit_status is not None else '-'} "
        f"| {result.own_delay_ms:.0f} |"
    )


TABLE_HEADER = (
    "| picture | ready MB | peak MB | after MB | usual clients | their p50 / p99 / max ms | answers to the crowd "
    "| attempts over 100 ms after a leave | overlaps | exit | own delay ms |\n|" + " --- |" * 11
)
