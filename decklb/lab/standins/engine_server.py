"""The engine's model on real sockets and in real time: stand-in engines that speak RESP or PostgreSQL.

What a query costs is told in a comment of its statement, so that load and engines need no other agreement:
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

ROWS = b"1\tok\t.\n"  # three columns
# Words of the comment: the query's field, and how its value is read.
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


class RealLoop:
    """The reactor behind the emulator's interface."""

    def __init__(self, reactor: Any) -> None:
        self._clock = ReactorClock(reactor)
        self.now, self.call_later = self._clock.now, self._clock.call_later
        self.made = 0


def statement(query: Query) -> bytes:
    """A query as text."""
    return (
        f"select 1 from g_{query.table_group}.t -- work={query.work_ms:.3f} threads={query.threads} "
        f"io={query.io_share:g} memory={query.memory_mb:g} tables={query.table_group} "
        f"holds={query.locks_tables:d} yields={query.waits_for_loads:d} plan={query.plan_factor:g}"
    ).encode()


def parse(text: str) -> Query:
    """The reverse. Raises ValueError for what is none."""
    given: dict[str, Any] = {}
    for word in text.partition("--")[2].split():
        name, sign, value = word.partition("=")
        if name not in COMMENT_FIELDS or not sign:
            raise ValueError(f"no field of a query: {word!r}")
        field, parse_value = COMMENT_FIELDS[name]
        given[field] = parse_value(value)
    query = Query(**given)
    sizes_in_bounds = 0 < query.work_ms < 1e9 and 1 <= query.threads <= 1024 and query.memory_mb >= 0
    if not (sizes_in_bounds and 0 <= query.io_share <= 1):
        raise ValueError("a query's figures are out of bounds")
    return query


class RespSession(Protocol):
    """One connection of a manager."""

    transport: Any

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.reader = resp.RespReader()
        self.open: dict[bytes, Query] = {}

    def dataReceived(self, data: bytes) -> None:
        """Requests; what can't be read ends the connection."""
        try:
            for parts in self.reader.feed(data):
                self._request(parts)
        except resp.RespError:
            self.transport.abortConnection()

    def _request(self, parts: list[bytes]) -> None:
        word, ident = parts[0], parts[1] if len(parts) > 1 else b""
        if word == b"ping":
            self._say(ident, b"well")
        elif word == b"undo" and ident in self.open:
            self.engine.cancel(self.open.pop(ident))
        elif word == b"do" and len(parts) == 4:
            try:
                query = parse(parts[3].decode())
            except (ValueError, TypeError):
                self._say(ident, b"failed")
                return
            self.open[ident] = query
            query.on_end = lambda outcome: self._done(ident, query, outcome)
            self.engine.submit(query)

    def _done(self, ident: bytes, query: Query, outcome: Outcome) -> None:
        if self.open.get(ident) is not query:
            return
        del self.open[ident]
        if outcome is Outcome.CONNECTION_RESET:
            self.transport.abortConnection()
        elif outcome is Outcome.SUCCESS:
            self._say(ident, b"data", b"parts=1", ROWS)
        else:
            self._say(ident, b"full" if outcome is Outcome.OVERLOADED else b"failed")

    def _say(self, ident: bytes, word: bytes, fields: bytes = b"-", body: bytes = b"") -> None:
        self.transport.write(resp.pack(ident, word, fields, body))

    def connectionLost(self, reason: Failure | None = None) -> None:
        """What is open here goes with it."""
        for query in list(self.open.values()):
            self.engine.cancel(query)
        self.open.clear()


