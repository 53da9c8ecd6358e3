"""Stand-in engines of both wire protocols and a DNS directory for real manager processes, on loopback sockets.

Engines record the attempts that they receive, the directory counts its queries. Used by the fault runs on system
calls, connection cuts and slow start.
"""

from __future__ import annotations

import asyncio
import struct
import time
from dataclasses import dataclass, field

from decklb.net import dns, resp
from decklb.pg import messages as pg

WORK_S = 0.005  # execution time of a statement
RUNNING = float("inf")  # value of `RecordedAttempt.ended` while the attempt runs
AUTHORITATIVE_RESPONSE = 0x8400  # DNS header flags: QR and AA
SRV_FIXED_FIELDS = ">HHH"  # priority, weight, port
RESULT = b"a\tb\tc\n"  # one row of three columns


@dataclass(slots=True)
class RecordedAttempt:
    """One attempt that an engine received.

    Attributes:
        name: Request id, or for PostgreSQL the string literal in the statement.
        began: Time of its start in seconds of the monotonic clock.
        ended: Time of its end on the same clock; RUNNING while it runs.
    """

    name: str
    began: float
    ended: float = RUNNING


@dataclass(slots=True)
class RecordingEngine:
    """Base of the stand-in engines; the subclasses implement a wire protocol.

    Attributes:
        work_s: Execution time of a statement in seconds.
        port: Port on which it listens; 0 for an ephemeral one, before it is started.
        attempts: All attempts that it received, in order of arrival.
        writers: Writers of its open connections.
        answer_size: Size of its latest answer in bytes.
    """

    work_s: float = WORK_S
    port: int = 0
    attempts: list[RecordedAttempt] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    answer_size: int = 0
    _server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on its port, or on an ephemeral one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.drop_connections()

    def drop_connections(self) -> None:
        """Close all connections, as an engine may do with idle ones."""
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
        """Serve one connection until it ends; `running` collects its attempts by name."""
        raise NotImplementedError

    def begin(self, name: str, running: dict[str, RecordedAttempt]) -> RecordedAttempt:
        """Record the start of an attempt."""
        attempt = running[name] = RecordedAttempt(name, time.monotonic())
        self.attempts.append(attempt)
        return attempt


@dataclass(slots=True)
class RespEngine(RecordingEngine):
    """An engine that speaks the platform's RESP protocol; every statement returns one row.

    Attributes:
        max_element_bytes: Largest statement in bytes.
    """

    max_element_bytes: int = resp.MAX_ELEMENT_BYTES

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, running: dict[str, RecordedAttempt]
    ) -> None:
        """Record and answer attempts."""
        parser = resp.RespReader(self.max_element_bytes)
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
            answer = resp.pack(name.encode(), b"data", b"parts=1", RESULT)
            self.answer_size = len(answer)
            writer.write(answer)


class PgEngine(RecordingEngine):
    """An engine that speaks PostgreSQL's protocol 3.0, limited to simple queries."""

    async def session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, running: dict[str, RecordedAttempt]
    ) -> None:
        """Record and answer attempts."""
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
    """A DNS directory that answers each query with the complete endpoint list.

    Attributes:
        engine_ports: Ports of the engines by engine id.
        started_ms: Start times by engine id, as Unix time in ms; engines without one count as started long ago.
        serial: Serial number of the list, which grows with each change.
        questions: Number of queries received so far.
        port: Port on which it listens; 0 before it is started.
    """

    def __init__(self, engine_ports: dict[str, int]) -> None:
        self.engine_ports, self.questions, self.port = engine_ports, 0, 0
        self.started_ms: dict[str, int] = {}
        self.serial = 1
        self._transport: asyncio.DatagramTransport | None = None

    def replace(self, old: str, new: str) -> None:
        """Give the port of an engine to a new one."""
        self.engine_ports[new] = self.engine_ports.pop(old)
        self.serial += 1

    def add(self, engine: str, port: int, started_ms: int) -> None:
        """Add an engine to the list; `started_ms` is its start as Unix time in ms."""
        self.engine_ports[engine], self.started_ms[engine] = port, started_ms
        self.serial += 1

    async def start(self) -> None:
        """Listen on an ephemeral port."""
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
        """Answer one query."""
        self.questions += 1
        if self._transport is not None:
            self._transport.sendto(dns_response(data, self.engine_ports, self.started_ms, self.serial), addr)


def dns_response(query: bytes, engine_ports: dict[str, int], started_ms: dict[str, int], serial: int) -> bytes:
    """Return the response to a DNS query: the complete endpoint list (RFC 1035; SRV records: RFC 2782)."""
    question_section = query[dns.HEADER.size :]
    records = b""
    for engine, port in engine_ports.items():
        target = _encode_name(f"{engine}.z.hosts")
        records += _resource_record(b"\xc0\x0c", dns.SRV, struct.pack(SRV_FIXED_FIELDS, 0, 80, port) + target)
        records += _resource_record(target, dns.A, bytes([127, 0, 0, 1]))
        records += _resource_record(
            target,
            dns.TXT,
            b"".join(_encode_string(t) for t in ("kind=k", "cell=0", f"started={started_ms.get(engine, 0)}")),
        )
    records += _resource_record(
        b"\xc0\x0c", dns.SOA, _encode_name("ns") + _encode_name("me") + struct.pack(">5I", serial, 0, 0, 0, 0)
    )
    header = dns.HEADER.pack(int.from_bytes(query[:2], "big"), AUTHORITATIVE_RESPONSE, 1, 3 * len(engine_ports), 1, 0)
    return header + question_section + records


def _encode_name(text: str) -> bytes:
    return b"".join(_encode_string(label) for label in text.split(".")) + b"\0"


def _encode_string(text: str) -> bytes:
    return bytes([len(text)]) + text.encode()


def _resource_record(owner: bytes, record_type: int, data: bytes) -> bytes:
    return owner + struct.pack(">HHIH", record_type, 1, 0, len(data)) + data
