"""Fault runs of the handoff between real processes.

A fleet of managers takes over requests from one another while its clients retry and a schedule drawn from a seed
injects faults between managers, engines and clients. Everything runs on loopback, with bounded time and request count;
see docs/faults.md.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import re
import signal
import struct
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import ujson

from decklb.cluster import keyfile
from decklb.lab.checks.execution_verdict import ClientRecord, ExecutionEvent, FinalAnswer, Verdict, judge
from decklb.lab.fault_runs.isolation import MAX_ATTEMPTS, run_in_subprocess
from decklb.lab.faults import free_ports
from decklb.lab.faults.fault_schedule import CUT, LOSSY, FleetFault, FleetFaultKind, draw_schedule
from decklb.lab.faults.network_proxy import MAX_LATE_MS, Address, NetworkProxy
from decklb.management.control_client import ControlError, query
from decklb.pg import messages as pg

READ_CLASS, LOAD_CLASS = "read", "load"  # classes of idempotent and of at-most-once requests
START_TIMEOUT_S = 20.0  # for a process to start
MAX_PORT_DRAWS = 3  # sets of ports tried for an engine: another fleet that starts may have drawn one of the ports
RETRYABLE_SQLSTATES = ("53000", "53300", "57P01", "57P03", "08006")  # SQLSTATEs after which a client retries
ANSWER_GRACE_S = 0.5  # after the deadline, in which an answer still counts
DEFAULT_WORK_MS = (5, 20, 80, 300)  # execution times of statements
DEFAULT_KINDS = (
    FleetFaultKind.KILL,
    FleetFaultKind.STOP,
    FleetFaultKind.PARTITION,
    FleetFaultKind.CUT,
    FleetFaultKind.LOSSY,
    FleetFaultKind.AHEAD,
    FleetFaultKind.BEHIND,
)
SIGNAL_BY_KIND = {
    FleetFaultKind.STOP: signal.SIGSTOP,
    FleetFaultKind.CONT: signal.SIGCONT,
    FleetFaultKind.AHEAD: signal.SIGUSR1,
    FleetFaultKind.BEHIND: signal.SIGUSR2,
    FleetFaultKind.CLOCK: signal.SIGWINCH,
}

SETTINGS = """<decklb version="1">
  <process name="{name}" listen="127.0.0.1:0" sockets="512"/>
  <classes>
    <class name="read" aim="1s" stretch="2" deadline="{deadline}ms" semantics="idempotent"/>
    <class name="load" aim="1s" stretch="2" deadline="{deadline}ms" semantics="at_most_once"/>
  </classes>
  <tenants><tenant name="cusco" share="100%"/></tenants>
  <kinds><kind name="k" cores="64"/></kinds>
  <rules tick="2ms" max-attempts="4" cancelling="true" retry-after="200ms" cold="10ms" cold-share="100%"
         drain-grace="1s" extra-floor="50" extra-share="50%" extra-window="5s" fall="1s" overload-factor="3"
         settle-after-doubt="50ms"/>
  <engines list="1">{engines}</engines>
  <postgres user="decklb" connections="64"/>
  <cluster name="outage" bind="{bind}" advertise="{advertise}" keys="{keys}" interval="100ms" timeout="45ms"
           gossip="20ms" exchange="500ms" settle="300ms">{seeds}</cluster>
  <handoff members="{members}"{data} copies="3" lease="{lease}ms" beat="100ms" patience="300ms" resend="60ms"
           stagger="250ms" longest="{deadline}ms" linger="{retention}ms" slack="500ms"/>
  <control socket="{socket}"/>
