"""Stand-in engines on real sockets: the engine model in real time behind a RESP or a PostgreSQL server.

Each statement states its cost in a comment, so that the load generator and the engines share nothing but this format:
`select 1 from g_GROUP.t -- work=MS threads=N io=SHARE memory=MB tables=GROUP holds=0|1 yields=0|1 plan=TIMES`.
"""

from __future__ import annotations

import struct
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from loguru import logger
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from decklb.interface import Outcome
from decklb.lab.emulation.engine_model import Engine, EngineSpec, Query
from decklb.net import resp
from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.wire.clock import ReactorClock

RESULT = b"1\tok\t.\n"  # one row of three columns
# For each name in the comment, the field of the query that it sets and the parser of its value.
COMMENT_FIELDS: dict[str, tuple[str, Callable[[str], Any]]] = {
    "work": ("work_ms", float),
    "threads": ("threads", int),
    "io": ("io_share", float),
    "memory": ("memory_mb", float),
    "tables": ("table_group", int),
    "plan": ("plan_factor", float),
    "holds": ("locks_tables", lambda text: text == "1"),
    "yields": ("waits_for_loads", lambda text: text == "1"),
}


class RealTimeLoop:
    """Provides the interface of the emulator's loop on top of the reactor."""

    def __init__(self, reactor: Any) -> None:
        self._clock = ReactorClock(reactor)
        self.now, self.call_later = self._clock.now, self._clock.call_later
        self.calls_made = 0  # part of the loop's interface; calls are not counted in real time


def statement(query: Query) -> bytes:
    """Return the statement that makes an engine run this query."""
    return (
        f"select 1 from g_{query.table_group}.t -- work={query.work_ms:.3f} threads={query.threads} "
        f"io={query.io_share:g} memory={query.memory_mb:g} tables={query.table_group} "
        f"holds={query.locks_tables:d} yields={query.waits_for_loads:d} plan={query.plan_factor:g}"
    ).encode()


def parse(text: str) -> Query:
    """Return the query that a statement describes.

    Raises:
        ValueError: The comment has an unknown field or an invalid value.
        TypeError: The comment does not state the work.
    """
    values: dict[str, Any] = {}
    for word in text.partition("--")[2].split():
        name, separator, text_value = word.partition("=")
        if name not in COMMENT_FIELDS or not separator:
            raise ValueError(f"no field of a query: {word!r}")
        field, parse_value = COMMENT_FIELDS[name]
        values[field] = parse_value(text_value)
    query = Query(**values)
    sizes_valid = 0 < query.work_ms < 1e9 and 1 <= query.threads <= 1024 and query.memory_mb >= 0
    if not (sizes_valid and 0 <= query.io_share <= 1):
        raise ValueError("a query's figures are out of bounds")
    return query


