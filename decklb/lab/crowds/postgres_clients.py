"""Clients of the PostgreSQL protocol for crowd runs: those that cost the manager something, and usual ones.

Every client repeats what its crowd does until its task is cancelled.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from contextlib import suppress

from decklb.lab.crowds.platform_clients import (
    ANSWER_GRACE_S,
    HOLD_S,
    RECONNECT_S,
    USUAL_INTERVAL_S,
    USUAL_REQUEST_BYTES,
)
from decklb.lab.crowds.reports import AnswerKind, ClientReport, ClientTask
from decklb.lab.crowds.shapes import Crowd, CrowdKind
from decklb.pg import messages as pg

SYNC_BATCH = 200
REQUEST_IDENTIFIER = "select '%s' "


class PgClient:
    """One session, with one query at a time."""

    def __init__(self, task: ClientTask, report: ClientReport, name: str) -> None:
        self.task, self.report, self.name = task, report, name
        self._numbers = itertools.count(1)
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter

    async def connect(self) -> None:
        """Open the session. Raises OSError and EOFError."""
        self.reader, self.writer = await asyncio.open_connection(self.task.host, self.task.port)
        self.report.connections += 1
        options = f"-c decklb.class=read -c decklb.budget={self.task.budget_ms}"
        self.writer.write(pg.pack_startup({"user": "u", "options": options}))
        await self.read_until_ready()

    def query(self, size: int) -> bytes:
        """Return a Query message of this size in bytes."""
        text = (REQUEST_IDENTIFIER % f"{self.name}{next(self._numbers):08x}").encode() + b"-- "
        return pg.pack(b"Q", text + b"x" * max(0, size - len(text) - 6) + b"\0")

    async def read_until_ready(self) -> str:
        """Return the types of the messages up to ReadyForQuery. Raises EOFError."""
        types = ""
        while not types.endswith("Z"):
            kind = await self.reader.readexactly(1)
            length = int.from_bytes(await self.reader.readexactly(4), "big")
            await self.reader.readexactly(length - 4)
            types += kind.decode("latin-1")
        return types

    async def ask(self, size: int, measures_times: bool) -> None:
        """Send a query and count its answer."""
        message = self.query(size)
        self.writer.write(message)
        await self.writer.drain()
        sent_at = time.monotonic()
        try:
            types = await asyncio.wait_for(self.read_until_ready(), self.task.budget_ms / 1000 + ANSWER_GRACE_S)
        except (TimeoutError, OSError, EOFError) as error:
            self.report.count(AnswerKind.LOST)
            self.report.lost_spans.append((sent_at, time.monotonic()))
            self.report.incidents.append(f"{self.name}: {type(error).__name__}")
            raise EOFError from None
        self.report.count(AnswerKind.SERVED if "C" in types else AnswerKind.REJECTED)
        if measures_times:
            self.report.times_ms.append(1000 * (time.monotonic() - sent_at))

    def close(self) -> None:
        """Close the socket at once."""
        self.writer.transport.abort()


async def _partial(client: PgClient, crowd: Crowd) -> None:
    client.writer.write(client.query(crowd.request_bytes)[:-1])
    await client.writer.drain()
    with suppress(TimeoutError):
        await asyncio.wait_for(client.reader.read(), HOLD_S)
    raise EOFError


async def _prepared(client: PgClient, crowd: Crowd) -> None:
    for number in itertools.count():
        text = f"select 1 as c{number} -- ".encode()
        statement = text + b"x" * (crowd.request_bytes - len(text) - 100)
        client.writer.write(pg.pack(b"P", b"s%d\0" % number + statement + b"\0\0\0") + pg.SYNC)
        await client.writer.drain()
        await client.read_until_ready()


async def _syncs(client: PgClient) -> None:
    reading = asyncio.create_task(client.reader.read(-1))
    try:
        while not reading.done():
            client.writer.write(pg.SYNC * SYNC_BATCH)
            await client.writer.drain()
            await asyncio.sleep(0)  # drain alone does not let others run while nothing is unsent
    finally:
        reading.cancel()


async def _act(client: PgClient, crowd: Crowd) -> None:
    if crowd.kind is CrowdKind.PG_PARTIAL:
        await _partial(client, crowd)
    elif crowd.kind is CrowdKind.PG_PREPARED:
        await _prepared(client, crowd)
    elif crowd.kind is CrowdKind.PG_SYNCS:
        await _syncs(client)
    else:
        await client.ask(crowd.request_bytes, measures_times=False)


async def run_crowd_client(
    task: ClientTask, crowd: Crowd, report: ClientReport, numbers: itertools.count[int], _rng: random.Random
) -> None:
    """Play one client of a crowd until cancelled; it connects again whenever its session has ended."""
    await asyncio.sleep(crowd.starts_after_s)
    while True:
        client = PgClient(task, report, f"{next(numbers):08x}")
        try:
            await client.connect()
            try:
                while True:
                    await _act(client, crowd)
            finally:
                client.close()
        except (OSError, EOFError):
            await asyncio.sleep(RECONNECT_S)


async def run_usual_client(task: ClientTask, report: ClientReport, name: str) -> None:
    """Send small queries, one after another in one session, until cancelled."""
    while True:
        client = PgClient(task, report, name)
        try:
            await client.connect()
            try:
                while True:
                    await client.ask(USUAL_REQUEST_BYTES, measures_times=True)
                    await asyncio.sleep(USUAL_INTERVAL_S)
            finally:
                client.close()
        except (OSError, EOFError):
            await asyncio.sleep(RECONNECT_S)