</decklb>
"""


@dataclass(frozen=True, slots=True)
class Setup:
    """Size of a fleet, its load and its timeouts. Times are milliseconds.

    The field names are keys of the JSON object by which a subprocess receives it.
    """

    managers: int = 3
    engines: int = 3
    rate: float = 25.0  # requests per second
    span: float = 5000.0  # period in which requests are sent and faults injected
    faults: int = 1
    longest: float = 4000.0  # deadline of a request
    linger: float = 1500.0  # period for which managers keep a final answer after its deadline
    lease: float = 600.0  # duration of a holder's lease
    kinds: tuple[FleetFaultKind, ...] = DEFAULT_KINDS
    data: bool = False  # whether managers keep their records on disk
    work: tuple[int, ...] = DEFAULT_WORK_MS  # execution times; each statement draws one

    @property
    def record_lifetime_ms(self) -> float:
        """Longest time that a record exists: its deadline, retention and slack, and 1% for clocks that differ.

        A member that restarted without records on disk does not vote on records older than its start.
        """
        return (self.longest + self.linger + 500.0) * 1.01


class Process:
    """A process of the program or of a stand-in, with the log lines that it has written."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.log_lines: list[str] = []
        self.log_times_s: list[float] = []  # when each line was read, on the machine's monotonic clock
        self.child: asyncio.subprocess.Process
        self._log_reader: asyncio.Task[None] | None = None

    async def start(self, *arguments: str) -> None:
        """Start the process with these arguments after the interpreter's -m."""
        env = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "DECKLB_"))}
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *arguments,
            env=env,
            cwd=Path(__file__).parents[3],
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._log_reader = asyncio.ensure_future(self._read_log())

    async def _read_log(self) -> None:
        assert self.child.stdout is not None
        while line := await self.child.stdout.readline():
            self.log_lines.append(line.decode("utf-8", "replace"))
            self.log_times_s.append(time.monotonic())

    async def wait_for_log_line(self, pattern: str) -> re.Match[str]:
        """Return the match of the first log line that matches.

        Raises:
            RuntimeError: The process ended, or wrote no such line within START_TIMEOUT_S.
        """
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            for line in self.log_lines:
                if m := re.search(pattern, line):
                    return m
            if self.child.returncode is not None:
                break
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} did not start: {''.join(self.log_lines[-20:])}")

    def exit_status(self) -> int | None:
        """Return the exit status; None while the process runs and before its start."""
        return self.child.returncode if hasattr(self, "child") else None

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has ended."""
        if self.child.returncode is None:
            self.child.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        await self.child.wait()


class Fleet:
    """Managers, engines and the network proxy between them, with their files in one folder."""

    def __init__(self, setup: Setup, seed: int, folder: str, index: int = 0) -> None:
        self.setup, self.folder, self.seed = setup, Path(folder), seed
        self.names = [f"m{i}" for i in range(setup.managers)]
        self.host_by_manager = {n: f"127.0.{10 + index}.{i + 1}" for i, n in enumerate(self.names)}
        self.managers: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.records_since_s: dict[str, float] = {}  # by manager: monotonic time since which its records are complete
        self.engines: list[Process] = []
        self.binds: dict[str, Address] = {}
        self.rig: NetworkProxy
        self.ended_log_lines: list[str] = []  # log lines of manager processes that were replaced by new ones

    async def start(self) -> None:
        """Start the engines, then the network proxy, then the managers."""
        targets: dict[str, dict[str, Address]] = {}
        for i in range(self.setup.engines):
            engine = Process(f"e{i}")
            self.engines.append(engine)
            targets[engine.name] = {
                n: ("127.0.0.1", p) for n, p in zip(self.names, await self.start_engine(engine), strict=True)
            }
        self.binds = {n: (self.host_by_manager[n], free_ports.free(1, self.host_by_manager[n])[0]) for n in self.names}
        self.rig = NetworkProxy(self.binds, self.seed, targets)
        await self.rig.open()
        keyfile.write(str(self.folder / "keys.json"), [keyfile.generate()])
        await asyncio.gather(*(self.start_manager(n) for n in self.names))

    async def start_engine(self, engine: Process, ports: list[int] | None = None) -> list[int]:
        """Start an engine and return its ports, one for each manager.

        Args:
            engine: To start.
            ports: Those of an engine that is restarted; None draws new ones.
        """
        log = self.folder / f"{engine.name}.log"
        log.touch()
        draws = MAX_PORT_DRAWS if ports is None else 1
        while True:
            engine.log_lines.clear()
            engine.log_times_s.clear()
            await engine.start(
                "decklb.lab.standins.observer_engine",
                engine.name,
                str(log),
                ujson.dumps(ports or free_ports.free(self.setup.managers)),
            )
            try:
                engine_ports: list[int] = ujson.loads((await engine.wait_for_log_line(r"^(\[.*\])"))[1])
                return engine_ports
            except RuntimeError:
                draws -= 1
                if not draws:
                    raise

    def manager_module(self, name: str) -> tuple[str, ...]:
        """Return the module that runs as a manager, followed by its first arguments."""
        return ("decklb.lab.faults.clock_jump",)

    def settings_xml(self, name: str) -> str:
        """Return the settings document of a manager."""
        setup = self.setup
        engines = "".join(
            '<engine id="{}" address="{}:{}" zone="z" kind="k" weight="8"/>'.format(
                e.name, *self.rig.engine_addresses[name, e.name]
            )
            for e in self.engines
        )
        return SETTINGS.format(
            name=name,
            bind="{}:{}".format(*self.binds[name]),
            advertise="{}:{}".format(*self.rig.advertised[name]),
            keys="keys.json",
            engines=engines,
            seeds="".join("<seed>{}:{}</seed>".format(*a) for a in self.rig.advertised.values()),
            members=setup.managers,
            lease=f"{setup.lease:g}",
            deadline=f"{setup.longest:g}",
            retention=f"{setup.linger:g}",
            socket=f"{name}.sock",
            data=f' data="{name}.data"' if setup.data else "",
        )

    async def start_manager(self, name: str) -> None:
        """Start or restart a manager and wait until it listens."""
        path = self.folder / f"{name}.xml"
        path.write_text(self.settings_xml(name))
        if name in self.managers:
            self.ended_log_lines += self.managers[name].log_lines
        process = self.managers[name] = Process(name)
        await process.start(*self.manager_module(name), "serve", "--settings", str(path), "--log-level", "DEBUG")
        self.ports[name] = int((await process.wait_for_log_line(r"listens on [\d.]+:(\d+)"))[1])
        if not (self.setup.data and name in self.records_since_s):
            self.records_since_s[name] = time.monotonic()

    async def wait_until_members_vote(self) -> None:
        """Wait until every manager may vote: it has to run for longer than the lifetime of a record.

        A manager that keeps its records on disk may vote right after a restart.
        """
        await asyncio.sleep(
            max(0.0, max(self.records_since_s.values()) + self.setup.record_lifetime_ms / 1000 + 0.3 - time.monotonic())
        )

    async def inject(self, fault: FleetFault) -> None:
        """Inject a fault, or undo one."""
        rig, manager = self.rig, self.managers[fault.target]
        match fault.kind:
            case FleetFaultKind.KILL:
                await manager.kill()
            case FleetFaultKind.RESTART:
                await self.start_manager(fault.target)
            case FleetFaultKind.PARTITION:
                rig.partition(fault.target)
            case FleetFaultKind.ENGINES:
                for engine in self.engines:
                    rig.set_link(fault.target, engine.name, CUT)
                    rig.set_link(engine.name, fault.target, CUT)
            case FleetFaultKind.CUT:
                rig.set_link(fault.target, fault.other, CUT)
            case FleetFaultKind.LOSSY:
                for sender, receiver in ((fault.target, fault.other), (fault.other, fault.target)):
                    rig.set_link(sender, receiver, LOSSY)
            case FleetFaultKind.HEAL:
                rig.heal()
            case kind:
                manager.signal(SIGNAL_BY_KIND[kind])

    def execution_events(self) -> list[ExecutionEvent]:
        """Return all events that the engines have logged so far."""
        return [
            ExecutionEvent(**ujson.loads(line), engine=e.name)
            for e in self.engines
            for line in (self.folder / f"{e.name}.log").read_text().splitlines()
        ]

    def count_log_lines(self, text: str) -> int:
        """Count the log lines of all managers that contain a text, those of ended processes included."""
        lines = itertools.chain(self.ended_log_lines, *(p.log_lines for p in self.managers.values()))
        return sum(text in line for line in lines)

    def max_lateness_ms(self, since_s: float) -> float:
        """Return by how many ms the network proxy or a manager was late at worst since a time on the monotonic clock.

        The proxy measures its own lateness, managers log theirs. For runs that stop no process on purpose.
        """
        max_ms = self.rig.late_ms
        for process in self.managers.values():
            for line, at_s in zip(process.log_lines, process.log_times_s, strict=False):
                if at_s >= since_s and (m := re.search(r"process-stalled stall_ms=(\d+)", line)):
                    max_ms = max(max_ms, float(m[1]))
        return round(max_ms, 1)

    def save_logs(self, folder: Path) -> None:
        """Write the logs of all managers and engines to a folder, and the handoff state of each manager."""
        folder.mkdir(parents=True, exist_ok=True)
        for name, process in self.managers.items():
            try:
                state = ujson.dumps(query(str(self.folder / f"{name}.sock"), "handoff"), indent=1)
            except ControlError as error:
                state = str(error)
            (folder / f"{name}.log").write_text("".join([*process.log_lines, state, "\n"]))
        (folder / "ended.log").write_text("".join(sorted(self.ended_log_lines)))
        for engine in self.engines:
            (folder / f"{engine.name}.log").write_text((self.folder / f"{engine.name}.log").read_text())

    async def stop(self) -> None:
        """Kill all processes of the fleet and close the network proxy."""
        for process in [*self.managers.values(), *self.engines]:
            process.signal(signal.SIGCONT)
            await process.kill()
        if hasattr(self, "rig"):
            self.rig.close()


class RetryingClient:
    """A client that sends one request with its idempotency key to random managers until it has a final answer."""

    def __init__(self, fleet: Fleet, rng: random.Random, key: str) -> None:
        self.fleet, self.rng = fleet, rng
        now, setup = time.monotonic(), fleet.setup
        self.record = ClientRecord(
            key, rng.choice((READ_CLASS, LOAD_CLASS)), now, now + setup.longest / 1000 + ANSWER_GRACE_S
        )
        self.sql = f"select 1 -- run={key} work={rng.choice(setup.work)}"
        self.attempt_timeout_s = rng.choice((0.3, 1.0, 5.0))  # on one connection

    async def run(self) -> ClientRecord:
        """Send the request until it has its final answer, and in 30% of cases again: the answer must be the same."""
        record = self.record
        await self._retry_until(lambda: bool(record.final_answers), record.due_s)
        if record.final_answers and self.rng.random() < 0.3:
            answer_count = len(record.final_answers)
            await self._retry_until(
                lambda: len(record.final_answers) > answer_count, min(time.monotonic() + 0.8, record.due_s)
            )
        return record

    async def _retry_until(self, done: Callable[[], bool], end_s: float) -> None:
        while not done() and (left_s := end_s - time.monotonic()) > 0:
            name, start_s = self.rng.choice(self.fleet.names), time.monotonic()
            self.record.last = "answered"
            try:
                await asyncio.wait_for(self._attempt(self.fleet.ports[name]), min(left_s, self.attempt_timeout_s))
            except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
                self.record.unanswered_tries += 1
                self.record.last = type(error).__name__
            self.record.path.append(
                f"{name} at {start_s - self.record.sent_s:.2f} for {time.monotonic() - start_s:.2f}: {self.record.last}"
            )
            if not done():
                await asyncio.sleep(self.rng.uniform(0.05, 0.15))

    async def _attempt(self, port: int) -> None:
        record = self.record
        record.tries += 1
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            budget_ms = max(1, round((record.due_s - ANSWER_GRACE_S - time.monotonic()) * 1000))
            writer.write(
                pg.pack_startup(
                    {
                        "user": "u",
                        "decklb.class": record.class_name,
                        "decklb.budget": str(budget_ms),
                        "decklb.request": record.key,
                    }
                )
                + pg.pack(b"Q", self.sql.encode() + b"\0")
            )
            row, sqlstate, session_ready = "", "", False
            while True:
                message_type = await reader.readexactly(1)
                (size,) = struct.unpack(">I", await reader.readexactly(4))
                body = await reader.readexactly(size - 4)
                if message_type == b"E":
                    sqlstate = pg.read_error(body)["C"]
                elif message_type == b"D":
                    row = body[6:].decode()
                elif message_type == b"Z":
                    if session_ready:
                        break
                    session_ready = True
        finally:
            writer.close()
        if sqlstate in RETRYABLE_SQLSTATES:
            record.last = sqlstate
        else:
            # The SQLSTATE is left out of the comparison: the same failure may be reported as an exceeded deadline or as
            # an uncertain outcome.
            outcome, content = ("failed", "") if sqlstate else ("served", row)
            record.final_answers.append(FinalAnswer(outcome, content, time.monotonic()))


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


COUNTED_LOG_TEXTS = (
    "handoff-taken-over",
    "handoff-fenced",
    "handoff-lease-ended",
    "backstop",
    "policy-failed",
    "Traceback",
)


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


def resident_kib(process: Process) -> int:
    """Return the resident memory of a process in KiB."""
    status = Path(f"/proc/{process.child.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0])


async def measure_key_cost(setup: Setup, requests: int, session_count: int, seed: int) -> dict[str, dict[str, float]]:
    """Measure what an idempotency key adds to the latency of a statement and to the memory of the managers.

    The sessions send statements without and with a key in turns, on a fleet without faults. Latency is the time in ms
    from sending a statement to its complete answer; the engines' share of it is negligible. Memory is what the managers
    hold at the end, and what is left once all records have expired.

    Args:
        setup: Of the fleet.
        requests: Statements of each kind.
        session_count: Sessions side by side.
        seed: Of the choice of managers.
    """
    rng = random.Random(seed)
    latencies_ms: dict[str, list[float]] = {"without": [], "with": []}

    async def run_session(fleet: Fleet, number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.ports[rng.choice(fleet.names)])
        writer.write(pg.pack_startup({"user": "u", "decklb.class": LOAD_CLASS}))
        await _read_answers(reader, 1)
        for i in range(requests // session_count):
            for kind, set_key in (
                ("without", "set decklb.key = ''"),
                ("with", f"set decklb.request = 'c{number}.{i}'"),
            ):
                sql = f"select 1 -- run=c{number}.{i}.{kind} work=0"
                start_s = time.monotonic()
                writer.write(pg.pack(b"Q", set_key.encode() + b"\0") + pg.pack(b"Q", sql.encode() + b"\0"))
                if errors := await _read_answers(reader, 2):
                    raise RuntimeError(f"a statement {kind} a key failed: {errors}")
                latencies_ms[kind].append(1000 * (time.monotonic() - start_s))
        writer.close()

    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(setup, seed, folder)
        try:
            await fleet.start()
            await fleet.wait_until_members_vote()
            kib_before = sum(resident_kib(p) for p in fleet.managers.values())
            await asyncio.gather(*(run_session(fleet, i) for i in range(session_count)))
            kib_after = sum(resident_kib(p) for p in fleet.managers.values())
            states = [await asyncio.to_thread(query, str(fleet.folder / f"{n}.sock"), "handoff") for n in fleet.names]
            await asyncio.sleep(setup.record_lifetime_ms / 1000 + 1.0)
            states_after_expiry = [
                await asyncio.to_thread(query, str(fleet.folder / f"{n}.sock"), "handoff") for n in fleet.names
            ]
        finally:
            await fleet.stop()
    records = sum(state["held"] for state in states)
    memory = {
        "records": records,
        "bytes": sum(state["bytes"] for state in states),
        "rss_kib_more": kib_after - kib_before,
        "records_lapsed": records - sum(state["held"] for state in states_after_expiry),
        "bytes_left": sum(state["bytes"] for state in states_after_expiry),
    }
    return {"memory": memory} | {
        kind: {"requests": len(ms)}
        | {f"p{p}_ms": round(sorted(ms)[min(len(ms) - 1, len(ms) * p // 100)], 2) for p in (50, 90, 99)}
        for kind, ms in latencies_ms.items()
    }


async def _read_answers(reader: asyncio.StreamReader, count: int) -> list[str]:
    """Read this many complete answers and return the SQLSTATEs of the errors among them."""
    sqlstates = []
    while count:
        message_type = await reader.readexactly(1)
        (size,) = struct.unpack(">I", await reader.readexactly(4))
        body = await reader.readexactly(size - 4)
        if message_type == b"E":
            sqlstates.append(pg.read_error(body)["C"])
        count -= message_type == b"Z"
    return sqlstates
