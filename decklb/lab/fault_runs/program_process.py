"""One serving process of the program between stand-in peers, for the fault runs on a single process.

`ProgramProcess` owns the process, its log, the interposer of its system calls, the stand-in engines and a stand-in
directory, all on loopback. The fault runs on system calls, connection cuts and slow start use it.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import re
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from decklb.lab.fault_runs.program_clients import (
    REQUEST_BUDGET_S,
    ClientConnection,
    PgConnection,
    PlatformConnection,
    RequestOutcome,
)
from decklb.lab.faults.interposer import Interposer
from decklb.lab.standins.recording_peers import (
    PgEngine,
    RecordedAttempt,
    RecordingEngine,
    RespEngine,
    StandinDirectory,
)

RECOVERY_TIMEOUT_S = 5.0  # after the end of a fault, in which the program has to serve again
START_TIMEOUT_S = 2 * RECOVERY_TIMEOUT_S
ENGINE_COUNT = 2
SOURCE_TREE = Path(__file__).parents[3]  # of this version of the program
# Settings in the platform's format: durations in ms, `share` and `late_worth` as fractions.
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


class ProgramStartError(Exception):
    """The program did not start, or did not listen in time."""


class ProgramProcess:
    """One serving process between its peers.

    Attributes:
        front: Protocol of its clients, `platform` or `postgres`.
        folder: Folder for its configuration and the interposer's library.
        interposer: Makes system calls of the process fail.
        engines: Stand-in engines, which record the attempts that they receive.
        directory: Stand-in directory, which counts the queries that it receives.
        port: Port on which the program listens; 0 before the start.
        log_lines: Log of the process since its start, or since the list was last cleared.
        process: The child process, None before the first start.
    """

    def __init__(
        self, front: str, folder: Path, source_tree: Path | None, settings: dict[str, Any] | None = None
    ) -> None:
        """Create the peers, none of which listens yet.

        Args:
            front: See the class.
            folder: See the class; it must exist and be empty.
            source_tree: Folder that contains the program's package; None for this version.
            settings: Settings in the platform's format; None for SETTINGS.
        """
        self.front, self.folder = front, folder
        self._source_tree = source_tree or SOURCE_TREE
        self._settings = settings or SETTINGS
        self.interposer = Interposer(folder)
        self.engines: list[RecordingEngine] = [
            RespEngine() if front == "platform" else PgEngine() for _ in range(ENGINE_COUNT)
        ]
        self.directory = StandinDirectory({})
        self.port = 0
        self.log_lines: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None
        self._request_numbers = itertools.count()

    async def start(self) -> None:
        """Start the peers and the program.

        Raises:
            ProgramStartError: The program did not start.
        """
        for engine in self.engines:
            await engine.start()
        self.directory.engine_ports = await self.advertised_engine_ports()
        await self.directory.start()
        await self.start_program()

    async def stop(self) -> None:
        """Kill the program and stop its peers."""
        await self.kill_program()
        for engine in self.engines:
            await engine.stop()
        self.directory.stop()

    async def advertised_engine_ports(self) -> dict[str, int]:
        """Return the ports of the engines as the directory gives them to the program, by engine id."""
        return {f"s-{i}": engine.port for i, engine in enumerate(self.engines)}

    async def start_program(self) -> None:
        """Start only the program and wait until it listens.

        Raises:
            ProgramStartError: It ended, or did not listen in time.
        """
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.configuration()))
        self.log_lines.clear()
        process = self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "decklb",
            "serve",
            stderr=asyncio.subprocess.PIPE,
            cwd=self._source_tree,
            env=self.interposer.environment(os.environ | {"LB_CONFIG": str(path)}),
        )
        self._log_reader = asyncio.create_task(self._read_log(process))
        await _wait_until(
            lambda: self.first_log_line("listens on") or process.returncode is not None, "the program to listen"
        )
        listening = re.search(r"listens on [\d.]+:(\d+)", self.first_log_line("listens on"))
        if listening is None:
            raise ProgramStartError("the program did not start: " + "".join(self.log_lines[-5:]))
        self.port = int(listening[1])

    async def kill_program(self) -> None:
        """Kill only the program and read its log to the end."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()
        if self._log_reader is not None:
            await self._log_reader

    def configuration(self) -> dict[str, Any]:
        """Return the program's configuration in the platform's format; the directory must have its port."""
        instances = [
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
        update = {"index": 1, "endpoints": {"generation": 1, "reset": True, "instances": instances}}
        configuration: dict[str, Any] = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "seed": "5",
            "settings": self._settings,
            "limits": {"sockets": 256},
            "known": {"index": 1, "updates": [update]},
            "resolver": f"127.0.0.1:{self.directory.port}",
        }
        if self.front == "postgres":
            configuration["postgres"] = POSTGRES
        return configuration

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.log_lines.append(line.decode(errors="replace"))

    def first_log_line(self, text: str) -> str:
        """Return the first log line that contains a text, or an empty string."""
        return next((line for line in self.log_lines if text in line), "")

    def cpu_seconds(self) -> float:
        """Return the CPU time that the process has used in seconds; 0 if it has ended."""
        assert self.process is not None
        try:
            with open(f"/proc/{self.process.pid}/stat") as file:
                fields = file.read().rpartition(")")[2].split()  # proc(5), from field 3 on
        except OSError:
            return 0.0
        user_ticks, system_ticks = int(fields[11]), int(fields[12])
        return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")

    def new_request_name(self) -> str:
        """Return a hexadecimal number that no earlier request of this object had."""
        return f"{next(self._request_numbers):016x}"

    async def connect(self, request_class: str = "read", key: str = "") -> ClientConnection:
        """Open a client's connection.

        Args:
            request_class: Class of its requests.
            key: Ordering key of its requests, empty for none.

        Raises:
            OSError: The program can't be reached, or the connection was lost during the handshake.
            EOFError: The program closed the connection during the handshake.
            TimeoutError: Connecting or the handshake exceeded REQUEST_BUDGET_S.
        """
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", self.port), REQUEST_BUDGET_S)
        connection_type = PlatformConnection if self.front == "platform" else PgConnection
        connection: ClientConnection = connection_type(reader, writer, request_class, key)
        try:
            await asyncio.wait_for(connection.handshake(), REQUEST_BUDGET_S)
        except BaseException:
            connection.close()
            raise
        return connection

    async def request_on_new_connection(self) -> RequestOutcome:
        """Send one request on a new connection and close the connection."""
        try:
            connection = await self.connect()
        except (OSError, EOFError, TimeoutError):
            return RequestOutcome.NOT_CONNECTED
        try:
            return await connection.request(self.new_request_name())
        finally:
            connection.close()

    async def wait_until_serving(self, timeout_s: float) -> bool:
        """Send requests until one is served and return True, or False if none was served in time."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if await self.request_on_new_connection() is RequestOutcome.SERVED:
                return True
            await asyncio.sleep(0.05)
        return False

    async def wait_for_directory_query(self, count_before: int) -> bool:
        """Wait until the directory has received another query; return False if it receives none in time."""
        end = time.monotonic() + RECOVERY_TIMEOUT_S
        while self.directory.questions <= count_before and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.directory.questions > count_before

    def overlapping_attempts(self) -> list[str]:
        """Describe each pair of attempts of one request that ran at the same time."""
        attempts: list[RecordedAttempt] = sorted(
            (attempt for engine in self.engines for attempt in engine.attempts),
            key=lambda attempt: (attempt.name, attempt.began),
        )
        return [
            f"two attempts of {first.name} at once"
            for first, second in itertools.pairwise(attempts)
            if first.name == second.name and second.began < first.ended
        ]


async def _wait_until(condition: Callable[[], Any], what: str) -> None:
    end = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            raise ProgramStartError(f"timed out after {START_TIMEOUT_S:g} s while waiting for {what}")
        await asyncio.sleep(0.01)


@asynccontextmanager
async def running_program(front: str, source_tree: Path | None = None) -> AsyncIterator[ProgramProcess]:
    """Provide a started ProgramProcess in a temporary folder, and stop it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        program = ProgramProcess(front, Path(folder), source_tree)
        try:
            await program.start()
            yield program
        finally:
            await program.stop()
