"""Three processes of the stand-in application, and the engine that executes what they are asked for."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import Any

from decklb.lab.faults import free_ports
from review.rig2.case import ROOT, CannotRunError, Case
from review.rig2.process import Process

NAMES = ("proceso-1", "proceso-2", "proceso-3")
DEADLINE_MS = 20_000.0
RECORD_LIFETIME_S = (20.0 + 5.0 + 0.5) * 1.01
FLEET = (
    '<decklb version="1"><cluster name="matricula" bind="127.0.0.1:{port}" keys="keys.json">{seeds}</cluster>'
    '<handoff members="3" longest="20s"/></decklb>'
)


@dataclass
class Execution:
    """One execution at the engine."""

    token: str
    member: str
    began_s: float
    ended_s: float = 0.0


class ApplicationEngine:
    """Executes requests; what it has begun goes on when its caller is gone.

    It drops a repeat of a token for `memory_span_s`, counted from the first, and answers it as the first one.
    """

    def __init__(self, case: Case, memory_span_s: float) -> None:
        self.case, self.memory_span_s = case, memory_span_s
        self.executions: list[Execution] = []
        self.port = 0
        self._results: dict[str, tuple[float, asyncio.Task[bytes]]] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            _, member, token, work = (await reader.readline()).decode().split()
            since_s, task = self._results.get(token, (0.0, None))
            if task is None or time.monotonic() - since_s > self.memory_span_s:
                task = asyncio.ensure_future(self._execute(token, member, int(work)))
                self._results[token] = (time.monotonic(), task)
            else:
                self.case.record.write(f"engine: drops the repeat of {token} from {member}")
            writer.write(await asyncio.shield(task))
            await writer.drain()
        except (ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def _execute(self, token: str, member: str, work_ms: int) -> bytes:
        execution = Execution(token, member, time.monotonic())
        self.executions.append(execution)
        self.case.record.write(f"engine: begins {token} for {member}")
        await asyncio.sleep(work_ms / 1000)
        execution.ended_s = time.monotonic()
        self.case.record.write(f"engine: completed {token} for {member}")
        return f"{token} executed for {member}\n".encode()


class ApplicationFleet:
    """The processes."""

    def __init__(self, case: Case, settings: dict[str, Any], engine: ApplicationEngine) -> None:
        self.case, self.settings, self.engine = case, settings, engine
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}

    async def start(self) -> None:
        """Start all processes and wait until they vote."""
        folder = self.case.folder
        keys = await asyncio.create_subprocess_exec(
            ".venv/bin/python", "-m", "decklb", "keys", "new", str(folder / "keys.json"), cwd=ROOT
        )
        if await keys.wait():
            raise CannotRunError("no key file")
        (folder / "settings.json").write_text(json.dumps(self.settings))
        member_ports = free_ports.free(len(NAMES))
        seeds = "".join(f"<seed>127.0.0.1:{port}</seed>" for port in member_ports)
        for name, port in zip(NAMES, member_ports, strict=True):
            (folder / f"{name}.xml").write_text(FLEET.format(port=port, seeds=seeds))
            process = self.processes[name] = Process(
                self.case,
                name,
                "exec .venv/bin/python -m review.rig2.application",
                {
                    "PYTHONPATH": str(ROOT),
                    "MEMBER": name,
                    "FLEET": str(folder / f"{name}.xml"),
                    "SETTINGS": str(folder / "settings.json"),
                    "ENGINE": str(self.engine.port),
                },
            )
            self.ports[name] = int((await process.start())[1])
        self.case.record.write(f"waits {RECORD_LIFETIME_S + 0.5:.1f} s until all processes vote")
        await asyncio.sleep(RECORD_LIFETIME_S + 0.5)

    async def call(self, name: str, timeout_s: float, **headers: str) -> tuple[int, str]:
        """Send a request; returns status and body, or status 0 if there is no response."""

        async def run() -> tuple[int, str]:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[name])
            try:
                lines = "".join(f"{key.replace('_', '-')}: {value}\r\n" for key, value in headers.items())
                writer.write(f"POST / HTTP/1.1\r\nhost: x\r\n{lines}\r\n".encode())
                response = (await reader.read()).decode()
                head, _, body = response.partition("\r\n\r\n")
                return (int(head.split()[1]), body.strip()) if head else (0, "the connection ended")
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(run(), timeout_s)
        except (OSError, TimeoutError) as error:
            return 0, repr(error)