class PgSession(Protocol):
    """One session of a manager, as far as its engine client needs: simple and extended queries, cancel."""

    transport: Any
    keys: dict[bytes, PgSession] = {}
    count = 0

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.reader = pg.MessageReader(1 << 20, startup=True)
        self.key = b""
        self.query: Query | None = None
        self.statements: dict[bytes, str] = {}
        self.waiting: list[pg.Message] = []
        self.portal, self.simple = "", False
        self.skip = False

    def dataReceived(self, data: bytes) -> None:
        """Messages, one statement at a time."""
        try:
            for m in self.reader.feed(data):
                if self.reader.startup:
                    self._startup(m)
                else:
                    self.waiting.append(m)
            self._go()
        except (PgError, ValueError, IndexError, struct.error):
            self.transport.abortConnection()

    def _startup(self, m: pg.Message) -> None:
        code = int.from_bytes(m.payload[:4], "big")
        if code == pg.CANCEL_REQUEST_CODE:
            session = PgSession.keys.get(m.payload[4:])
            if session is not None:
                session.cancelled()
            self.transport.loseConnection()
            return
        self.reader.startup = False
        PgSession.count += 1
        self.key = struct.pack(">II", PgSession.count, 7)
        PgSession.keys[self.key] = self
        self.transport.write(pg.pack(b"R", b"\0\0\0\0") + pg.pack(b"K", self.key) + pg.READY_FOR_QUERY)

    def _go(self) -> None:
        while self.waiting and self.query is None:
            m = self.waiting.pop(0)
            if m.type == b"S":
                self.skip = False
                self.transport.write(pg.READY_FOR_QUERY)
            elif m.type == b"X":
                self.transport.loseConnection()
            elif m.type == b"Q":
                self._run(m.payload[:-1].decode(), True)
            elif not self.skip:
                self._extended(m)

    def _extended(self, m: pg.Message) -> None:
        if m.type == b"P":
            name, text = m.payload.split(b"\0")[:2]
            self.statements[name] = text.decode()
            self.transport.write(pg.PARSE_COMPLETE)
        elif m.type == b"B":
            self.portal = self.statements[m.payload.split(b"\0")[1]]
            self.transport.write(pg.BIND_COMPLETE)
        elif m.type == b"C":
            self.statements.pop(m.payload[1:-1], None)
            self.transport.write(pg.CLOSE_COMPLETE)
        elif m.type == b"D":
            self.transport.write((pg.NO_PARAMETERS if m.payload[:1] == b"S" else b"") + _described())
        elif m.type == b"E":
            self._run(self.portal, False)

    def _run(self, text: str, simple: bool) -> None:
        try:
            query = parse(text)
        except (ValueError, TypeError) as error:
            return self._fail("42601", str(error), simple)
        self.query, self.simple = query, simple
        query.on_end = lambda outcome: self._done(query, outcome)
        self.engine.submit(query)

    def _done(self, query: Query, outcome: Outcome) -> None:
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
                (_described() if self.simple else b"")
                + row
                + pg.pack_command_complete("SELECT 1")
                + (pg.READY_FOR_QUERY if self.simple else b"")
            )
        self._go()

    def _fail(self, state: str, text: str, simple: bool) -> None:
        self.skip = not simple
        self.transport.write(pg.pack_error(state, text) + (pg.READY_FOR_QUERY if simple else b""))

    def cancelled(self) -> None:
        """A CancelRequest for what runs here."""
        if self.query is not None:
            query, self.query = self.query, None
            self.engine.cancel(query)
            self._fail(sqlstate.QUERY_CANCELED, "canceling statement due to user request", self.simple)
            self._go()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """What runs here goes with it."""
        PgSession.keys.pop(self.key, None)
        if self.query is not None:
            query, self.query = self.query, None
            self.engine.cancel(query)


def _described() -> bytes:
    return pg.pack(b"T", b"\0\1v\0" + struct.pack(">ihihih", 0, 0, 25, -1, -1, 0))


def listen(reactor: Any, count: int, spec: EngineSpec, front: str, first_port: int = 0) -> list[tuple[Engine, int]]:
    """Start engines on loopback; each with its port."""
    loop: Any = RealLoop(reactor)
    kind: Any = RespSession if front == "frames" else PgSession
    found = []
    for i in range(count):
        engine = Engine(loop, f"e{i}", spec)
        factory: Any = Factory.forProtocol(partial(kind, engine))
        factory.noisy = False
        port = reactor.listenTCP(first_port + i if first_port else 0, factory, backlog=512, interface="127.0.0.1")
        found.append((engine, port.getHost().port))
        logger.debug(
            "engine {engine} listens on {port}", event="engine-listening", engine=engine.name, port=port.getHost().port
        )
    return found


def moment() -> float:
    """Milliseconds on the monotonic clock."""
    return time.monotonic() * 1000.0
