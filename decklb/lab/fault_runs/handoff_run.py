"""Fault runs of the handoff between real processes.

Managers that take over one another's requests, their engines, clients that retry, and faults by seed between all of
them. On loopback, bounded in time and count; see docs/faults.md.
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
from decklb.lab.faults import free_ports as ports
from decklb.lab.faults.fault_schedule import CUT, LOSSY, FleetFault, FleetFaultKind, draw_schedule
from decklb.lab.faults.network_proxy import MAX_LATE_MS, Address, NetworkProxy
from decklb.management.control_client import ControlError, query
from decklb.pg import messages as pg

READ, LOAD = "read", "load"  # may be repeated; at most once
START = 20.0  # seconds for a process to come up
DRAWS = 3  # of an engine's ports: another fleet that starts may have drawn one of them
COME_BACK = ("53000", "53300", "57P01", "57P03", "08006")  # answers after which a client asks again
SLACK = 0.5  # seconds past its deadline in which an answer still counts
WORK = (5, 20, 80, 300)
KINDS = (
    FleetFaultKind.KILL,
    FleetFaultKind.STOP,
    FleetFaultKind.PARTITION,
    FleetFaultKind.CUT,
    FleetFaultKind.LOSSY,
    FleetFaultKind.AHEAD,
    FleetFaultKind.BEHIND,
)
SIGNALS = {
    FleetFaultKind.STOP: signal.SIGSTOP,
    FleetFaultKind.CONT: signal.SIGCONT,
    FleetFaultKind.AHEAD: signal.SIGUSR1,
    FleetFaultKind.BEHIND: signal.SIGUSR2,
    FleetFaultKind.CLOCK: signal.SIGWINCH,
}

SETTINGS = """<decklb version="1">
  <process name="{name}" listen="127.0.0.1:0" sockets="512"/>
  <classes>
    <class name="read" aim="1s" stretch="2" deadline="{longest}ms" semantics="idempotent"/>
    <class name="load" aim="1s" stretch="2" deadline="{longest}ms" semantics="at_most_once"/>
  </classes>
  <tenants><tenant name="cusco" share="100%"/></tenants>
  <kinds><kind name="k" cores="64"/></kinds>
  <rules tick="2ms" max-attempts="4" cancelling="true" retry-after="200ms" cold="10ms" cold-share="100%"
         drain-grace="1s" extra-floor="50" extra-share="50%" extra-window="5s" fall="1s" overload-factor="3"
         settle-after-doubt="50ms"/>
  <engines list="1">{engines}</engines>
  <postgres user="decklb" connections="64"/>
  <cluster name="outage" bind="{bind}" advertise="{told}" keys="{keys}" interval="100ms" timeout="45ms" gossip="20ms"
           exchange="500ms" settle="300ms">{seeds}</cluster>
  <handoff members="{members}"{data} copies="3" lease="{lease}ms" beat="100ms" patience="300ms" resend="60ms"
           stagger="250ms" longest="{longest}ms" linger="{linger}ms" slack="500ms"/>
  <control socket="{socket}"/>
