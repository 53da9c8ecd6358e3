"""Plays cases of failing system calls against a real process of the program, and says what did not hold."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import re
import struct
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from decklb.lab.faults.interposer import Interposer
from decklb.lab.faults.system_call_cases import SPANS, TRANSIENT, Case
from decklb.lab.standins.recording_peers import PgEngine, RecordingEngine, RespEngine, StandinDirectory
from decklb.net import frames
from decklb.pg import messages as pg

BUDGET = 3.0  # seconds that a client gives a request
PATIENCE = 5.0  # seconds in which the program has to serve again once a fault is over
PACE = 0.02  # seconds between two requests on the connection that stays; each other one also comes on a new one
AFTER = 0.1  # seconds of traffic after a fault that strikes once
ASKED = 0.5  # the same, for the directory, which is asked a few times a second
BUSY = 0.7  # share of a core over a long fault from which on it is a busy loop: the traffic itself takes under a fifth
ENGINES = 2
TABLE_GROUPS = 50  # of which requests read one each: they decide which engines come first
TREE = Path(__file__).parents[3]
SETTINGS: dict[str, Any] = {
    "categories": [
        {"name": "read", "aim": 1500.0, "deadline": 3000.0, "late_worth": 0.5, "semantics": "idempotent"},
        {"name": "load", "aim": 1500.0, "deadline": 3000.0, "late_worth": 0.5, "semantics": "at_most_once"},
    ],
    "tenants": [{"name": "t", "share": 1.0}],
    "kinds": ["k"],
    "domain": {"kind_cores": [8], "dop": [1, 1]},
    "tick": 5.0,
    "limits": {
        "max_attempts": 4,
        "cancelling": True,
        "retry_after": True,
        "max_retry_after": 500.0,
        "streams_per_conn": 100,
        "connect_timeout": 250.0,
        "conn_idle": 15000.0,
    },
    "rules": {"extra_floor": 1000.0, "further_ratio": 1.0, "extra_window": 5000.0, "settle_after_doubt": 50.0},
}
POSTGRES = {"user": "decklb", "database": "d", "defaults": {"tenant": "t", "class": "read"}, "users": {}}


@dataclass(slots=True)
class Played:
    """What came of one case."""

    case: Case
    hits: int
    answers: Counter[str]
    faults: list[str]
    log: list[str] = field(default_factory=list)


class PlayError(Exception):
    """The program could not be started, or did not come back after the case before."""


class Player:
    """One process of the program between its peers, for one case after the other."""

    def __init__(self, front: str, folder: Path, tree: Path | None, settings: dict[str, Any] | None = None) -> None:
        """`tree`: where the program's package lies, None: this one's; `settings`: as the platform gives them."""
        self.front, self.folder, self.tree = front, folder, tree
        self.settings = settings or SETTINGS
        self.interposer = Interposer(folder)
        self.engines: list[RecordingEngine] = [
            RespEngine() if front == "platform" else PgEngine() for _ in range(ENGINES)
        ]
        self.directory = StandinDirectory({})
        self.port = 0
        self.lines: list[str] = []
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._names = itertools.count()

    async def start(self) -> None:
        """Start peers and program. Raises PlayError."""
        for engine in self.engines:
            await engine.start()
        self.directory.engine_ports = await self.listed()
        await self.directory.start()
        await self._start_program()

    async def listed(self) -> dict[str, int]:
        """The ports at which the program finds the engines, by id."""
        return {f"s-{i}": engine.port for i, engine in enumerate(self.engines)}

    async def _start_program(self) -> None:
        rows = [
            {
                "instanceId": name,
                "hostPort": f"127.0.0.1:{port}",
                "zone": "z",
                "machineType": "k",
                "cell": 0,
                "lifecycle": "Ready",
                "weight": 8,
                "startedAtMs": 0,
            }
            for name, port in self.directory.engine_ports.items()
        ]
        event = {"index": 1, "endpoints": {"generation": 1, "reset": True, "instances": rows}}
        config: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "5",
            "settings": self.settings,
            "limits": {"sockets": 256},
            "known": {"index": 1, "updates": [event]},
            "resolver": f"127.0.0.1:{self.directory.port}",
        }
        if self.front == "postgres":
            config["postgres"] = POSTGRES
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        self.lines.clear()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "decklb",
            "serve",
            stderr=asyncio.subprocess.PIPE,
            cwd=self.tree or TREE,
            env=self.interposer.environment(os.environ | {"LB_CONFIG": str(path)}),
        )
        self._reading = asyncio.create_task(self._read())
        await self._until(
            lambda: self.logged("listens on") or self._process is None or self._process.returncode is not None,
            "the program to listen",
        )
        found = re.search(r"listens on [\d.]+:(\d+)", self.logged("listens on"))
        if found is None:
            raise PlayError("the program did not start: " + "".join(self.lines[-5:]))
        self.port = int(found[1])

    async def _read(self) -> None:
        assert self._process is not None and self._process.stderr is not None
        while line := await self._process.stderr.readline():
            self.lines.append(line.decode(errors="replace"))

    def logged(self, text: str) -> str:
        """The first line of the log that holds this, or nothing."""
        return next((line for line in self.lines if text in line), "")

    async def stop(self) -> None:
        """End the program and its peers."""
        await self._end_program()
        for engine in self.engines:
            await engine.stop()
        self.directory.stop()

    async def _end_program(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        if self._process is not None:
            await self._process.wait()
        if self._reading is not None:
            await self._reading

    async def _until(self, condition: Callable[[], Any], what: str) -> None:
        end = time.monotonic() + 2 * PATIENCE
        while not condition():
            if time.monotonic() > end:
                raise PlayError(f"waited in vain for {what}")
            await asyncio.sleep(0.01)

    async def play(self, case: Case) -> Played:
        """One case, on a program that serves; afterwards it serves again, or is started anew."""
        await self._serves(PATIENCE)
        self.lines.clear()
        for engine in self.engines:
            engine.attempts.clear()
        traffic = Traffic(self)
        await traffic.begin()
        ports = {
            "client": [self.port],
            "engine": [e.port for e in self.engines],
            # The directory's socket is the only one that receives so, and has no peer to be known by.
            "directory": [0 if case.call == "recvfrom" else self.directory.port],
            "any": [0],
        }[case.side]
        count = 1 if case.span == "once" else 1 << 40
        began, used = time.monotonic(), self._cpu()
        rules = [self.interposer.fail(case.call, case.errno, port, count=count) for port in ports]
        for engine in self.engines:
            engine.drop_connections()  # so that new ones are opened
        await traffic.go_on(SPANS[case.span] or (ASKED if case.side == "directory" else AFTER))
        busy = (self._cpu() - used) / (time.monotonic() - began)
        self.interposer.clear()
        hits, asked = sum(rule.hits for rule in rules), self.directory.questions
        answers = await traffic.end()
        faults = self._check(case, hits, answers, busy)
        if not await self._serves(PATIENCE):
            faults.append("no new client is served after the fault")
        if not await self._asked_again(asked):
            faults.append("the directory is not asked after the fault")
        log = [line for line in self.lines if " INFO " not in line] + self.lines[-3:] if faults else []
        if faults:
            await self._end_program()
            await self._start_program()
        return Played(case, hits, answers, faults, log)

    def _check(self, case: Case, hits: int, answers: Counter[str], busy: float) -> list[str]:
        assert self._process is not None
        log = "".join(self.lines)
        faults = []
        if self._process.returncode is not None:
            faults.append(f"the program ended with {self._process.returncode}")
        if answers["silent"]:
            faults.append(f"{answers['silent']} requests got no answer")
        if answers["ended"] and not case.ends_client_connections:
            faults.append(f"{answers['ended']} requests whose connection ended without an answer")
        if not (answers["served"] or case.ends_client_connections):
            faults.append("nothing was served")
        faults += self._overlaps()
        if "Traceback" in log or "unexpected failure" in log or "Unhandled" in log:
            faults.append("a failure that nobody had reckoned with, in the log")
        if hits and case.call != "write" and case.error not in TRANSIENT and not log:
            faults.append("no line of the log tells of it")
        if case.span == "long" and busy > BUSY:
            faults.append(f"a busy loop: {busy:.2f} of a core")
        # A peer that closes before anything is sent also gives unreachable: it says nothing of this machine.
        if "attempt ended: unreachable" in log and "no-connection" in log and not case.says_engine_failed:
            faults.append("a local failure is put down to an engine")
        return faults

    def _overlaps(self) -> list[str]:
        runs = sorted(
            (run for engine in self.engines for run in engine.attempts), key=lambda run: (run.name, run.began)
        )
        return [
            f"two attempts of {a.name} at once"
            for a, b in itertools.pairwise(runs)
            if a.name == b.name and b.began < a.ended
        ]

    def _cpu(self) -> float:
        assert self._process is not None
        try:
            with open(f"/proc/{self._process.pid}/stat") as file:
                fields = file.read().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def _serves(self, patience: float) -> bool:
        end = time.monotonic() + patience
        while time.monotonic() < end:
            if await self.ask() == "served":
                return True
            await asyncio.sleep(0.05)
        return False

    async def _asked_again(self, before: int) -> bool:
        end = time.monotonic() + PATIENCE
        while self.directory.questions <= before and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.directory.questions > before

    def name(self) -> str:
        """A name for one more request."""
        return f"{next(self._names):016x}"

    async def ask(self) -> str:
        """One request on a connection of its own, and what became of it."""
        try:
            link = await self.connect()
        except (OSError, EOFError, TimeoutError):
            return "not connected"
        try:
            return await link.ask(self.name())
        finally:
            link.close()

    async def connect(self, lane: str = "read", key: str = "") -> Link:
        """A new connection for requests of a class and a key. Raises OSError, EOFError or TimeoutError."""
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), BUDGET)
        kind = PlatformLink if self.front == "platform" else PgClientLink
        link: Link = kind(reader, writer, lane, key)
        try:
            await asyncio.wait_for(link.begin(), BUDGET)
        except BaseException:
            link.close()
            raise
        return link


class Link:
    """A client's connection; requests on it go one after the other."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, lane: str, key: str) -> None:
        self.reader, self.writer, self.over = reader, writer, False
        self.lane, self.key = lane, key

    def close(self) -> None:
        """Leave."""
        self.over = True
        self.writer.close()

    async def begin(self) -> None:
        """What has to be said first."""

    async def ask(self, name: str) -> str:
        """Send a request; 'served', 'refused', 'failed', 'ended' with the connection, or 'silent'."""
        try:
            return await asyncio.wait_for(self.exchange(name), BUDGET + 1.0)
        except TimeoutError:
            self.over = True
            return "silent"
        except (OSError, EOFError):
            self.over = True
            return "ended"

    def exchange(self, name: str) -> Awaitable[str]:
        """Send it and wait for its answer."""
        raise NotImplementedError


