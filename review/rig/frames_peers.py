"""Stand-ins on the platform's protocols: an engine over RESP, a client over frames, a directory over DNS."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable
from typing import Any

from rig.process import Record

HEADER = struct.Struct(">IBI")
REQUEST, ANSWER, CANCEL, READY_ASKED, READY, GO_AWAY = 1, 2, 3, 4, 5, 6
CODES = {0: "refused", 1: "served", 9: "failed"}


def pack_frame(kind: int, stream: int, payload: bytes = b"") -> bytes:
    return HEADER.pack(5 + len(payload), kind, stream) + payload


def pack_fields(fields: dict[str, str]) -> bytes:
    out = bytes([len(fields)])
    for name, value in fields.items():
        out += bytes([len(name)]) + name.encode() + len(value).to_bytes(2, "big") + value.encode()
    return out


def pack_resp(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(part), part) for part in parts)


class RespEngine:
    """An engine. `behave(id, statement)` gives how long a statement runs in s, and the answer: ok or an error."""

    def __init__(self, name: str, record: Record, behave: Callable[[str, bytes], tuple[float, bool]]) -> None:
        self.name, self.record, self.behave = name, record, behave
        self.port = 0
        self.count = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        running: dict[bytes, asyncio.TimerHandle] = {}
        loop = asyncio.get_running_loop()
        try:
            while True:
                count = int((await reader.readuntil(b"\r\n"))[1:])
                parts = []
                for _ in range(count):
                    size = int((await reader.readuntil(b"\r\n"))[1:])
                    parts.append((await reader.readexactly(size + 2))[:-2])
                if parts[0] == b"do":
                    self.count += 1
                    seconds, ok = self.behave(parts[1].decode(), parts[3])
                    answer = pack_resp(parts[1], b"data", b"parts=1", b"1\tok\t.\n") if ok else pack_resp(
                        parts[1], b"failed", b"-", b"no such table")

                    def end(rid: bytes = parts[1], answer: bytes = answer) -> None:
                        running.pop(rid, None)
                        writer.write(answer)

                    running[parts[1]] = loop.call_later(seconds, end)
                elif parts[0] == b"undo" and parts[1] in running:
                    running.pop(parts[1]).cancel()
                elif parts[0] == b"ping":
                    writer.write(pack_resp(parts[1], b"well", b"-", b""))
        except (OSError, EOFError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            for timer in running.values():
                timer.cancel()
            self._writers.discard(writer)
            writer.transport.abort()


class FrameClient:
    """A client on one connection, with at most 32 requests open on it."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.stream = 0
        self.waiting: dict[int, asyncio.Future[str]] = {}
        self.ended = False
        self._task = asyncio.ensure_future(self._read())

    @classmethod
    async def connect(cls, port: int) -> FrameClient:
        return cls(*await asyncio.open_connection("127.0.0.1", port))

    async def _read(self) -> None:
        try:
            while True:
                length, kind, stream = HEADER.unpack(await self.reader.readexactly(HEADER.size))
                payload = await self.reader.readexactly(length - 5)
                future = self.waiting.pop(stream, None)
                if future is not None and not future.done():
                    future.set_result(CODES.get(payload[0], "?") if kind == ANSWER else f"ready={payload[0]}")
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.ended = True
            for future in self.waiting.values():
                if not future.done():
                    future.set_result("connection ended")
            self.waiting.clear()

    def send(self, fields: dict[str, str], body: bytes, kind: int = REQUEST) -> asyncio.Future[str]:
        self.stream += 1
        future: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        if self.ended:
            future.set_result("connection ended")
            return future
        self.waiting[self.stream] = future
        payload = b"" if kind == CANCEL else pack_fields(fields) + body
        self.writer.write(pack_frame(kind, self.stream, payload))
        return future

    def close(self) -> None:
        self._task.cancel()
        self.writer.transport.abort()


async def ready(port: int) -> bool:
    """Ask with type 4 whether the workload manager is ready."""
    client = await FrameClient.connect(port)
    try:
        return await asyncio.wait_for(client.send({}, b"", READY_ASKED), 2.0) == "ready=1"
    finally:
        client.close()


class Directory(asyncio.DatagramProtocol):
    """The directory over DNS; it answers each query after `delay_s`, with the list and the number of that moment."""

    def __init__(self, entries: dict[str, tuple[int, int]], delay_s: float = 0.0) -> None:
        self.entries = entries  # by id: port, priority
        self.delay_s = delay_s
        self.serial = 1
        self.queries = 0
        self.transport: Any = None
        self.port = 0

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=("127.0.0.1", 0))

    def connection_made(self, transport: Any) -> None:
        self.transport, self.port = transport, transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self.queries += 1
        asyncio.get_running_loop().call_later(self.delay_s, self._answer, data, addr)

    def _answer(self, query: bytes, addr: Any) -> None:
        question = query[12:]
        answers, additional, count = b"", b"", 0
        name = _name("_api._tcp.svc.local")
        for engine, (port, priority) in self.entries.items():
            target = _name(f"{engine}.sala-lima.hosts")
            answers += _rr(name, 33, struct.pack(">HHH", priority, 80, port) + target)
            additional += _rr(target, 1, bytes([127, 0, 0, 1]))
            texts = [b"kind=nodo-a", b"cell=0", b"started=0"]
            additional += _rr(target, 16, b"".join(bytes([len(text)]) + text for text in texts))
            count += 1
        soa = _rr(_name("svc.local"), 6, _name("ns.local") + _name("admin.local")
                  + struct.pack(">IIIII", self.serial, 1, 1, 1, 1))  # fmt: skip
        header = query[:2] + struct.pack(">HHHHH", 0x8400, 1, count, 1, 2 * count)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.sendto(header + question + answers + soa + additional, addr)

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.close()


def _name(name: str) -> bytes:
    return b"".join(bytes([len(label)]) + label.encode() for label in name.split(".")) + b"\0"


def _rr(name: bytes, kind: int, data: bytes) -> bytes:
    return name + struct.pack(">HHIH", kind, 1, 0, len(data)) + data
