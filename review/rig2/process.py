"""The program as a process, started with the `run` command of the deploy file, and other processes of a case."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import tomllib
from typing import Any

from review.rig2.case import ROOT, Case, wait_until

START_TIMEOUT_S = 20.0


def deploy_command() -> str:
    """Return the command of the deploy file that starts a workload manager."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


class Process:
    """A process with its log, ended at the end of the case."""

    def __init__(self, case: Case, name: str, command: str, environment: dict[str, str]) -> None:
        self.case, self.name, self.command = case, name, command
        kept = {key: value for key, value in os.environ.items() if not key.startswith(("LB_", "DECKLB_"))}
        self.environment = kept | {"TMPDIR": str(case.folder)} | environment
        self.lines: list[str] = []
        self.child: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None
        case.cleanups.append(self.end)

    async def start(self, log_line: str = r"listens on [\d.]+:(\d+)") -> re.Match[str]:
        """Start it and return the match of the log line that says that it is up."""
        self.lines.clear()
        self.child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            self.command,
            cwd=ROOT,
            env=self.environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=1 << 20,
        )
        self._reader = asyncio.ensure_future(self._read(self.child))
        await wait_until(
            lambda: self.find(log_line) or self.ended, START_TIMEOUT_S, f"line {log_line!r} of {self.name}"
        )
        match = self.find(log_line)
        if match is None:
            raise RuntimeError(f"{self.name} did not start: {''.join(self.lines[-10:])}")
        self.case.record.write(f"{self.name} started, pid {self.child.pid}: {match.group()}")
        return match

    async def _read(self, child: asyncio.subprocess.Process) -> None:
        assert child.stdout is not None
        while line := await child.stdout.readline():
            self.lines.append(line.decode("utf-8", "replace"))

    @property
    def ended(self) -> bool:
        """Whether the process has ended."""
        return self.child is not None and self.child.returncode is not None

    def find(self, pattern: str) -> re.Match[str] | None:
        """Return the match of the first log line that matches."""
        return next((match for line in list(self.lines) if (match := re.search(pattern, line))), None)

    def count(self, pattern: str) -> int:
        """Return the number of log lines that match."""
        return sum(bool(re.search(pattern, line)) for line in list(self.lines))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self.child is not None and self.child.returncode is None:
            self.case.record.write(f"{number.name} to {self.name}")
            self.child.send_signal(number)

    async def end(self) -> None:
        """Kill it if it still runs, and read its log to the end."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            await self.child.wait()
        if self._reader is not None:
            await self._reader


def manager(case: Case, name: str, **environment: Any) -> Process:
    """Return a workload manager that is not started yet."""
    return Process(case, name, deploy_command(), {key: str(value) for key, value in environment.items()})