class PlatformLink(Link):
    """Speaks the platform's frames."""

    _stream = 0

    async def exchange(self, name: str) -> str:
        """See Link."""
        self._stream += 1
        statement = b"select 1 from schema_%d.t" % (int(name, 16) % TABLE_GROUPS)
        fields = {"method": self.lane, "rid": name, "budget": str(int(BUDGET * 1000)), "acct": "t"}
        if self.key:
            fields["obj"] = self.key
        self.writer.write(frames.pack(frames.REQUEST, self._stream, frames.pack_fields(fields) + statement))
        while True:
            size, kind, stream = struct.unpack(">IBI", await self.reader.readexactly(9))
            payload = await self.reader.readexactly(size - 5)
            if kind == frames.ANSWER and stream == self._stream:
                return {frames.SERVED: "served", frames.REJECTED: "refused"}.get(payload[0], "failed")


class PgClientLink(Link):
    """Speaks PostgreSQL's simple queries."""

    async def begin(self) -> None:
        """See Link."""
        options = f"-c decklb.class={self.lane}" + (f" -c decklb.key={self.key}" if self.key else "")
        self.writer.write(pg.pack_startup({"user": "u", "options": options}))
        await self._until_ready()

    async def exchange(self, name: str) -> str:
        """See Link."""
        self.writer.write(pg.pack(b"Q", f"select '{name}'".encode() + b"\0"))
        kinds = await self._until_ready()
        return "served" if "C" in kinds else "failed"

    async def _until_ready(self) -> str:
        kinds = ""
        while not kinds.endswith("Z"):
            kind = await self.reader.readexactly(1)
            await self.reader.readexactly(int.from_bytes(await self.reader.readexactly(4), "big") - 4)
            kinds += kind.decode()
        return kinds