class RespSession(Protocol):
    """A manager's connection to an engine that speaks RESP."""

    transport: Any

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.reader = resp.RespReader()
        self.running: dict[bytes, Query] = {}  # by request id

    def dataReceived(self, data: bytes) -> None:
        """Process requests; abort the connection if one cannot be decoded."""
        try:
            for parts in self.reader.feed(data):
                self._request(parts)
        except resp.RespError:
            self.transport.abortConnection()

    def _request(self, parts: list[bytes]) -> None:
        command, request_id = parts[0], parts[1] if len(parts) > 1 else b""
        if command == b"ping":
            self._reply(request_id, b"well")
        elif command == b"undo" and request_id in self.running:
            self.engine.cancel(self.running.pop(request_id))
        elif command == b"do" and len(parts) == 4:
            try:
                query = parse(parts[3].decode())
            except (ValueError, TypeError):
                self._reply(request_id, b"failed")
                return
            self.running[request_id] = query
            query.on_end = lambda outcome: self._query_ended(request_id, query, outcome)
            self.engine.submit(query)

    def _query_ended(self, request_id: bytes, query: Query, outcome: Outcome) -> None:
        if self.running.get(request_id) is not query:
            return
        del self.running[request_id]
        if outcome is Outcome.CONNECTION_RESET:
            self.transport.abortConnection()
        elif outcome is Outcome.SUCCESS:
            self._reply(request_id, b"data", b"parts=1", RESULT)
        else:
            self._reply(request_id, b"full" if outcome is Outcome.OVERLOADED else b"failed")

    def _reply(self, request_id: bytes, status: bytes, fields: bytes = b"-", body: bytes = b"") -> None:
        self.transport.write(resp.pack(request_id, status, fields, body))

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Cancel the queries of this connection."""
        for query in list(self.running.values()):
            self.engine.cancel(query)
        self.running.clear()


class PgSession(Protocol):
    """A session of a manager at a PostgreSQL engine.

    It implements what the manager's engine client uses: simple and extended queries, and cancel requests.
    """

    transport: Any
    sessions: dict[bytes, PgSession] = {}  # open sessions by cancel key
    count = 0  # sessions so far

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.reader = pg.MessageReader(1 << 20, startup=True)
        self.key = b""  # cancel key
        self.query: Query | None = None  # the running query
        self.statements: dict[bytes, str] = {}  # prepared statements by name
        self.pending: list[pg.Message] = []  # messages received while a query runs
        self.bound_sql, self.simple = "", False  # latest bound statement; whether the running query is a simple one
        self.skip_until_sync = False  # after an error in an extended query

    def dataReceived(self, data: bytes) -> None:
        """Process messages, one statement at a time; abort the connection if one cannot be decoded."""
        try:
            for message in self.reader.feed(data):
                if self.reader.startup:
                    self._startup(message)
                else:
                    self.pending.append(message)
            self._process_pending()
        except (PgError, ValueError, IndexError, struct.error):
            self.transport.abortConnection()

    def _startup(self, message: pg.Message) -> None:
        code = int.from_bytes(message.payload[:4], "big")
        if code == pg.CANCEL_REQUEST_CODE:
            session = PgSession.sessions.get(message.payload[4:])
            if session is not None:
                session.cancel_query()
            self.transport.loseConnection()
            return
        self.reader.startup = False
        PgSession.count += 1
        self.key = struct.pack(">II", PgSession.count, 7)
        PgSession.sessions[self.key] = self
        self.transport.write(pg.pack(b"R", b"\0\0\0\0") + pg.pack(b"K", self.key) + pg.READY_FOR_QUERY)

    def _process_pending(self) -> None:
        while self.pending and self.query is None:
            message = self.pending.pop(0)
            if message.type == b"S":
                self.skip_until_sync = False
                self.transport.write(pg.READY_FOR_QUERY)
            elif message.type == b"X":
                self.transport.loseConnection()
            elif message.type == b"Q":
                self._run(message.payload[:-1].decode(), True)
            elif not self.skip_until_sync:
                self._extended(message)

    def _extended(self, message: pg.Message) -> None:
        if message.type == b"P":
            name, sql = message.payload.split(b"\0")[:2]
            self.statements[name] = sql.decode()
            self.transport.write(pg.PARSE_COMPLETE)
        elif message.type == b"B":
            self.bound_sql = self.statements[message.payload.split(b"\0")[1]]
            self.transport.write(pg.BIND_COMPLETE)
        elif message.type == b"C":
            self.statements.pop(message.payload[1:-1], None)
            self.transport.write(pg.CLOSE_COMPLETE)
        elif message.type == b"D":
            self.transport.write((pg.NO_PARAMETERS if message.payload[:1] == b"S" else b"") + _row_description())
        elif message.type == b"E":
            self._run(self.bound_sql, False)

    def _run(self, sql: str, simple: bool) -> None:
        try:
            query = parse(sql)
        except (ValueError, TypeError) as error:
            return self._fail("42601", str(error), simple)
        self.query, self.simple = query, simple
        query.on_end = lambda outcome: self._query_ended(query, outcome)
        self.engine.submit(query)

    def _query_ended(self, query: Query, outcome: Outcome) -> None:
        if self.query is not query:
            return
        self.query = None
        if outcome is Outcome.CONNECTION_RESET:
            self.transport.abortConnection()
            return
        if outcome is not Outcome.SUCCESS:
            self._fail(sqlstate.INSUFFICIENT_RESOURCES, "full", self.simple)
        else:
            row = pg.pack(b"D", struct.pack(">hi", 1, 2) + b"ok")
            self.transport.write(
                (_row_description() if self.simple else b"")
                + row
                + pg.pack_command_complete("SELECT 1")
                + (pg.READY_FOR_QUERY if self.simple else b"")
            )
        self._process_pending()

    def _fail(self, sqlstate_code: str, message: str, simple: bool) -> None:
        self.skip_until_sync = not simple
        self.transport.write(pg.pack_error(sqlstate_code, message) + (pg.READY_FOR_QUERY if simple else b""))

    def cancel_query(self) -> None:
        """Cancel the running query, after a CancelRequest with the key of this session."""
        if self.query is not None:
            query, self.query = self.query, None
            self.engine.cancel(query)
            self._fail(sqlstate.QUERY_CANCELED, "canceling statement due to user request", self.simple)
            self._process_pending()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Cancel the running query."""
        PgSession.sessions.pop(self.key, None)
        if self.query is not None:
            query, self.query = self.query, None
            self.engine.cancel(query)


def _row_description() -> bytes:
    return pg.pack(b"T", b"\0\1v\0" + struct.pack(">ihihih", 0, 0, 25, -1, -1, 0))


def listen(reactor: Any, count: int, spec: EngineSpec, front: str, first_port: int = 0) -> list[tuple[Engine, int]]:
    """Start engines that listen on loopback.

    Args:
        reactor: Twisted's reactor.
        count: Number of engines.
        spec: Model parameters of each engine.
        front: "frames" for engines that speak RESP, otherwise PostgreSQL.
        first_port: Port of the first engine, the others use the following ports; 0 for ephemeral ports.

    Returns:
        Each engine with its port.
    """
    loop: Any = RealTimeLoop(reactor)
    session_type: Any = RespSession if front == "frames" else PgSession
    listening = []
    for i in range(count):
        engine = Engine(loop, f"e{i}", spec)
        factory: Any = Factory.forProtocol(partial(session_type, engine))
        factory.noisy = False
        port = reactor.listenTCP(first_port + i if first_port else 0, factory, backlog=512, interface="127.0.0.1")
        listening.append((engine, port.getHost().port))
        logger.debug(
            "engine {engine} listens on {port}", event="engine-listening", engine=engine.name, port=port.getHost().port
        )
    return listening


def monotonic_ms() -> float:
    """Return the time of the monotonic clock in ms."""
    return time.monotonic() * 1000.0
