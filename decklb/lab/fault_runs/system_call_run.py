"""Fault run on system calls: one system call of a serving process fails while clients send requests.

`play_cases` runs cases of `faults.system_call_cases` on several processes side by side and checks, for each case, that
the program serves its clients and recovers. It is called by the command `decklb lab calls`. All state is in the
`ProgramProcess` of each batch of cases.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field
from pathlib import Path

from decklb.lab.fault_runs.program_clients import ClientConnection, RequestOutcome
from decklb.lab.fault_runs.program_process import RECOVERY_TIMEOUT_S, ProgramProcess, running_program
from decklb.lab.faults.interposer import Rule
from decklb.lab.faults.system_call_cases import SPANS, TRANSIENT, Case

# Between requests on persistent connections; at every second one, a request is also sent on a new connection.
REQUEST_INTERVAL_S = 0.02
TRAFFIC_AFTER_FAULT_S = 0.1  # duration of the traffic under a fault that hits a single call
TRAFFIC_AFTER_DIRECTORY_FAULT_S = 0.5  # the same for the directory, which is queried only a few times a second
BUSY_LOOP_CPU_SHARE = 0.7  # of one core during a long fault; the traffic alone takes under a fifth
PERSISTENT_CONNECTIONS = 4
UNLIMITED_HITS = 1 << 40  # of a fault that lasts for a time span
ANY_PORT = 0  # of a rule that matches the sockets of all peers


@dataclass(slots=True)
class CaseResult:
    """The result of one case.

    Attributes:
        case: The case.
        hits: Number of system calls that the fault hit.
        outcomes: Number of requests sent under the fault, by outcome.
        violations: Descriptions of the rules that were broken; empty if there were none.
        log_excerpt: Lines of the program's log; empty if no rule was broken.
    """

    case: Case
    hits: int
    outcomes: Counter[RequestOutcome]
    violations: list[str]
    log_excerpt: list[str] = field(default_factory=list)


@dataclass(slots=True)
class FaultMeasurements:
    """Measurements taken while a fault lasted.

    Attributes:
        hits: Number of system calls that the fault hit.
        outcomes: Number of requests sent, by outcome.
        cpu_share: CPU time of the process as a fraction of one core.
        directory_queries: Number of queries that the directory had received when the fault ended.
    """

    hits: int
    outcomes: Counter[RequestOutcome]
    cpu_share: float
    directory_queries: int


class Traffic:
    """Requests at a constant rate, on persistent connections and on new ones.

    Owns the persistent connections and the tasks of the requests in flight.
    """

    def __init__(self, program: ProgramProcess) -> None:
        self._program = program
        self._idle: list[ClientConnection] = []
        self._requests: list[asyncio.Task[RequestOutcome]] = []

    async def connect(self) -> None:
        """Open the persistent connections; to be called before the fault."""
        self._idle = [await self._program.connect() for _ in range(PERSISTENT_CONNECTIONS)]

    async def send_for(self, seconds: float) -> None:
        """Send requests for this time without waiting for their responses."""
        end = time.monotonic() + seconds
        for number in itertools.count():
            if time.monotonic() >= end:
                return
            if self._idle:  # each carries one request at a time
                connection = self._idle.pop(0)
                self._requests.append(asyncio.create_task(self._request(connection)))
            if number % 2:
                self._requests.append(asyncio.create_task(self._program.request_on_new_connection()))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _request(self, connection: ClientConnection) -> RequestOutcome:
        """Send a request on a persistent connection, which is replaced by a new one if it is closed."""
        if connection.is_closed:
            try:
                connection = await self._program.connect()
            except (OSError, EOFError, TimeoutError):
                self._idle.append(connection)
                return RequestOutcome.NOT_CONNECTED
        outcome = await connection.request(self._program.new_request_name())
        self._idle.append(connection)
        return outcome

    async def finish(self) -> Counter[RequestOutcome]:
        """Wait for all requests, close the connections and return the number of requests by outcome."""
        outcomes = Counter(await asyncio.gather(*self._requests))
        for connection in self._idle:
            connection.close()
        return outcomes


async def play_case(program: ProgramProcess, case: Case) -> CaseResult:
    """Run one case on a serving program; if a rule was broken, the program is restarted afterwards.

    Raises:
        ProgramStartError: The program did not start again.
    """
    await program.wait_until_serving(RECOVERY_TIMEOUT_S)
    program.log_lines.clear()
    for engine in program.engines:
        engine.attempts.clear()
    measured = await _measure_under_fault(program, case)
    violations = _violations(program, case, measured)
    if not await program.wait_until_serving(RECOVERY_TIMEOUT_S):
        violations.append("no new client is served after the fault")
    if not await program.wait_for_directory_query(measured.directory_queries):
        violations.append("the directory is not queried after the fault")
    log_excerpt: list[str] = []
    if violations:
        log_excerpt = [line for line in program.log_lines if " INFO " not in line] + program.log_lines[-3:]
        await program.kill_program()
        await program.start_program()
    return CaseResult(case, measured.hits, measured.outcomes, violations, log_excerpt)


async def _measure_under_fault(program: ProgramProcess, case: Case) -> FaultMeasurements:
    traffic = Traffic(program)
    await traffic.connect()
    began, cpu_before = time.monotonic(), program.cpu_seconds()
    rules = _start_fault(program, case)
    for engine in program.engines:
        engine.drop_connections()  # so that the program opens new ones
    single_hit_duration_s = TRAFFIC_AFTER_DIRECTORY_FAULT_S if case.side == "directory" else TRAFFIC_AFTER_FAULT_S
    await traffic.send_for(SPANS[case.span] or single_hit_duration_s)
    cpu_share = (program.cpu_seconds() - cpu_before) / (time.monotonic() - began)
    program.interposer.clear()
    hits, queries = sum(rule.hits for rule in rules), program.directory.questions
    return FaultMeasurements(hits, await traffic.finish(), cpu_share, queries)


def _start_fault(program: ProgramProcess, case: Case) -> list[Rule]:
    """Make the system call of a case fail and return the interposer's rules, one for each peer's port."""
    ports = {
        "client": [program.port],
        "engine": [engine.port for engine in program.engines],
        # Only the directory's socket is read with recvfrom; it is not connected, so no rule can match a remote port.
        "directory": [ANY_PORT if case.call == "recvfrom" else program.directory.port],
        "any": [ANY_PORT],
    }[case.side]
    max_hits = 1 if case.span == "once" else UNLIMITED_HITS
    return [program.interposer.add_rule(case.call, case.errno, port, count=max_hits) for port in ports]


def _violations(program: ProgramProcess, case: Case, measured: FaultMeasurements) -> list[str]:
    """Describe the rules that were broken while the fault lasted."""
    assert program.process is not None
    violations: list[str] = []
    if program.process.returncode is not None:
        violations.append(f"the program ended with exit status {program.process.returncode}")
    violations += _client_violations(case, measured.outcomes)
    violations += program.overlapping_attempts()
    log = "".join(program.log_lines)
    if "Traceback" in log or "unexpected failure" in log or "Unhandled" in log:
        violations.append("the log contains an unexpected failure")
    if measured.hits and case.call != "write" and case.error not in TRANSIENT and not log:
        violations.append("the log does not mention the fault")
    if case.span == "long" and measured.cpu_share > BUSY_LOOP_CPU_SHARE:
        violations.append(f"busy loop: the process used {measured.cpu_share:.2f} of a core")
    # An attempt also ends as unreachable if the peer closes before anything is sent, which is no local failure.
    if "attempt ended: unreachable" in log and "no-connection" in log and not case.may_be_engine_fault:
        violations.append("a local failure is attributed to an engine")
    return violations


def _client_violations(case: Case, outcomes: Counter[RequestOutcome]) -> list[str]:
    violations = []
    if unanswered := outcomes[RequestOutcome.NO_RESPONSE]:
        violations.append(f"{unanswered} requests got no answer")
    ended = outcomes[RequestOutcome.CONNECTION_ENDED]
    if ended and not case.ends_client_connections:
        violations.append(f"{ended} requests whose connection ended without an answer")
    if not (outcomes[RequestOutcome.SERVED] or case.ends_client_connections):
        violations.append("nothing was served")
    return violations


async def play_cases(
    cases: Iterable[Case], processes_per_front: int, source_tree: Path | None = None
) -> AsyncIterator[CaseResult]:
    """Run cases on several processes at a time and yield each result as soon as it is known.

    Args:
        cases: Cases of both fronts.
        processes_per_front: Number of processes that run side by side.
        source_tree: See ProgramProcess.

    Raises:
        ProgramStartError: A program did not start, or did not restart after a case.
    """
    results: asyncio.Queue[CaseResult | None] = asyncio.Queue()  # None marks the end of a batch

    async def play_batch(batch: list[Case]) -> None:
        try:
            async with running_program(batch[0].front, source_tree) as program:
                for case in batch:
                    results.put_nowait(await play_case(program, case))
        finally:
            results.put_nowait(None)

    tasks = [asyncio.create_task(play_batch(batch)) for batch in _batches(list(cases), processes_per_front)]
    unfinished = len(tasks)
    while unfinished:
        result = await results.get()
        if result is None:
            unfinished -= 1
        else:
            yield result
    await asyncio.gather(*tasks)


def _batches(cases: list[Case], processes_per_front: int) -> list[list[Case]]:
    """Divide the cases of each front among its processes; no batch is empty."""
    batches = []
    for front in sorted({case.front for case in cases}):
        front_cases = [case for case in cases if case.front == front]
        batches += [batch for i in range(processes_per_front) if (batch := front_cases[i::processes_per_front])]
    return batches
