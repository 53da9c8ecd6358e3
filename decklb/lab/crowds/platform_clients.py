"""Clients of the platform's frames for crowd runs: those that cost the manager something, and usual ones.

Every client repeats what its crowd does until its task is cancelled. The manager may end its connection at any time; a
whole request without an answer is then counted as lost.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

from decklb.lab.crowds.reports import AnswerKind, ClientReport, ClientTask
from decklb.lab.crowds.shapes import Crowd, CrowdKind
from decklb.net import frames

PIECE_BYTES = 1024
PIECE_INTERVAL_S = 0.008  # between two pieces of a request that is sent slowly
MAX_FIELDS = 255
FLOOD_BATCH = 200  # frames that a flooding client writes at once
HOLD_S = 3.0  # for which a client waits after what it sent in part
RECONNECT_S = 0.05
ANSWER_GRACE_S = 1.0  # after the budget; a request that has no answer then is lost
USUAL_INTERVAL_S = 0.05  # between two requests of a usual client
USUAL_REQUEST_BYTES = 1000
TABLE_GROUPS = 50
MAX_INCIDENTS = 20
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: closing sends a reset
UNKNOWN_FRAME_TYPE = 77
NO_FIELDS = frames.pack_fields({})
SHORT_FIELDS = frames.pack_fields(dict.fromkeys((f"f{number}" for number in range(MAX_FIELDS - 4)), "v"))


class FrameClient:
    """One connection: writes requests, and counts their answers in the report."""

    def __init__(self, task: ClientTask, report: ClientReport, name: str, rng: random.Random) -> None:
        """`name`: 8 hexadecimal digits with which the ids of its requests begin; `rng` draws what it does."""
        self.rng = rng
        self.task, self.report, self.name = task, report, name
        self.open: dict[int, float] = {}  # streams without an answer, with the time of their last byte
        self.answered: set[int] = set()
        self.ended = asyncio.Event()  # the manager has ended the connection
        self.some_answer = asyncio.Event()
        self.measures_times = False
        self._streams = itertools.count(1)
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self._connected = False
        self._reading: asyncio.Task[None] | None = None

    async def connect(self, reads_answers: bool = True) -> None:
        """Open the connection. Raises OSError."""
        self.reader, self.writer = await asyncio.open_connection(self.task.host, self.task.port)
        self._connected = True
        self.report.connections += 1
        if reads_answers:
            self._reading = asyncio.create_task(self._read_answers())

    def request(self, size: int, more_fields: bytes = NO_FIELDS) -> tuple[int, bytes]:
        """Return a new stream and the frame of a request of this size in bytes, with further encoded fields."""
        stream = next(self._streams)
        fields = {
            "method": "read",
            "rid": f"{self.name}{stream:08x}",
            "budget": str(self.task.budget_ms),
            "acct": "t",
        }
        encoded = frames.pack_fields(fields)
        head = bytes([encoded[0] + more_fields[0]]) + encoded[1:] + more_fields[1:]
        head += b"select 1 from s_%d.t -- " % (stream % TABLE_GROUPS)
        padding = max(0, size - len(head) - frames.HEADER.size)
        return stream, frames.pack(frames.REQUEST, stream, head + b"x" * padding)

    def sent(self, stream: int) -> None:
        """Note that the last byte of a request has been written."""
        self.open[stream] = time.monotonic()

    async def send_whole(self, size: int) -> None:
        """Send one whole request."""
        stream, frame = self.request(size)
        self.writer.write(frame)
        self.sent(stream)
        await self.writer.drain()

    async def wait_for_answers(self) -> None:
        """Wait until every open request has its answer, the connection has ended, or the time is over."""
        end = time.monotonic() + self.task.budget_ms / 1000 + ANSWER_GRACE_S
        while self.open and not self.ended.is_set():
            self.some_answer.clear()
            try:
                await asyncio.wait_for(self.some_answer.wait(), max(0.0, end - time.monotonic()))
            except TimeoutError:
                return self._count_lost("no answer in time")

    async def _read_answers(self) -> None:
        try:
            while True:
                length, frame_type, stream = frames.HEADER.unpack(await self.reader.readexactly(frames.HEADER.size))
                payload = await self.reader.readexactly(length - frames.MIN_LENGTH)
                if frame_type == frames.ANSWER and stream:
                    self._answer(stream, payload[0])
        except (OSError, EOFError):
            pass
        self._count_lost("the connection ended")
        self.ended.set()
        self.some_answer.set()

    def _answer(self, stream: int, code: int) -> None:
        sent_at = self.open.pop(stream, None)
        if sent_at is None and stream in self.answered:
            self.report.count(AnswerKind.REPEATED)
            self._note(f"stream {stream} of {self.name} has two answers")
            return
        self.answered.add(stream)
        kinds = {frames.SERVED: AnswerKind.SERVED, frames.REJECTED: AnswerKind.REJECTED}
        self.report.count(kinds.get(code, AnswerKind.FAILED))
        if self.measures_times and sent_at is not None:
            self.report.times_ms.append(1000 * (time.monotonic() - sent_at))
        self.some_answer.set()

    def _count_lost(self, why: str) -> None:
        for stream, sent_at in self.open.items():
            self.report.count(AnswerKind.LOST)
            self.report.lost_spans.append((sent_at, time.monotonic()))
            self._note(f"stream {stream} of {self.name}: {why}")
        self.open.clear()

    def _note(self, text: str) -> None:
        if len(self.report.incidents) < MAX_INCIDENTS:
            self.report.incidents.append(text)

    async def leave(self, reset: bool = False) -> None:
        """Close or reset the connection and note when."""
        self.open.clear()
        if reset:
            raw: socket.socket = self.writer.get_extra_info("socket")
            with suppress(OSError):
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.close()
        await asyncio.sleep(0)  # the transport closes its socket in the next pass of the loop
        self.report.left_at[self.name] = time.monotonic()

    def close(self) -> None:
        """Close the socket at once; requests that are open then are not counted."""
        self.open.clear()
        if self._reading is not None:
            self._reading.cancel()
        if self._connected and not self.writer.transport.is_closing():
            if self.writer.transport.get_write_buffer_size():
                self.writer.transport.abort()  # what is unsent would delay the close
            else:
                self.writer.close()


Behaviour = Callable[[FrameClient, Crowd], Awaitable[None]]


async def _whole_and_partial(client: FrameClient, crowd: Crowd) -> None:
    await client.send_whole(crowd.request_bytes)
    await _partial(client, crowd)


async def _whole(client: FrameClient, crowd: Crowd) -> None:
    await client.send_whole(crowd.request_bytes)
    await client.wait_for_answers()


async def _pipelined(client: FrameClient, crowd: Crowd) -> None:
    for _ in range(crowd.requests):
        await client.send_whole(crowd.request_bytes)
    await client.wait_for_answers()


async def _partial(client: FrameClient, crowd: Crowd) -> None:
    _, frame = client.request(crowd.request_bytes)
    client.writer.write(frame[:-1])
    await client.writer.drain()
    with suppress(TimeoutError):
        await asyncio.wait_for(client.ended.wait(), HOLD_S)


async def _trickled(client: FrameClient, crowd: Crowd) -> None:
    stream, frame = client.request(crowd.request_bytes)
    for start in range(0, len(frame), PIECE_BYTES):
        client.writer.write(frame[start : start + PIECE_BYTES])
        await client.writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)
        if client.ended.is_set():
            return
    client.sent(stream)
    await client.wait_for_answers()


async def _short_fields(client: FrameClient, crowd: Crowd) -> None:
    for _ in range(crowd.requests):
        stream, frame = client.request(0, SHORT_FIELDS)
        client.writer.write(frame)
        client.sent(stream)
    await client.writer.drain()
    await client.wait_for_answers()


async def _leaving(client: FrameClient, crowd: Crowd) -> None:
    for _ in range(crowd.requests):
        client.writer.write(client.request(crowd.request_bytes)[1])
    await asyncio.sleep(client.rng.uniform(0.0, crowd.leave_after_ms) / 1000)
    await client.leave(reset=crowd.kind is CrowdKind.RESETTING)


async def _unread(client: FrameClient, crowd: Crowd) -> None:
    while not client.ended.is_set():
        for _ in range(crowd.requests):
            client.writer.write(client.request(crowd.request_bytes)[1])
        await client.writer.drain()
        await asyncio.sleep(PIECE_INTERVAL_S)
        if client.writer.transport.is_closing():
            return


async def _flood(client: FrameClient, frame_of: Callable[[int], bytes]) -> None:
    numbers = itertools.count(1)
    while not client.ended.is_set():
        client.writer.write(b"".join(frame_of(next(numbers)) for _ in range(FLOOD_BATCH)))
        await client.writer.drain()
        await asyncio.sleep(0)  # drain alone does not let others run while nothing is unsent
        if client.writer.transport.is_closing():
            return


async def _cancels(client: FrameClient, _crowd: Crowd) -> None:
    await _flood(client, lambda number: frames.pack(frames.CANCEL, number))


async def _readiness(client: FrameClient, _crowd: Crowd) -> None:
    await _flood(client, lambda number: frames.pack(frames.READINESS_QUERY, 0, b"\0"))


async def _unknown_types(client: FrameClient, _crowd: Crowd) -> None:
    await _flood(client, lambda number: frames.pack(UNKNOWN_FRAME_TYPE, number))


async def _new_names(client: FrameClient, _crowd: Crowd) -> None:
    def frame_of(number: int) -> bytes:
        fields = {
            "method": "read",
            "rid": f"{client.name}{number:08x}",
            "budget": str(client.task.budget_ms),
            "acct": "t",
            "obj": f"key-{client.name}-{number}",
            "token": f"{client.name}{number:08x}",
        }
        statement = b"select 1 from s_%d.t" % client.rng.randrange(1 << 30)
        return frames.pack(frames.REQUEST, number, frames.pack_fields(fields) + statement)

    await _flood(client, frame_of)


BEHAVIOURS: dict[CrowdKind, Behaviour] = {
    CrowdKind.WHOLE_AND_PARTIAL: _whole_and_partial,
    CrowdKind.WHOLE: _whole,
    CrowdKind.PIPELINED: _pipelined,
    CrowdKind.PARTIAL: _partial,
    CrowdKind.TRICKLED: _trickled,
    CrowdKind.SHORT_FIELDS: _short_fields,
    CrowdKind.LEAVING: _leaving,
    CrowdKind.RESETTING: _leaving,
    CrowdKind.UNREAD: _unread,
    CrowdKind.CANCELS: _cancels,
    CrowdKind.READINESS: _readiness,
    CrowdKind.NEW_NAMES: _new_names,
    CrowdKind.UNKNOWN_TYPES: _unknown_types,
}
KEEPS_CONNECTION = (CrowdKind.WHOLE, CrowdKind.PIPELINED, CrowdKind.TRICKLED, CrowdKind.SHORT_FIELDS)


async def run_crowd_client(
    task: ClientTask, crowd: Crowd, report: ClientReport, numbers: itertools.count[int], rng: random.Random
) -> None:
    """Play one client of a crowd until cancelled; it connects again whenever its connection has ended."""
    await asyncio.sleep(crowd.starts_after_s)
    client: FrameClient | None = None
    try:
        while True:
            if client is None or client.ended.is_set() or crowd.kind not in KEEPS_CONNECTION:
                if client is not None:
                    client.close()
                client = FrameClient(task, report, f"{next(numbers):08x}", rng)
                try:
                    await client.connect(reads_answers=crowd.kind is not CrowdKind.UNREAD)
                except OSError:
                    client = None
                    await asyncio.sleep(RECONNECT_S)
                    continue
            with suppress(OSError):
                await BEHAVIOURS[crowd.kind](client, crowd)
            if client.ended.is_set():
                await asyncio.sleep(RECONNECT_S)
    finally:
        if client is not None:
            client.close()


async def run_usual_client(task: ClientTask, report: ClientReport, name: str) -> None:
    """Send small requests, one after another on one connection, until cancelled."""
    client: FrameClient | None = None
    try:
        while True:
            if client is None or client.ended.is_set():
                client = FrameClient(task, report, name, random.Random(task.seed))
                client.measures_times = True
                try:
                    await client.connect()
                except OSError:
                    client = None
                    await asyncio.sleep(RECONNECT_S)
                    continue
                name = f"{int(name, 16) + 0x10000:08x}"
            with suppress(OSError):
                await client.send_whole(USUAL_REQUEST_BYTES)
                await client.wait_for_answers()
            await asyncio.sleep(USUAL_INTERVAL_S)
    finally:
        if client is not None:
            client.close()
