"""Runs the program with stand-in PostgreSQL engines, and has a client that sends exactly what a test specifies.

`conftest.py` makes the fixture `pg_program` from `running_pg_program`.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import psycopg

from decklb.pg import messages as pg
from tests.standins import DEADLINE, Loop, PgEngine, Program, endpoint_list

POSTGRES = {
    "user": "decklb",
    "database": "registro",
    "writes": "load",
    "defaults": {"tenant": "cusco", "class": "read"},
    "users": {"cargador": {"class": "load", "tenant": "ayacucho"}},
}


def query(sql):
    return pg.pack(b"Q", sql.encode() + b"\0")


def parse(sql, name=b""):
    return pg.pack(b"P", name + b"\0" + sql.encode() + b"\0" + b"\0\0")


def bind(name=b"", portal=b""):
    return pg.pack(b"B", portal + b"\0" + name + b"\0" + b"\0\0" * 3)


def execute(max_rows=0, portal=b""):
    return pg.pack(b"E", portal + b"\0" + struct.pack(">i", max_rows))


class ScriptedClient:
    """A client that sends exactly what a test specifies."""

    def __init__(self, port, **parameters):
        self.socket = socket.create_connection(("127.0.0.1", port), DEADLINE)
        self.reader = pg.MessageReader(1 << 24, startup=False)
        self.received = []
        self.socket.sendall(pg.pack_startup({"user": "u"} | parameters))
        self.backend_key = next(message.payload for message in self.receive_until(b"Z") if message.type == b"K")

    def send(self, *messages):
        self.socket.sendall(b"".join(messages))

    def receive_until(self, message_type):
        """Return all messages up to the first of this type."""
        while not any(message.type == message_type for message in self.received):
            data = self.socket.recv(65536)
            if not data:
                types = [message.type for message in self.received]
                raise AssertionError(f"closed before {message_type!r}: {types}")
            self.received += self.reader.feed(data)
        end = next(i for i, message in enumerate(self.received) if message.type == message_type) + 1
        messages, self.received = self.received[:end], self.received[end:]
        return messages

    def types(self, message_type=b"Z"):
        """Return the types of all messages up to the first of this type."""
        return b"".join(message.type for message in self.receive_until(message_type))

    def sqlstate(self):
        """Return the SQLSTATE of the next error."""
        return pg.read_error(self.receive_until(b"E")[-1].payload)["C"]

    def close(self):
        self.socket.close()


class PgProgram:
    """The program, its engines, and the clients that a test has opened."""

    def __init__(self, program, engines):
        self.program, self.engines, self.port = program, engines, program.port
        self.clients = []

    def connect(self, **options):
        """Connect with psycopg."""
        return psycopg.connect(
            host="127.0.0.1",
            port=self.port,
            user="u",
            autocommit=True,
            dbname="registro",
            connect_timeout=20,
            sslmode="prefer",
            **options,
        )

    def scripted_client(self):
        client = ScriptedClient(self.port)
        self.clients.append(client)
        return client

    def silent_connection(self):
        """Open a connection and send nothing."""
        connection = socket.create_connection(("127.0.0.1", self.port), DEADLINE)
        self.clients.append(connection)
        return connection

    def statements(self, event):
        """Return the statements that engines have parsed ("parse"), started ("start") or ended ("end")."""
        return [sql for engine in self.engines for sql in engine.statements(event)]

    def assert_no_overlap(self, sql):
        """Assert that each attempt to run a statement starts after the previous one has ended."""
        events = sorted(
            (time, event)
            for engine in self.engines
            for event, logged_sql, time in engine.log
            if logged_sql == sql and event != "parse"
        )
        assert [event for _, event in events] == ["start", "end"] * (len(events) // 2)


@contextlib.contextmanager
def running_pg_program(**configuration):
    """Run the program with two engines. At the end, stop it and assert that it has not logged a traceback."""
    loop = Loop()
    engines = [PgEngine(loop), PgEngine(loop)]
    ports = [engine.port for engine in engines]
    program = Program({"known": endpoint_list(*ports), "postgres": POSTGRES} | configuration)
    running = PgProgram(program, engines)
    try:
        yield running
    finally:
        for client in running.clients:
            client.close()
        program.stop()
        for engine in engines:
            engine.close()
        loop.run(_cancel_all_tasks())
        loop.stop()
    assert program.logged("Traceback") == ""


async def _cancel_all_tasks():
    """Cancel the tasks of the stand-in engines that still serve connections, and wait until they have ended."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def reachable(port):
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
    except OSError:
        return False
    return True