</decklb>
"""


@dataclass(frozen=True, slots=True)
class Setup:
    """How large, and how fast things go. Times are milliseconds."""

    managers: int = 3
    engines: int = 3
    rate: float = 25.0  # requests a second
    span: float = 5000.0  # in which requests come and faults strike
    faults: int = 1
    longest: float = 4000.0  # deadline of a request
    linger: float = 1500.0
    lease: float = 600.0
    kinds: tuple[FleetFaultKind, ...] = KINDS
    data: bool = False  # managers keep their records on disk
    work: tuple[int, ...] = WORK  # ms that statements take at their engine

    @property
    def life(self) -> float:
        """For so long a record may live; members that restarted vote on no older ones."""
        return (self.longest + self.linger + 500.0) * 1.01


class Process:
    """A process of this program, or of its stand-ins, whose log lines are kept."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.lines: list[str] = []
        self.stamps: list[float] = []  # when each line was read, on the machine's monotonic clock
        self.child: asyncio.subprocess.Process
        self._reader: asyncio.Task[None] | None = None

    async def start(self, *words: str) -> None:
        """Start the process with these arguments of the interpreter's -m."""
        env = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "DECKLB_"))}
        self.child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *words,
            env=env,
            cwd=Path(__file__).parents[3],
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._reader = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        assert self.child.stdout is not None
        while line := await self.child.stdout.readline():
            self.lines.append(line.decode("utf-8", "replace"))
            self.stamps.append(time.monotonic())

    async def says(self, pattern: str) -> re.Match[str]:
        """The first line that matches, or a fault where the process ends or says nothing for long."""
        end = time.monotonic() + START
        while time.monotonic() < end:
            for line in self.lines:
                if m := re.search(pattern, line):
                    return m
            if self.child.returncode is not None:
                break
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} did not come up: {''.join(self.lines[-20:])}")

    def code(self) -> int | None:
        """How it ended; None while it runs, and before it is started."""
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
    """Managers, engines and the rig between them, in a folder of its own."""

    def __init__(self, setup: Setup, seed: int, folder: str, index: int = 0) -> None:
        self.setup, self.folder, self.seed = setup, Path(folder), seed
        self.names = [f"m{i}" for i in range(setup.managers)]
        self.host = {n: f"127.0.{10 + index}.{i + 1}" for i, n in enumerate(self.names)}
        self.managers: dict[str, Process] = {}
        self.ports: dict[str, int] = {}
        self.since: dict[str, float] = {}
        self.engines: list[Process] = []
        self.binds: dict[str, Address] = {}
        self.rig: NetworkProxy
        self.spoken: list[str] = []  # log lines of processes that have ended

    async def start(self) -> None:
        """All of it, in order: engines, the rig, managers."""
        targets: dict[str, dict[str, Address]] = {}
        for i in range(self.setup.engines):
            e = Process(f"e{i}")
            self.engines.append(e)
            targets[e.name] = {n: ("127.0.0.1", p) for n, p in zip(self.names, await self.serve(e), strict=True)}
        self.binds = {n: (self.host[n], ports.free(1, self.host[n])[0]) for n in self.names}
        self.rig = NetworkProxy(self.binds, self.seed, targets)
        await self.rig.open()
        keyfile.write(str(self.folder / "keys.json"), [keyfile.generate()])
        await asyncio.gather(*(self.up(n) for n in self.names))

    async def serve(self, engine: Process, where: list[int] | None = None) -> list[int]:
        """Start an engine, at first or again where it was; the ports, one for each manager."""
        log = self.folder / f"{engine.name}.log"
        log.touch()
        draws = DRAWS if where is None else 1
        while True:
            engine.lines.clear()
            engine.stamps.clear()
            await engine.start(
                "decklb.lab.standins.observer_engine",
                engine.name,
                str(log),
                ujson.dumps(where or ports.free(self.setup.managers)),
            )
            try:
                found: list[int] = ujson.loads((await engine.says(r"^(\[.*\])"))[1])
                return found
            except RuntimeError:
                draws -= 1
                if not draws:
                    raise

    def program(self, name: str) -> tuple[str, ...]:
        """What runs as a manager."""
        return ("decklb.lab.faults.clock_jump",)

    def settings(self, name: str) -> str:
        """A manager's XML."""
        s = self.setup
        engines = "".join(
            '<engine id="{}" address="{}:{}" zone="z" kind="k" weight="8"/>'.format(
                e.name, *self.rig.engine_addresses[name, e.name]
            )
            for e in self.engines
        )
        return SETTINGS.format(
            name=name,
            bind="{}:{}".format(*self.binds[name]),
            told="{}:{}".format(*self.rig.advertised[name]),
            keys="keys.json",
            engines=engines,
            seeds="".join("<seed>{}:{}</seed>".format(*a) for a in self.rig.advertised.values()),
            members=s.managers,
            lease=f"{s.lease:g}",
            longest=f"{s.longest:g}",
            linger=f"{s.linger:g}",
            socket=f"{name}.sock",
            data=f' data="{name}.data"' if s.data else "",
        )

    async def up(self, name: str) -> None:
        """Start a manager, at first or again."""
        path = self.folder / f"{name}.xml"
        path.write_text(self.settings(name))
        if name in self.managers:
            self.spoken += self.managers[name].lines
        p = self.managers[name] = Process(name)
        await p.start(*self.program(name), "serve", "--settings", str(path), "--log-level", "DEBUG")
        self.ports[name] = int((await p.says(r"listens on [\d.]+:(\d+)"))[1])
        if not (self.setup.data and name in self.since):
            self.since[name] = time.monotonic()

    async def remember(self) -> None:
        """Wait until every manager remembers for longer than any record lives, so that each may vote again.

        One that keeps its records on disk does so by itself.
        """
        await asyncio.sleep(max(0.0, max(self.since.values()) + self.setup.life / 1000 + 0.3 - time.monotonic()))

    async def strike(self, fault: FleetFault) -> None:
        """One fault, or the end of one."""
        rig, manager = self.rig, self.managers[fault.target]
        match fault.kind:
            case FleetFaultKind.KILL:
                await manager.kill()
            case FleetFaultKind.RESTART:
                await self.up(fault.target)
            case FleetFaultKind.PARTITION:
                rig.partition(fault.target)
            case FleetFaultKind.ENGINES:
                for e in self.engines:
                    rig.set_link(fault.target, e.name, CUT)
                    rig.set_link(e.name, fault.target, CUT)
            case FleetFaultKind.CUT:
                rig.set_link(fault.target, fault.other, CUT)
            case FleetFaultKind.LOSSY:
                for a, b in ((fault.target, fault.other), (fault.other, fault.target)):
                    rig.set_link(a, b, LOSSY)
            case FleetFaultKind.HEAL:
                rig.heal()
            case kind:
                manager.signal(SIGNALS[kind])

    def witnessed(self) -> list[ExecutionEvent]:
        """What the engines wrote down so far."""
        return [
            ExecutionEvent(**ujson.loads(line), engine=e.name)
            for e in self.engines
            for line in (self.folder / f"{e.name}.log").read_text().splitlines()
        ]

    def logged(self, event: str) -> int:
        """How many log lines of all managers hold this word."""
        lines = itertools.chain(self.spoken, *(p.lines for p in self.managers.values()))
        return sum(event in line for line in lines)

    def late(self, since: float) -> float:
        """How late the rig or a manager was at worst since a moment, in ms, by their own logs.

        For runs that stop nobody on purpose.
        """
        worst = self.rig.late_ms
        for p in self.managers.values():
            for line, at in zip(p.lines, p.stamps, strict=False):
                if at >= since and (m := re.search(r"process-stalled stall_ms=(\d+)", line)):
                    worst = max(worst, float(m[1]))
        return round(worst, 1)

    def keep_logs(self, folder: Path) -> None:
        """Write down what all managers and engines have said so far, and what the managers hold."""
        folder.mkdir(parents=True, exist_ok=True)
        for name, p in self.managers.items():
            try:
                held = ujson.dumps(query(str(self.folder / f"{name}.sock"), "handoff"), indent=1)
            except ControlError as error:
                held = str(error)
            (folder / f"{name}.log").write_text("".join([*p.lines, held, "\n"]))
        (folder / "ended.log").write_text("".join(sorted(self.spoken)))  # of processes that are no more
        for e in self.engines:
            (folder / f"{e.name}.log").write_text((self.folder / f"{e.name}.log").read_text())

    async def stop(self) -> None:
        """End every process that was started here."""
        for p in [*self.managers.values(), *self.engines]:
            p.signal(signal.SIGCONT)
            await p.kill()
        if hasattr(self, "rig"):
            self.rig.close()


