"""A stand-in PostgreSQL engine, and a client, of the protocol 3.0 (simple queries)."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from review.rig2.case import Case

CANCEL_CODE, SSL_CODE = 80_877_102, 80_877_103
READY = b"Z\0\0\0\5I"


def pack(kind: bytes, payload: bytes = b"") -> bytes:
    """Return an encoded message."""
    return kind + struct.pack(">I", 4 + len(payload)) + payload


def rows(values: list[str]) -> bytes:
    """Return a result of one text column."""
    out = [pack(b"T", b"\0\1v\0" + struct.pack(">ihihih", 0, 0, 25, -1, -1, 0))]
    out += [pack(b"D", struct.pack(">hi", 1, len(value.encode())) + value.encode()) for value in values]
    return b"".join(out) + pack(b"C", f"SELECT {len(values)}\0".encode())


def without_description(answer: bytes) -> bytes:
    """Return a result without its RowDescription, as Execute returns it."""
    if answer[:1] != b"T":
        return answer
    return answer[1 + struct.unpack(">I", answer[1:5])[0] :]


def error(code: str, text: str) -> bytes:
    """Return an ErrorResponse."""
    return pack(b"E", f"SERROR\0VERROR\0C{code}\0M{text}\0\0".encode())


@dataclass
class Execution:
    """One execution of a statement at an engine. Times are on the monotonic clock, in s."""

    engine: str
    sql: str
    began_s: float
    ended_s: float | None = None
    end: str = "running"  # then: completed, cancelled


class Engine:
    """An engine that executes statements for the time that they state, `work=MS`, and 20 ms without it.

    As on a real engine an execution goes on when its connection ends, and ends early when it is cancelled.
    """

    def __init__(self, case: Case, name: str, late_s: float = 0.0) -> None:
        """`late_s`: after which time a new connection is read for the first time."""
        self.case, self.name, self._late_s = case, name, late_s
        self.sessions = 0  # connections so far
        self.executions: list[Execution] = []
        self.answer: Callable[[str], bytes] = lambda sql: rows([f"{self.name}: {sql[:60]}"])
        # Called after an execution; returns whether its connection is to be reset instead of answered.
        self.reset_after: Callable[[Execution], bool] = lambda execution: False
        self.port = 0
        self._running: dict[bytes, asyncio.Event] = {}
        self._count = 0
        self._server: asyncio.Server | None = None
        case.cleanups.append(self.stop)

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 22)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the port."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.sessions += 1
        try:
            await asyncio.sleep(self._late_s)
            while True:
                size, code = struct.unpack(">II", await reader.readexactly(8))
                body = await reader.readexactly(size - 8)
                if code != SSL_CODE:
                    break
                writer.write(b"N")
            if code == CANCEL_CODE:
                if (event := self._running.get(body)) is not None:
                    event.set()
                return
            self._count += 1
            key = struct.pack(">II", self._count, 4711 + self._count)
            writer.write(pack(b"R", b"\0\0\0\0") + pack(b"K", key) + READY)
            prepared: dict[bytes, str] = {}
            bound, described, out = "", False, b""
            while (kind := await reader.readexactly(1)) != b"X":
                (size,) = struct.unpack(">I", await reader.readexactly(4))
                body = await reader.readexactly(size - 4)
                if kind == b"Q":
                    execution, answer = await self._execute(body[:-1].decode(), key)
                    if self.reset_after(execution):
                        self.case.record.write(f"{self.name}: the connection is reset, without an answer")
                        writer.transport.abort()
                        return
                    writer.write(answer + READY)
                elif kind == b"P":
                    name, _, rest = body.partition(b"\0")
                    prepared[name], out = rest.partition(b"\0")[0].decode(), out + pack(b"1")
                elif kind == b"B":
                    name = body.split(b"\0")[1]
                    bound, described, out = prepared[name], False, out + pack(b"2")
                elif kind == b"D":
                    described = True
                elif kind == b"E":
                    execution, answer = await self._execute(bound, key)
                    out += without_description(answer) if not described else answer
                elif kind == b"S":
                    writer.write(out + READY)
                    out = b""
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _execute(self, sql: str, key: bytes) -> tuple[Execution, bytes]:
        execution = Execution(self.name, sql, time.monotonic())
        self.executions.append(execution)
        self.case.record.write(f"{self.name}: begins {sql[:90]}")
        cancelled = self._running[key] = asyncio.Event()
        work = re.search(r"work=(\d+)", sql)
        try:
            await asyncio.wait_for(cancelled.wait(), int(work[1]) / 1000 if work else 0.02)
            execution.end, answer = "cancelled", error("57014", "canceling statement due to user request")
        except TimeoutError:
            execution.end, answer = "completed", self.answer(sql)
        self._running.pop(key, None)
        execution.ended_s = time.monotonic()
        self.case.record.write(f"{self.name}: {execution.end} {sql[:90]}")
        return execution, answer


@dataclass
class Answer:
    """The final answer to a statement: its rows, or an error; `lost` if the connection ended without one."""

    values: list[str]
    sqlstate: str = ""
    text: str = ""
    lost: bool = False

    def __str__(self) -> str:
        if self.lost:
            return "no answer: the connection ended"
        return f"error {self.sqlstate} {self.text}" if self.sqlstate else f"rows {[v[:60] for v in self.values]}"


class Client:
    """A client's session."""

    def __init__(self, port: int, receive_buffer: int = 0) -> None:
        """`receive_buffer`: size of the socket's receive buffer, 0 for the usual one."""
        self.port, self._receive_buffer = port, receive_buffer
        self.key = b""
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter

    async def connect(self, **parameters: str) -> Client:
        """Open the session; parameters with a dot go into the options of the startup message."""
        connection = socket.socket()
        if self._receive_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", self.port))
        limit = self._receive_buffer or 1 << 22
        self._reader, self._writer = await asyncio.open_connection(sock=connection, limit=limit)
        options = " ".join(f"-c {name}={value}" for name, value in parameters.items())
        body = b"user\0reportes\0options\0" + options.encode() + b"\0\0"
        self._writer.write(struct.pack(">II", 8 + len(body), 196_608) + body)
        answer = await self._until_ready()
        if answer.sqlstate or answer.lost:
            raise ConnectionError(str(answer))
        return self

    async def query(self, sql: str) -> Answer:
        """Send a statement and return its final answer."""
        self._writer.write(pack(b"Q", sql.encode() + b"\0"))
        return await self._until_ready()

    def send_query(self, sql: str) -> None:
        """Send a statement without waiting for its answer."""
        self._writer.write(pack(b"Q", sql.encode() + b"\0"))

    async def next_answer(self) -> Answer:
        """Return the next final answer."""
        return await self._until_ready()

    def pause(self) -> None:
        """Read nothing any more."""
        self._writer.transport.pause_reading()  # type: ignore[attr-defined]

    def resume(self) -> None:
        """Read on."""
        self._writer.transport.resume_reading()  # type: ignore[attr-defined]

    async def extended(self, sql: str, describe: bool) -> Answer:
        """Run a statement without parameters by the extended query protocol, with or without Describe."""
        out = pack(b"P", b"\0" + sql.encode() + b"\0\0\0") + pack(b"B", b"\0\0" + 3 * b"\0\0")
        out += pack(b"D", b"P\0") if describe else b""
        self._writer.write(out + pack(b"E", b"\0" + 4 * b"\0") + pack(b"S"))
        return await self._until_ready()

    async def cancel(self) -> None:
        """Send a CancelRequest for this session, and wait until it was read."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(struct.pack(">II", 16, CANCEL_CODE) + self.key)
        await reader.read()
        writer.close()

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    def abort(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    async def _until_ready(self) -> Answer:
        answer = Answer([])
        try:
            while True:
                header = await self._reader.readexactly(5)
                body = await self._reader.readexactly(struct.unpack(">I", header[1:])[0] - 4)
                kind = header[:1]
                if kind == b"K":
                    self.key = body
                elif kind == b"D":
                    answer.values.append(body[6:].decode())
                elif kind == b"E":
                    fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                    answer.sqlstate, answer.text = fields[b"C"], fields[b"M"]
                elif kind == b"Z":
                    return answer
        except (asyncio.IncompleteReadError, ConnectionError):
            if not answer.sqlstate:
                answer.lost = True
            return answer


async def ask(port: int, sql: str, timeout_s: float, **parameters: str) -> Answer:
    """Send a statement on a session of its own."""

    async def run() -> Answer:
        try:
            client = await Client(port).connect(**parameters)
        except (OSError, ConnectionError) as failure:
            return Answer([], lost=True, text=str(failure))
        try:
            return await client.query(sql)
        finally:
            client.close()

    try:
        return await asyncio.wait_for(run(), timeout_s)
    except TimeoutError:
        return Answer([], lost=True, text="no answer in time")


Task = Callable[[], Awaitable[None]]
