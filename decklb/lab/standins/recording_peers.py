"""Engines and a directory for one real process of the program, on loopback sockets, that keep what they saw."""

from __future__ import annotations

import asyncio
import struct
import time
from dataclasses import dataclass, field

from decklb.net import dns, resp
from decklb.pg import messages as pg

WORK = 0.005  # seconds that a statement runs
ROWS = b"a\tb\tc\n"


@dataclass(slots=True)
class Run:
    """One attempt at one engine, in seconds of the monotonic clock."""

    name: str
    began: float
    ended: float = float("inf")


@dataclass(slots=True)
class Engine:
    """What all engines of a test share: the attempts that they saw, and their open connections."""

    work: float = WORK  # seconds that a statement runs
    port: int = 0
    runs: list[Run] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    answer_size: int = 0  # bytes of one answer
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
        running: dict[str, Run] = {}
        try:
            await self.session(reader, writer, running)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            for run in running.values():
                run.ended = min(run.ended, time.monotonic())
            self.writers.discard(writer)
            writer.close()

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, running: dict[str, Run]
    ) -> None:
        """Speak the engine's wire on one connection until it ends."""
        raise NotImplementedError

    def begin(self, name: str, running: dict[str, Run]) -> Run:
        """Note that an attempt has begun."""
        run = running[name] = Run(name, time.monotonic())
        self.runs.append(run)
        return run


class RespPeer(Engine):
    """An engine of the platform: every statement gives one row."""

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, running: dict[str, Run]
    ) -> None:
        """See Engine."""
        parser = resp.RespReader()
        while data := await reader.read(65536):
            for parts in parser.feed(data):
                name = parts[1].decode()
                if parts[0] == b"do":
                    run = self.begin(name, running)
                    asyncio.get_running_loop().call_later(self.work, self._answer, writer, name, run)
                elif parts[0] == b"undo" and name in running:
                    running[name].ended = min(running[name].ended, time.monotonic())

    def _answer(self, writer: asyncio.StreamWriter, name: str, run: Run) -> None:
        if run.ended == float("inf") and not writer.is_closing():
            run.ended = time.monotonic()
            answer = resp.pack(name.encode(), b"data", b"parts=1", ROWS)
            self.answer_size = len(answer)
            writer.write(answer)


class PgPeer(Engine):
    """An engine that speaks PostgreSQL's protocol 3.0, as far as simple queries go."""

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, running: dict[str, Run]
    ) -> None:
        """See Engine."""
        size, code = struct.unpack(">II", await reader.readexactly(8))
        await reader.readexactly(size - 8)
        if code == pg.CANCEL_REQUEST_CODE:
            return
        writer.write(pg.pack(b"R", b"\0\0\0\0") + pg.pack(b"K", struct.pack(">II", 1, 1)) + pg.READY_FOR_QUERY)
        while (kind := await reader.readexactly(1)) != b"X":
            body = await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big") - 4)
            if kind == b"Q":
                run = self.begin(body[:-1].decode().partition("'")[2][:-1], running)
                await asyncio.sleep(self.work)
                run.ended = time.monotonic()
                answer = (
                    pg.pack(b"D", struct.pack(">hi", 1, 1) + b"x") + pg.pack(b"C", b"SELECT 1\0") + pg.READY_FOR_QUERY
                )
                self.answer_size = len(answer)
                writer.write(answer)


class Directory(asyncio.DatagramProtocol):
    """Answers each question with the same list; `asked` counts them."""

    def __init__(self, rows: dict[str, int]) -> None:
        """`rows`: the port of each engine by its id."""
        self.rows, self.asked, self.port = rows, 0, 0
        self.starts: dict[str, int] = {}  # Unix ms of engines that started late
        self.serial = 1
        self._transport: asyncio.DatagramTransport | None = None

    def add(self, engine: str, port: int, started: int) -> None:
        """One more engine, started at that Unix millisecond."""
        self.rows[engine], self.starts[engine] = port, started
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
        """One question."""
        self.asked += 1
        if self._transport is not None:
            self._transport.sendto(answer(data, self.rows, self.starts, self.serial), addr)


def answer(question: bytes, rows: dict[str, int], starts: dict[str, int], serial: int) -> bytes:
    """The whole list, as RFC 1035 and RFC 2782 have it, for the question in a datagram."""
    asked = question[dns.HEADER.size :]
    records = b""
    for engine, port in rows.items():
        target = _name(f"{engine}.z.hosts")
        records += _record(b"\xc0\x0c", dns.SRV, struct.pack(">HHH", 0, 80, port) + target)
        records += _record(target, dns.A, bytes([127, 0, 0, 1]))
        records += _record(
            target, dns.TXT, b"".join(_text(t) for t in ("kind=k", "cell=0", f"started={starts.get(engine, 0)}"))
        )
    records += _record(b"\xc0\x0c", dns.SOA, _name("ns") + _name("me") + struct.pack(">5I", serial, 0, 0, 0, 0))
    head = dns.HEADER.pack(int.from_bytes(question[:2], "big"), 0x8400, 1, 3 * len(rows), 1, 0)
    return head + asked + records


def _name(text: str) -> bytes:
    return b"".join(_text(label) for label in text.split(".")) + b"\0"


def _text(text: str) -> bytes:
    return bytes([len(text)]) + text.encode()


def _record(owner: bytes, kind: int, data: bytes) -> bytes:
    return owner + struct.pack(">HHIH", kind, 1, 0, len(data)) + data