class Client:
    """One request of a client that comes back with its key, to any manager, until it has its final answer."""

    def __init__(self, fleet: Fleet, rng: random.Random, key: str) -> None:
        self.fleet, self.rng = fleet, rng
        now, s = time.monotonic(), fleet.setup
        self.story = ClientRecord(key, rng.choice((READ, LOAD)), now, now + s.longest / 1000 + SLACK)
        self.sql = f"select 1 -- run={key} work={rng.choice(s.work)}"
        self.patience = rng.choice((0.3, 1.0, 5.0))  # seconds that it waits on one connection

    async def run(self) -> ClientRecord:
        """To the final answer, and sometimes once more: the answer must be the same."""
        s = self.story
        await self._until(lambda: bool(s.final_answers), s.due_s)
        if s.final_answers and self.rng.random() < 0.3:
            n = len(s.final_answers)
            await self._until(lambda: len(s.final_answers) > n, min(time.monotonic() + 0.8, s.due_s))
        return s

    async def _until(self, done: Callable[[], bool], end: float) -> None:
        while not done() and (left := end - time.monotonic()) > 0:
            name, start = self.rng.choice(self.fleet.names), time.monotonic()
            self.story.last = "answered"
            try:
                await asyncio.wait_for(self._try(self.fleet.ports[name]), min(left, self.patience))
            except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
                self.story.unanswered_tries += 1
                self.story.last = type(error).__name__
            self.story.path.append(
                f"{name} at {start - self.story.sent_s:.2f} for {time.monotonic() - start:.2f}: {self.story.last}"
            )
            if not done():
                await asyncio.sleep(self.rng.uniform(0.05, 0.15))

    async def _try(self, port: int) -> None:
        s = self.story
        s.tries += 1
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            budget = max(1, round((s.due_s - SLACK - time.monotonic()) * 1000))
            writer.write(
                pg.pack_startup(
                    {"user": "u", "decklb.class": s.class_name, "decklb.budget": str(budget), "decklb.request": s.key}
                )
                + pg.pack(b"Q", self.sql.encode() + b"\0")
            )
            row, state, begun = "", "", False
            while True:
                kind = await reader.readexactly(1)
                (size,) = struct.unpack(">I", await reader.readexactly(4))
                body = await reader.readexactly(size - 4)
                if kind == b"E":
                    state = pg.read_error(body)["C"]
                elif kind == b"D":
                    row = body[6:].decode()
                elif kind == b"Z":
                    if begun:
                        break
                    begun = True
        finally:
            writer.close()
        if state in COME_BACK:
            s.last = state
        else:
            # Which error it was may differ: that time was over, or that the outcome is uncertain.
            outcome, content = ("failed", "") if state else ("served", row)
            s.final_answers.append(FinalAnswer(outcome, content, time.monotonic()))


