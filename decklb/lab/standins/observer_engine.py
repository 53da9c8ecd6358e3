"""Stand-in PostgreSQL engines in a process of their own, which write down each run of a statement.

The fault runs judge by what they wrote.

`python -m decklb.lab.standins.observer_engine NAME LOG PORTS` listens on one port for each manager, so that a run can
be laid at the manager that sent it, prints them, and serves until it is killed. PORTS are JSON; one that
returns is given the same ones. A statement says what it costs in a comment: `select 1 -- run=KEY work=MS`. As on real
engines, a run goes on when its connection ends, and ends early when it is cancelled.
"""

from __future__ import annotations

import asyncio
import os
import re
import struct
import sys
import time
from typing import Any, TextIO

import ujson

from decklb.pg import messages as pg
from decklb.pg import sqlstate

RUN = re.compile(r"run=(?P<key>[\w.:-]+) work=(?P<work>\d+)")


class Witness:
    """One engine."""

    def __init__(self, name: str, log: TextIO) -> None:
        self.name, self.log = name, log
        self.count = 0
        self.running: dict[bytes, asyncio.Event] = {}  # by backend key

    def note(self, what: str, key: str, run: int, manager: int) -> None:
        """One line, written at once: processes are killed here. The clock is the machine's, the same in all of them."""
        self.log.write(
            ujson.dumps({"what": what, "key": key, "run": run, "manager": manager, "at": time.monotonic()}) + "\n"
        )
        self.log.flush()

    async def serve(self, manager: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
        try:
            size, code = struct.unpack(">II", await reader.readexactly(8))
            body = await reader.readexactly(size - 8)
            if code == pg.CANCEL_REQUEST_CODE:
                if (event := self.running.get(body)) is not None:
                    event.set()
                return
            self.count += 1
            backend = struct.pack(">II", self.count, int.from_bytes(os.urandom(4), "big"))
            writer.write(pg.pack(b"R", b"\0\0\0\0") + pg.pack(b"K", backend) + pg.READY_FOR_QUERY)
            while True:
                kind = await reader.readexactly(1)
                (size,) = struct.unpack(">I", await reader.readexactly(4))
                body = await reader.readexactly(size - 4)
                if kind == b"X":
                    return
                if kind == b"S":  # a probe
                    writer.write(pg.READY_FOR_QUERY)
                if kind == b"Q":
                    writer.write(await self.run(body[:-1].decode(), manager, backend) + pg.READY_FOR_QUERY)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def run(self, sql: str, manager: int, backend: bytes) -> bytes:
        """One statement, on to its end or its cancelling; its row names the run."""
        m = RUN.search(sql)
        if m is None:
            return pg.pack_error("42601", "no run= and work= in the statement")
        self.count += 1
        run, cancelled = self.count, asyncio.Event()
        self.running[backend] = cancelled
        self.note("start", m["key"], run, manager)
        try:
            await asyncio.wait_for(cancelled.wait(), int(m["work"]) / 1000)
            self.note("cancelled", m["key"], run, manager)
            return pg.pack_error(sqlstate.QUERY_CANCELED, "canceling statement due to user request")
        except TimeoutError:
            self.note("end", m["key"], run, manager)
        finally:
            self.running.pop(backend, None)
        value = f"{m['key']}/{self.name}/{run}".encode()
        return (
            pg.pack(b"T", b"\0\1run\0" + struct.pack(">ihihih", 0, 0, 25, -1, -1, 0))
            + pg.pack(b"D", struct.pack(">hi", 1, len(value)) + value)
            + pg.pack_command_complete("SELECT 1")
        )


async def main(name: str, path: str, ports: list[int]) -> None:
    """Serve until killed."""
    with open(path, "a") as log:
        witness = Witness(name, log)

        def make(manager: int) -> Any:
            return lambda r, w: witness.serve(manager, r, w)

        servers = [await asyncio.start_server(make(i), "127.0.0.1", p) for i, p in enumerate(ports)]
        print(ujson.dumps([s.sockets[0].getsockname()[1] for s in servers]), flush=True)
        await asyncio.get_running_loop().create_future()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], ujson.loads(sys.argv[3])))
