"""A process of a fault run: a manager or a stand-in, started with its log read line by line."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
import time
from pathlib import Path

START_TIMEOUT_S = 20.0  # for a process to start


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