async def play(fleet: Fleet, seed: int, turn: int = 0) -> tuple[Verdict, list[FleetFault]]:
    """One run on a fleet that is up: faults by seed while requests come, all undone before the end.

    `turn` counts runs of the same seed on it, whose keys must not be those of the run before.
    """
    s, rng = fleet.setup, random.Random(seed)
    faults = draw_schedule(seed, fleet.names, s.span, s.faults, s.kinds)
    start, fleet.rig.late_ms = time.monotonic(), 0.0

    async def striking() -> None:
        for fault in faults:
            await asyncio.sleep(max(0.0, start + fault.at_ms / 1000 - time.monotonic()))
            await fleet.strike(fault)

    strikes = asyncio.ensure_future(striking())
    clients: list[asyncio.Task[ClientRecord]] = []
    due = start
    while (due := due + rng.expovariate(s.rate)) < start + s.span / 1000:
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        clients.append(asyncio.ensure_future(Client(fleet, rng, f"s{seed}.{turn}.{len(clients)}").run()))
    await strikes
    stories = await asyncio.gather(*clients)
    await asyncio.sleep(max(s.work) / 1000 + 0.1)
    mine = {x.key for x in stories}
    verdict = judge(stories, [event for event in fleet.witnessed() if event.key in mine], LOAD)
    verdict.late_ms = round(fleet.rig.late_ms, 1)  # managers are stopped on purpose here, so only the rig's own
    return verdict, faults


COUNTED = ("handoff-taken-over", "handoff-fenced", "handoff-lease-ended", "backstop", "policy-failed", "Traceback")


@dataclass(slots=True)
class Played:
    """One run of a campaign, and how often its fleet has logged each event so far."""

    seed: int
    verdict: Verdict
    faults: list[FleetFault]
    logged: dict[str, int]
    again: bool = False  # it is played once more: the machine held the rig up


async def campaign(
    setup: Setup, seeds: list[int], fleets: int, told: Callable[[int, Verdict, list[FleetFault]], None], logs: str = ""
) -> tuple[list[Verdict], dict[str, int]]:
    """Runs of all seeds, divided among fleets side by side, each in a process of its own that lives on from run to run.

    `logs`: a folder for the logs of the managers of a run that was not clean.
    """
    verdicts: list[Verdict] = []
    counts = dict.fromkeys(COUNTED, 0)

    async def one(index: int) -> None:
        last: dict[str, int] = {}
        async for run in run_in_subprocess(
            f"{__name__}:isolated_runs", Played, setup=setup, seeds=seeds[index::fleets], index=index, logs=logs
        ):
            told(run.seed, run.verdict, run.faults)
            last = run.logged
            if not run.again:
                verdicts.append(run.verdict)
        for name, count in last.items():
            counts[name] += count

    await asyncio.gather(*(one(i) for i in range(min(fleets, len(seeds)))))
    return verdicts, counts


