"""Starts the program with the command of the deploy file, and keeps the record of a case."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class CaseError(Exception):
    """The case could not run: exit status 2."""


class Record:
    """The file `record.txt`: what was sent, answered and run, each line with the seconds since the start."""

    def __init__(self, path: str) -> None:
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._start

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        self.write(text)
        print(text, flush=True)


def run_command() -> str:
    """The `run` command of the deploy file."""
    return tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]


def free_port(host: str = "127.0.0.1") -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Program:
    """One workload manager, started by the platform's stand-in as the pages on deployment say."""

    def __init__(self, name: str, folder: Path, record: Record) -> None:
        self.name, self.folder, self.record = name, folder, record
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = folder / f"{name}.log"

    async def start(self, environment: dict[str, str], command: str | None = None) -> None:
        """Start by /bin/sh -c from the root, with a private $TMPDIR."""
        temporary = self.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        clean = {k: v for k, v in os.environ.items() if not k.startswith(("LB_", "DECKLB_", "PYTHON"))}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command or run_command(), cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, env=clean | environment | {"TMPDIR": str(temporary)},
            )  # fmt: skip

    async def start_platform(self, config: dict[str, Any]) -> None:
        """Start in the platform's form, and wait until it listens."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(config))
        await self.start({"LB_NAME": config["name"], "LB_LISTEN": config["listen"], "LB_CONFIG": str(path)})
        host, _, port = config["listen"].rpartition(":")
        await self.wait_for_port(host, int(port))

    async def wait_for_port(self, host: str, port: int) -> None:
        end = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end:
            self.check_running()
            try:
                _, writer = await asyncio.open_connection(host, port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
        raise CaseError(f"{self.name} did not listen: {self.log_tail()}")

    def check_running(self) -> None:
        if self.process is None or self.process.returncode is not None:
            raise CaseError(f"{self.name} ended: {self.log_tail()}")

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def log_tail(self) -> str:
        return self.log_path.read_text(errors="replace")[-1500:] if self.log_path.exists() else ""

    def log_count(self, text: str) -> int:
        return self.log_path.read_text(errors="replace").count(text)

    def memory_mb(self) -> float:
        """Resident memory of the process."""
        assert self.process is not None
        try:
            fields = Path(f"/proc/{self.process.pid}/statm").read_text().split()
        except (OSError, ValueError):
            return 0.0
        return int(fields[1]) * PAGE_BYTES / 2**20 if len(fields) > 1 else 0.0

    def cpu_seconds(self) -> float:
        assert self.process is not None
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def signal(self, number: signal.Signals) -> None:
        if self.running:
            assert self.process is not None
            self.process.send_signal(number)

    async def end(self) -> None:
        """End the process, which this case started."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        await self.process.wait()
