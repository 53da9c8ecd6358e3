"""Stand-in engines of both wires and a directory for one real process of the program, on loopback sockets.

They record what they saw: engines their attempts, the directory its questions. Owned by the fault runs on system calls,
connection cuts and slow start.
"""

from __future__ import annotations

import asyncio
import struct
import time
from dataclasses import dataclass, field

from decklb.net import dns, resp
from decklb.pg import messages as pg

WORK_S = 0.005  # that a statement runs
RUNNING = float("inf")  # end of an attempt that has not ended
AUTHORITATIVE = 0x8400  # DNS flags: a response, authoritative
SRV_PORT_FIELDS = ">HHH"  # priority, weight, port
ROWS = b"a\tb\tc\n"


@dataclass(slots=True)
class RecordedAttempt:
    """One attempt at one engine; times are seconds of the monotonic clock."""

    name: str
    began: float
    ended: float = RUNNING


@dataclass(slots=True)
class RecordingEngine:
    """What the engines of both wires share.

    Attributes:
        work_s: That a statement runs.
        port: Where it listens, once started.
        attempts: That it saw, in order.
        writers: Of its open connections.
        answer_size: Bytes of its latest answer.
    """

    work_s: float = WORK_S
    port: int = 0
    attempts: list[RecordedAttempt] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    answer_size: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port of its own."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Close every connection, as an engine may that finds them idle."""
        for writer in self.writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        running: dict[str, RecordedAttempt] = {}
        try:
            await self.session(reader, writer, running)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for attempt in running.values():
                attempt.ended = min(attempt.ended, time.monotonic())
            self.writers.discard(writer)
            writer.close()

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, running: dict[str, RecordedAttempt]
    ) -> None:
        """Speak the engine's wire on one connection until it ends."""
        raise NotImplementedError

    def begin(self, name: str, running: dict[str, RecordedAttempt]) -> RecordedAttempt:
        """Record that an attempt has begun."""
        attempt = running[name] = RecordedAttempt(name, time.monotonic())
        self.attempts.append(attempt)
        return attempt


class RespEngine(RecordingEngine):
    """An engine of the platform: every statement gives one row."""

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, running: dict[str, RecordedAttempt]
    ) -> None:
        """Answer statements, and record them."""
        parser = resp.RespReader()
        while data := await reader.read(65536):
            for parts in parser.feed(data):
                name = parts[1].decode()
                if parts[0] == b"do":
                    attempt = self.begin(name, running)
                    asyncio.get_running_loop().call_later(self.work_s, self._answer, writer, name, attempt)
                elif parts[0] == b"undo" and name in running:
                    running[name].ended = min(running[name].ended, time.monotonic())

    def _answer(self, writer: asyncio.StreamWriter, name: str, attempt: RecordedAttempt) -> None:
        if attempt.ended == RUNNING and not writer.is_closing():
            attempt.ended = time.monotonic()
            answer = resp.pack(name.encode(), b"data", b"parts=1", ROWS)
            self.answer_size = len(answer)
            writer.write(answer)


class PgEngine(RecordingEngine):
    """An engine that speaks PostgreSQL's protocol 3.0, as far as simple queries go."""

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, running: dict[str, RecordedAttempt]
    ) -> None:
        """Answer statements, and record them."""
        size, code = struct.unpack(">II", await reader.readexactly(8))
        await reader.readexactly(size - 8)
        if code == pg.CANCEL_REQUEST_CODE:
            return
        writer.write(pg.pack(b"R", b"\0\0\0\0") + pg.pack(b"K", struct.pack(">II", 1, 1)) + pg.READY_FOR_QUERY)
        while (kind := await reader.readexactly(1)) != b"X":
            body = await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big") - 4)
            if kind == b"Q":
                attempt = self.begin(body[:-1].decode().partition("'")[2][:-1], running)
                await asyncio.sleep(self.work_s)
                attempt.ended = time.monotonic()
                answer = (
                    pg.pack(b"D", struct.pack(">hi", 1, 1) + b"x") + pg.pack(b"C", b"SELECT 1\0") + pg.READY_FOR_QUERY
                )
                self.answer_size = len(answer)
                writer.write(answer)


class StandinDirectory(asyncio.DatagramProtocol):
    """A DNS directory that answers each question with its complete list.

    Attributes:
        engine_ports: Port of each engine, by its id.
        started_ms: Unix time of start of engines that started late.
        serial: Of the list.
        questions: Received so far.
        port: Where it listens, once started.
    """

    def __init__(self, engine_ports: dict[str, int]) -> None:
        self.engine_ports, self.questions, self.port = engine_ports, 0, 0
        self.started_ms: dict[str, int] = {}
        self.serial = 1
        self._transport: asyncio.DatagramTransport | None = None

    def add(self, engine: str, port: int, started_ms: int) -> None:
        """Add an engine that started at that Unix time, in ms."""
        self.engine_ports[engine], self.started_ms[engine] = port, started_ms
        self.serial += 1

    async def start(self) -> None:
        """Listen on a port of its own."""
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self._transport = transport
        self.port = transport.get_extra_info("sockname")[1]

    def stop(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Answer one question."""
        self.questions += 1
        if self._transport is not None:
            self._transport.sendto(answer(data, self.engine_ports, self.started_ms, self.serial), addr)


def answer(question: bytes, engine_ports: dict[str, int], started_ms: dict[str, int], serial: int) -> bytes:
    """Return the complete list as the response to a question (RFC 1035; SRV records, RFC 2782)."""
    question_section = question[dns.HEADER.size :]
    records = b""
    for engine, port in engine_ports.items():
        target = _name(f"{engine}.z.hosts")
        records += _record(b"\xc0\x0c", dns.SRV, struct.pack(SRV_PORT_FIELDS, 0, 80, port) + target)
        records += _record(target, dns.A, bytes([127, 0, 0, 1]))
        records += _record(
            target, dns.TXT, b"".join(_text(t) for t in ("kind=k", "cell=0", f"started={started_ms.get(engine, 0)}"))
        )
    records += _record(b"\xc0\x0c", dns.SOA, _name("ns") + _name("me") + struct.pack(">5I", serial, 0, 0, 0, 0))
    head = dns.HEADER.pack(int.from_bytes(question[:2], "big"), AUTHORITATIVE, 1, 3 * len(engine_ports), 1, 0)
    return head + question_section + records


def _name(text: str) -> bytes:
    return b"".join(_text(label) for label in text.split(".")) + b"\0"


def _text(text: str) -> bytes:
    return bytes([len(text)]) + text.encode()


def _record(owner: bytes, kind: int, data: bytes) -> bytes:
    return owner + struct.pack(">HHIH", kind, 1, 0, len(data)) + data
