"""A stand-in PostgreSQL engine in its own process, which logs every execution of a statement.

The fault runs base their verdicts on this log.

`python -m decklb.lab.standins.observer_engine NAME LOG PORTS` listens on one port for each manager, so that each
execution can be attributed to the manager that sent it. It prints the ports and serves until it is killed. PORTS is a
JSON array; an engine that is restarted gets the same ports again. A statement states its cost in a comment:
`select 1 -- run=KEY work=MS`. As on real engines, an execution continues when its connection ends, and ends early when
it is cancelled.
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

RUN_COMMENT = re.compile(r"run=(?P<key>[\w.:-]+) work=(?P<work>\d+)")


class ObserverEngine:
    """The engine: serves connections and logs executions."""

    def __init__(self, name: str, log: TextIO) -> None:
        self.name, self.log = name, log
        self.count = 0  # connections and executions so far, for unique numbers
        self.running: dict[bytes, asyncio.Event] = {}  # set to cancel the execution, by backend key data

    def log_event(self, what: str, key: str, run: int, manager: int) -> None:
        """Write one line to the log.

        The line is flushed immediately, since fault runs kill processes. The time is the machine's monotonic clock, so
        the logs of all processes can be compared.
        """
        self.log.write(
            ujson.dumps({"what": what, "key": key, "run": run, "manager": manager, "at": time.monotonic()}) + "\n"
        )
        self.log.flush()

    async def serve(self, manager: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection from a manager, given by its index."""
        try:
            size, code = struct.unpack(">II", await reader.readexactly(8))
            body = await reader.readexactly(size - 8)
            if code == pg.CANCEL_REQUEST_CODE:
                if (cancelled := self.running.get(body)) is not None:
                    cancelled.set()
                return
            self.count += 1
            backend_key = struct.pack(">II", self.count, int.from_bytes(os.urandom(4), "big"))
            writer.write(pg.pack(b"R", b"\0\0\0\0") + pg.pack(b"K", backend_key) + pg.READY_FOR_QUERY)
            while True:
                kind = await reader.readexactly(1)
                (size,) = struct.unpack(">I", await reader.readexactly(4))
                body = await reader.readexactly(size - 4)
                if kind == b"X":
                    return
                if kind == b"S":  # a manager's health check
                    writer.write(pg.READY_FOR_QUERY)
                if kind == b"Q":
                    writer.write(await self.execute(body[:-1].decode(), manager, backend_key) + pg.READY_FOR_QUERY)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def execute(self, sql: str, manager: int, backend_key: bytes) -> bytes:
        """Execute a statement until it ends or is cancelled.

        Returns:
            The messages of the answer; its row identifies the execution by request key, engine and number.
        """
        comment = RUN_COMMENT.search(sql)
        if comment is None:
            return pg.pack_error("42601", "no run= and work= in the statement")
        self.count += 1
        run, cancelled = self.count, asyncio.Event()
        self.running[backend_key] = cancelled
        self.log_event("start", comment["key"], run, manager)
        try:
            await asyncio.wait_for(cancelled.wait(), int(comment["work"]) / 1000)
            self.log_event("cancelled", comment["key"], run, manager)
            return pg.pack_error(sqlstate.QUERY_CANCELED, "canceling statement due to user request")
        except TimeoutError:
            self.log_event("end", comment["key"], run, manager)
        finally:
            self.running.pop(backend_key, None)
        value = f"{comment['key']}/{self.name}/{run}".encode()
        return (
            pg.pack(b"T", b"\0\1run\0" + struct.pack(">ihihih", 0, 0, 25, -1, -1, 0))
            + pg.pack(b"D", struct.pack(">hi", 1, len(value)) + value)
            + pg.pack_command_complete("SELECT 1")
        )


async def main(name: str, path: str, ports: list[int]) -> None:
    """Listen on the ports, print them, and serve until killed."""
    with open(path, "a") as log:
        engine = ObserverEngine(name, log)

        def connection_handler(manager: int) -> Any:
            return lambda reader, writer: engine.serve(manager, reader, writer)

        servers = [await asyncio.start_server(connection_handler(i), "127.0.0.1", port) for i, port in enumerate(ports)]
        print(ujson.dumps([server.sockets[0].getsockname()[1] for server in servers]), flush=True)
        await asyncio.get_running_loop().create_future()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], ujson.loads(sys.argv[3])))
