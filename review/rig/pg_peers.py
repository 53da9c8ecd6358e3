"""Stand-ins on PostgreSQL's protocol 3.0: an engine that records what it runs, and a client with simple queries."""

from __future__ import annotations

import asyncio
import re
import struct
from dataclasses import dataclass, field
from typing import Any

from rig.process import Record

CANCEL_CODE, STARTUP_CODE = 80_877_102, 196_608
WORK = re.compile(r"work=(\d+)")
NAME = re.compile(r"name=([\w-]+)")


def pack(kind: bytes, payload: bytes = b"") -> bytes:
    return kind + struct.pack(">I", len(payload) + 4) + payload


def pack_error(code: str, text: str) -> bytes:
    fields = b"".join(k + v.encode() + b"\0" for k, v in ((b"S", "ERROR"), (b"V", "ERROR"), (b"C", code), (b"M", text)))
    return pack(b"E", fields + b"\0")


READY = pack(b"Z", b"I")


@dataclass
class Run:
    """One run of a statement at an engine."""

    engine: str
    name: str
    began: float
    ended: float | None = None
    how: str = "running"


@dataclass
class PgEngine:
    """An engine. A statement says in a comment how long it runs: `-- name=N work=MS`. It heeds cancel requests."""

    name: str
    record: Record
    port: int = 0
    runs: list[Run] = field(default_factory=list)
    _sessions: dict[bytes, Any] = field(default_factory=dict)
    _count: int = 0
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=4 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        key = b""
        try:
            length = struct.unpack(">I", await reader.readexactly(4))[0]
            first = await reader.readexactly(length - 4)
            if struct.unpack(">I", first[:4])[0] == CANCEL_CODE:
                event = self._sessions.get(first[4:])
                self.record.write(f"{self.name}: cancel request, {'a statement runs' if event else 'nothing runs'}")
                if event is not None:
                    event.set()
                return
            self._count += 1
            key = struct.pack(">II", self._count, 7)
            writer.write(pack(b"R", b"\0\0\0\0") + pack(b"K", key) + READY)
            while True:
                kind = await reader.readexactly(1)
                length = struct.unpack(">I", await reader.readexactly(4))[0]
                payload = await reader.readexactly(length - 4)
                if kind == b"X":
                    return
                if kind == b"Q":
                    await self._run(payload[:-1].decode(), key, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, sql: str, key: bytes, writer: asyncio.StreamWriter) -> None:
        """Run to the end, as PostgreSQL does, also when the connection has gone; only a cancel request ends it early."""
        work, name = WORK.search(sql), NAME.search(sql)
        run = Run(self.name, name[1] if name else "?", self.record.now())
        self.runs.append(run)
        self.record.write(f"{self.name}: begins {run.name}")
        event = self._sessions[key] = asyncio.Event()
        try:
            await asyncio.wait_for(event.wait(), int(work[1]) / 1000 if work else 0.001)
            run.how = "cancelled"
            answer = pack_error("57014", "canceling statement due to user request")
        except TimeoutError:
            run.how = "completed"
            row = pack(b"D", struct.pack(">hi", 1, 2) + b"ok")
            column = b"\0\1v\0" + struct.pack(">ihihih", 0, 0, 25, -1, -1, 0)
            answer = pack(b"T", column) + row + pack(b"C", b"SELECT 1\0")
        finally:
            del self._sessions[key]
            run.ended = self.record.now()
        self.record.write(f"{self.name}: {run.how} {run.name}")
        writer.write(answer + READY)


class PgClient:
    """A client's session. Simple queries, one at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.key = b""

    @classmethod
    async def connect(cls, address: tuple[str, int], options: str = "", timeout_s: float = 5.0) -> PgClient:
        client = cls(*await asyncio.wait_for(asyncio.open_connection(*address), timeout_s))
        pairs = [("user", "cusco"), ("database", "registro")] + ([("options", options)] if options else [])
        body = struct.pack(">I", STARTUP_CODE) + b"".join(f"{k}\0{v}\0".encode() for k, v in pairs) + b"\0"
        client.writer.write(struct.pack(">I", len(body) + 4) + body)
        await asyncio.wait_for(client._until_ready(), timeout_s)
        return client

    async def _until_ready(self) -> str:
        answer = "no answer"
        while True:
            kind = await self.reader.readexactly(1)
            length = struct.unpack(">I", await self.reader.readexactly(4))[0]
            payload = await self.reader.readexactly(length - 4)
            if kind == b"Z":
                return answer
            if kind == b"K":
                self.key = payload
            elif kind == b"C":
                answer = "served"
            elif kind == b"E":
                fields = {part[:1]: part[1:].decode() for part in payload.split(b"\0") if part}
                answer = f"{fields.get(b'C')} {fields.get(b'M')}"
                if fields.get(b"S") == "FATAL":
                    return answer

    async def query(self, sql: str) -> str:
        """Send a statement and return its final answer, or how the connection ended."""
        try:
            self.writer.write(pack(b"Q", sql.encode() + b"\0"))
            return await self._until_ready()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            return "connection ended"

    def close(self) -> None:
        self.writer.transport.abort()


async def cancel(address: tuple[str, int], key: bytes) -> None:
    """Send a CancelRequest for the session with this key."""
    _, writer = await asyncio.open_connection(*address)
    writer.write(struct.pack(">II", 16, CANCEL_CODE) + key)
    await writer.drain()
    writer.close()