class Traffic:
    """Requests at a steady pace, on a connection that stays and on new ones."""

    def __init__(self, player: Player) -> None:
        self._player = player
        self._links: list[Link] = []
        self._tasks: list[asyncio.Task[str]] = []

    async def begin(self) -> None:
        """Connect, before the fault."""
        self._links = [await self._player.connect() for _ in range(4)]

    async def go_on(self, seconds: float) -> None:
        """Send for so long."""
        end = time.monotonic() + seconds
        for number in itertools.count():
            if time.monotonic() >= end:
                return
            if self._links:  # each carries one request at a time
                self._tasks.append(asyncio.create_task(self._ask(self._links.pop(0))))
            if number % 2:
                self._tasks.append(asyncio.create_task(self._player.ask()))
            await asyncio.sleep(PACE)

    async def _ask(self, link: Link) -> str:
        if link.over:
            try:
                link = await self._player.connect()
            except (OSError, EOFError, TimeoutError):
                self._links.append(link)
                return "not connected"
        answer = await link.ask(self._player.name())
        self._links.append(link)
        return answer

    async def end(self) -> Counter[str]:
        """Wait for what is open; how often each answer came."""
        answers = Counter(await asyncio.gather(*self._tasks))
        for link in self._links:
            link.close()
        return answers


async def play_cases(cases: Iterable[Case], at_once: int, tree: Path | None = None) -> AsyncIterator[Played]:
    """Play cases, each front in `at_once` processes at a time; `tree`: see Player."""
    queue: asyncio.Queue[Played | None] = asyncio.Queue()
    shares: list[list[Case]] = []
    listed = list(cases)
    for front in sorted({case.front for case in listed}):
        own = [case for case in listed if case.front == front]
        shares += [share for n in range(at_once) if (share := own[n::at_once])]

    async def work(share: list[Case]) -> None:
        try:
            async with running(share[0].front, tree) as player:
                for case in share:
                    queue.put_nowait(await player.play(case))
        finally:
            queue.put_nowait(None)

    tasks = [asyncio.create_task(work(share)) for share in shares]
    left = len(tasks)
    while left:
        played = await queue.get()
        if played is None:
            left -= 1
        else:
            yield played
    await asyncio.gather(*tasks)


@asynccontextmanager
async def running(front: str, tree: Path | None = None) -> AsyncIterator[Player]:
    """A player with its program running, ended afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        player = Player(front, Path(folder), tree)
        try:
            await player.start()
            yield player
        finally:
            await player.stop()