async def isolated_runs(setup: dict[str, Any], seeds: list[int], index: int, logs: str) -> AsyncIterator[Played]:
    """The runs of one fleet, for `run_in_subprocess`."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(msgspec.convert(setup, Setup), seeds[0] * 1000 + index, folder, index)
        try:
            await fleet.start()
            for seed in seeds:
                for turn in range(MAX_ATTEMPTS):
                    await fleet.remember()
                    verdict, faults = await play(fleet, seed, turn)
                    if logs and not verdict.clean:
                        await asyncio.to_thread(fleet.keep_logs, Path(logs) / str(seed))
                    again = turn < MAX_ATTEMPTS - 1 and not verdict.clean and verdict.late_ms > MAX_LATE_MS
                    yield Played(seed, verdict, faults, {name: fleet.logged(name) for name in COUNTED}, again)
                    if not again:
                        break
        finally:
            await fleet.stop()


def described(faults: list[FleetFault]) -> list[dict[str, Any]]:
    """Faults for a report."""
    return [{"at_ms": round(f.at_ms), "kind": f.kind.value, "target": f.target, "other": f.other} for f in faults]


def resident(process: Process) -> int:
    """KiB of memory that a process has in use."""
    text = Path(f"/proc/{process.child.pid}/status").read_text()
    return int(text.partition("VmRSS:")[2].split()[0])


async def cost(setup: Setup, requests: int, at_once: int, seed: int) -> dict[str, dict[str, float]]:
    """What it costs to protect a statement, in latency and memory.

    Latency is ms from sending to the complete answer, with a key and without, in turns on the same sessions of a fleet
    without faults; memory is what the managers hold at the end and after all of it has lapsed. The engines' own part is
    next to nothing.
    """
    rng = random.Random(seed)
    took: dict[str, list[float]] = {"without": [], "with": []}

    async def session(fleet: Fleet, number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.ports[rng.choice(fleet.names)])
        writer.write(pg.pack_startup({"user": "u", "decklb.class": LOAD}))
        await _answers(reader, 1)
        for i in range(requests // at_once):
            for kind, sets in (("without", "set decklb.key = ''"), ("with", f"set decklb.request = 'c{number}.{i}'")):
                sql = f"select 1 -- run=c{number}.{i}.{kind} work=0"
                start = time.monotonic()
                writer.write(pg.pack(b"Q", sets.encode() + b"\0") + pg.pack(b"Q", sql.encode() + b"\0"))
                if errors := await _answers(reader, 2):
                    raise RuntimeError(f"a statement {kind} a key failed: {errors}")
                took[kind].append(1000 * (time.monotonic() - start))
        writer.close()

    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(setup, seed, folder)
        try:
            await fleet.start()
            await fleet.remember()
            before = sum(resident(p) for p in fleet.managers.values())
            await asyncio.gather(*(session(fleet, i) for i in range(at_once)))
            after = sum(resident(p) for p in fleet.managers.values())
            held = [await asyncio.to_thread(query, str(fleet.folder / f"{n}.sock"), "handoff") for n in fleet.names]
            await asyncio.sleep(setup.life / 1000 + 1.0)
            left = [await asyncio.to_thread(query, str(fleet.folder / f"{n}.sock"), "handoff") for n in fleet.names]
        finally:
            await fleet.stop()
    records = sum(h["held"] for h in held)
    memory = {
        "records": records,
        "bytes": sum(h["bytes"] for h in held),
        "rss_kib_more": after - before,
        "records_lapsed": records - sum(h["held"] for h in left),
        "bytes_left": sum(h["bytes"] for h in left),
    }
    return {"memory": memory} | {
        kind: {"requests": len(ms)}
        | {f"p{p}_ms": round(sorted(ms)[min(len(ms) - 1, len(ms) * p // 100)], 2) for p in (50, 90, 99)}
        for kind, ms in took.items()
    }


async def _answers(reader: asyncio.StreamReader, count: int) -> list[str]:
    """Read up to the end of so many answers; the states of errors among them."""
    errors = []
    while count:
        kind = await reader.readexactly(1)
        (size,) = struct.unpack(">I", await reader.readexactly(4))
        body = await reader.readexactly(size - 4)
        if kind == b"E":
            errors.append(pg.read_error(body)["C"])
        count -= kind == b"Z"
    return errors
