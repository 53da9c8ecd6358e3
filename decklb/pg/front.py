"""The PostgreSQL front: sessions of clients, each message in turn, one final answer a request.

Parse, Bind and Close are kept here and answered at once; nothing reaches an engine before Describe or Execute
needs it, so a client that leaves between Bind and Execute leaves no work behind.
"""

from __future__ import annotations

import struct
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.python.failure import Failure

from decklb.core.dispatcher import EARLY, Dispatcher
from decklb.core.ports import Intake, Timer
from decklb.interface import Effect
from decklb.pg import messages as pg
from decklb.pg.engines import PgWork
from decklb.pg.messages import PgError
from decklb.pg.settings import PREFIX, REPORTED, Parameters, PgSettings
from decklb.pg.statements import Statement, classify
from decklb.wire.connections import FIRST, HALF, LINGER, unread
from decklb.wire.tables import table_group

MOST_QUEUED = 1 << 20  # bytes of messages that wait for the one in hand
MOST_NAMED = 1000  # statements and portals of one session
EARLIEST = EARLY + 5.0  # ms before its deadline from which a failure counts as running out of time


@dataclass(slots=True)
class Prepared:
    """A statement of the session."""

    sql: str
    types: bytes
    kind: Statement
    described: bytes | None = None  # what an engine said of it


@dataclass(slots=True)
class Portal:
    """A statement with its parameters, and the rows of it that were not asked for yet."""

    prepared: Prepared
    bind: bytes
    rows: deque[bytes] | None = None
    tail: bytes = b""


@dataclass(slots=True)
class Sink:
    """Takes the one final answer of a request to where its session waits for it."""

    session: Session
    deadline: float
    done: Callable[[bytes], None]
    request: Any = None  # what names it where it was brought
    once: bool = False  # its client may come back for the answer

    def served(self, result: bytes) -> None:
        """An engine's whole answer, which may be its word that the statement is wrong."""
        self.session.answered(lambda: self.done(result))

    def refused(self, backoff: float) -> None:
        """It never ran, or may be run again; the hint says when."""
        if self.once:  # also past its time: it is no answer, and another may come to be given
            return self._tell(
                PgError(
                    pg.INSUFFICIENT_RESOURCES,
                    "the statement has no answer here yet",
                    f"Ask again under the same decklb.request in {max(1, round(backoff))} ms.",
                )
            )
        self._error(
            PgError(
                pg.INSUFFICIENT_RESOURCES,
                "the engines are too busy for this statement now",
                f"Come back in {max(1, round(backoff))} ms.",
            )
        )

    def failed(self) -> None:
        """Its time is over, or it may have run and can't be sent again."""
        self._error(PgError(pg.COMPLETION_UNKNOWN, "the engine failed; whether the statement ran is unknown"))

    def conflict(self) -> None:
        """Its name was given to another statement."""
        self._error(
            PgError(
                pg.INVALID_VALUE, "decklb.request names another statement", "Give each statement a name of its own."
            )
        )

    def _error(self, error: PgError) -> None:
        if self.session.front.dispatcher.clock.now() >= self.deadline - EARLIEST:
            error = PgError(pg.QUERY_CANCELED, "canceling statement due to statement timeout")
        self._tell(error)

    def _tell(self, error: PgError) -> None:
        self.session.answered(lambda: self.session.error(error))


class Session(Protocol):
    """One connection of a client."""

    transport: Any  # zope's interfaces say nothing to the type checker

    def __init__(self, front: PgFront) -> None:
        self.front = front
        self.reader = pg.MessageReader(front.settings.most_message, startup=True)
        self.parameters: Parameters | None = None  # None until the session has begun
        self.statements: dict[str, Prepared] = {}
        self.portals: dict[str, Portal] = {}
        self.queue: deque[pg.Message] = deque()
        self.queued = 0
        self.busy: Sink | None = None
        self.skipping = self.simple = self.stuck = self.closed = False
        self.undescribed: str | None = None  # a portal whose description can come with its rows
        self.backend = (0, 0)
        self.unread = 0
        self.taken = self.abandoned = 0
        self.reason = "client-closed"
        self.timer: Timer | None = None  # ends what begins no session, stops halfway or does not go

    def connectionMade(self) -> None:
        """Nothing is said before the client's first message."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._wait(FIRST, self._overdue)
        self.front.joined(self)

    def _wait(self, delay: float, call: Callable[[], None] | None) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if call is None else self.front.dispatcher.clock.call_later(delay, call)

    def _overdue(self) -> None:
        self.timer = None
        self._fatal(PgError(pg.PROTOCOL_VIOLATION, "the message did not become whole in time", fatal=True))

    def _gone(self) -> None:
        self.timer = None
        self.transport.abortConnection()

    # The transport tells whether the client reads what it is sent.

    def pauseProducing(self) -> None:
        """The client reads too slowly: do nothing more for it."""
        self.stuck = True

    def resumeProducing(self) -> None:
        """All that was written has gone."""
        self.stuck, self.unread = False, 0
        self._pump()

    def stopProducing(self) -> None:
        """The connection is ending."""

    def dataReceived(self, data: bytes) -> None:
        """Messages, split anywhere."""
        if self.closed:  # read and thrown away: closing with bytes unread would send a reset
            return
        whole = False
        try:
            for message in self.reader.feed(data):
                whole = True
                if self.closed:
                    return
                if self.reader.startup:
                    self._startup(message)
                    continue
                self.queue.append(message)
                self.queued += len(message.raw)
            self._pump()
        except PgError as error:
            return self._fatal(error)
        if self.parameters is None or self.closed:
            return
        if not self.reader.buffer:
            self._wait(0.0, None)
        elif whole or self.timer is None:
            self._wait(HALF, self._overdue)

    # The start of a session.

    def _startup(self, message: pg.Message) -> None:
        f = pg.Fields(message.payload)
        code = f.number("I")
        if code in (pg.SSL, pg.GSS):
            self.transport.write(b"N")
        elif code == pg.CANCEL:
            self.reason = "cancel-request"
            self.front.cancel((f.number("I"), f.number("I")))
            self.close("cancel-request")
        elif code >> 16 != 3:
            raise PgError(pg.PROTOCOL_VIOLATION, f"unsupported protocol {code >> 16}.{code & 0xFFFF}", fatal=True)
        else:
            self._begin(f, code)

    def _begin(self, f: pg.Fields, code: int) -> None:
        told: dict[str, str] = {}
        while name := f.text():
            told[name] = f.text()
        if self.front.closing:
            raise PgError(pg.CANNOT_CONNECT_NOW, "the workload manager is shutting down", fatal=True)
        if len(self.front.sessions) > self.front.most_clients:
            raise PgError(pg.TOO_MANY_CONNECTIONS, "too many clients already", fatal=True)
        settings = self.front.settings
        parameters = settings.users.get(told.get("user", ""), settings.defaults)
        try:
            for name, value in _options(told):
                parameters = parameters.set(name, value, self.front.dispatcher.settings)
        except PgError as error:
            raise PgError(error.state, error.message, error.hint, fatal=True) from None
        self.parameters, self.reader.startup = parameters, False
        self.front.starting.pop(self, None)
        self.backend = self.front.register(self)
        out = pg.pack(b"R", b"\0\0\0\0")
        unknown = [n for n in told if n.startswith("_pq_.")]
        if code & 0xFFFF or unknown:
            out = pg.pack(b"v", struct.pack(">II", 0, len(unknown)) + b"".join(map(pg.text, unknown))) + out
        for name, value in REPORTED.items():
            out += pg.pack(b"S", pg.text(name) + pg.text(value))
        self._write(out + pg.pack(b"K", struct.pack(">II", *self.backend)) + pg.READY)

    # One message after the other; the next waits while an engine works on this one.

    def _pump(self) -> None:
        while self.queue and self.busy is None and not (self.stuck or self.closed):
            message = self.queue.popleft()
            self.queued -= len(message.raw)
            try:
                self._message(message)
            except PgError as error:
                if error.fatal:
                    return self._fatal(error)
                self.error(error)
        # The connection is read on as long as that is safe, since only reading tells that a client has left.
        if self.queued > MOST_QUEUED:
            self._fatal(PgError(pg.LIMIT_EXCEEDED, "too many messages at once", fatal=True))

    def _message(self, m: pg.Message) -> None:
        if self.skipping and m.type not in b"SX":
            return
        described, self.undescribed = self.undescribed, None
        f = pg.Fields(m.payload)
        if described is not None:
            # Rows' description and rows come in one go where Execute follows at once.
            if m.type == b"E" and f.text() == described:
                return self._execute(described, f.number("i"), describe=True)
            self.queue.appendleft(m)
            self.queued += len(m.raw)
            return self._describe_portal(described)
        handler = self.HANDLERS.get(m.type)
        if handler is None:
            raise PgError(pg.PROTOCOL_VIOLATION, f"unexpected message {m.type!r}", fatal=True)
        handler(self, f)

    def _query(self, f: pg.Fields) -> None:
        sql = f.text()
        self.simple = True
        kind = classify(sql)
        if kind.local:
            return self._finish((self._local_description(kind) if kind.local == "show" else b"") + self._local(kind))
        self._submit(self._work(sql, kind, simple=True), self._finish)

    def _parse(self, f: pg.Fields) -> None:
        name, sql = f.text(), f.text()
        if name and name in self.statements:
            raise PgError(pg.DUPLICATE_STATEMENT, f"prepared statement {name!r} already exists")
        if len(self.statements) >= MOST_NAMED and name not in self.statements:
            raise PgError(pg.LIMIT_EXCEEDED, "too many prepared statements")
        self.statements[name] = Prepared(sql, f.rest(), classify(sql))
        self._write(pg.PARSE_COMPLETE)

    def _bind(self, f: pg.Fields) -> None:
        portal, name = f.text(), f.text()
        if name not in self.statements:
            raise PgError(pg.NO_SUCH_STATEMENT, f"prepared statement {name!r} does not exist")
        if portal and portal in self.portals:
            raise PgError(pg.DUPLICATE_PORTAL, f"portal {portal!r} already exists")
        if len(self.portals) >= MOST_NAMED and portal not in self.portals:
            raise PgError(pg.LIMIT_EXCEEDED, "too many portals")
        self.portals[portal] = Portal(self.statements[name], f.rest())
        self._write(pg.BIND_COMPLETE)

    def _describe(self, f: pg.Fields) -> None:
        what, name = f.number("B"), f.text()
        if what == ord("P"):
            self._portal(name)
            self.undescribed = name
            return
        if what != ord("S"):
            raise PgError(pg.PROTOCOL_VIOLATION, "Describe takes S or P", fatal=True)
        if name not in self.statements:
            raise PgError(pg.NO_SUCH_STATEMENT, f"prepared statement {name!r} does not exist")
        prepared = self.statements[name]
        if prepared.kind.local:
            return self._write(pg.NO_PARAMETERS + self._local_description(prepared.kind))
        if prepared.described is not None:
            return self._write(prepared.described)

        def done(result: bytes) -> None:
            if self._passed(result):
                prepared.described = result

        self._submit(self._work(prepared.sql, prepared.kind, types=prepared.types), done)

    def _describe_portal(self, name: str) -> None:
        portal = self._portal(name)
        if portal.prepared.kind.local:
            return self._write(self._local_description(portal.prepared.kind))

        self._submit(
            self._work(
                portal.prepared.sql,
                portal.prepared.kind,
                types=portal.prepared.types,
                bind=portal.bind,
                describe=True,
                execute=False,
            ),
            self._pass,
        )

    def _execute_message(self, f: pg.Fields) -> None:
        self._execute(f.text(), f.number("i"), describe=False)

    def _execute(self, name: str, most: int, describe: bool) -> None:
        portal = self._portal(name)
        if portal.rows is not None:
            return self._rows(portal, most)
        prepared = portal.prepared
        if prepared.kind.local:
            return self._write(
                (self._local_description(prepared.kind) if describe else b"") + self._local(prepared.kind)
            )

        def done(result: bytes) -> None:
            if not self._passed(result, hold=True):
                return
            if most <= 0:
                return self._write(result)
            parts = list(pg.split(result))
            portal.rows = deque(m.raw for m in parts if m.type == b"D")
            portal.tail = b"".join(m.raw for m in parts if m.type in b"CIs")
            self._write(b"".join(m.raw for m in parts if m.type in b"Tn"))
            self._rows(portal, most)

        self._submit(
            self._work(prepared.sql, prepared.kind, types=prepared.types, bind=portal.bind, describe=describe), done
        )

    def _rows(self, portal: Portal, most: int) -> None:
        rows = portal.rows if portal.rows is not None else deque()
        count = len(rows) if most <= 0 else min(most, len(rows))
        out = b"".join(rows.popleft() for _ in range(count))
        self._write(out + (pg.SUSPENDED if rows else portal.tail))

    def _close_message(self, f: pg.Fields) -> None:
        what, name = f.number("B"), f.text()
        (self.statements if what == ord("S") else self.portals).pop(name, None)
        self._write(pg.CLOSE_COMPLETE)

    def _sync(self, f: pg.Fields) -> None:
        self.skipping = False
        self.portals.clear()
        self._write(pg.READY)

    def _flush(self, f: pg.Fields) -> None:
        """Everything is written at once."""

    def _terminate(self, f: pg.Fields) -> None:
        self.close("terminated")

    def _call(self, f: pg.Fields) -> None:
        self.simple = True  # no Sync follows this one
        raise PgError(pg.FEATURE_NOT_SUPPORTED, "function calls are not supported", "Use SELECT.")

    HANDLERS: dict[bytes, Callable[[Session, pg.Fields], None]] = {
        b"Q": _query,
        b"P": _parse,
        b"B": _bind,
        b"D": _describe,
        b"E": _execute_message,
        b"C": _close_message,
        b"S": _sync,
        b"H": _flush,
        b"X": _terminate,
        b"F": _call,
        b"d": _flush,
        b"c": _flush,
        b"f": _flush,  # what is left of a COPY that was turned down
    }

    def _portal(self, name: str) -> Portal:
        if name not in self.portals:
            raise PgError(pg.NO_SUCH_PORTAL, f"portal {name!r} does not exist")
        return self.portals[name]

    # What the front does itself.

    def _local(self, kind: Statement) -> bytes:
        assert self.parameters is not None
        if kind.local == "empty":
            return pg.EMPTY_QUERY
        if kind.local == "set":
            self.parameters = self.parameters.set(kind.name, kind.value, self.front.dispatcher.settings)
            return pg.complete("SET")
        if kind.local == "show":
            value = self.parameters.show(kind.name).encode()
            row = pg.pack(b"D", struct.pack(">hi", 1, len(value)) + value)
            return row + pg.complete("SHOW")
        if kind.name in ("DISCARD", "DEALLOCATE"):
            self.statements.clear()
        return pg.complete(kind.name)

    def _local_description(self, kind: Statement) -> bytes:
        if kind.local != "show":
            return pg.NO_DATA
        return pg.pack(b"T", b"\0\1" + pg.text(kind.name) + struct.pack(">ihihih", 0, 0, 25, -1, -1, 0))

    # Requests.

    def _work(self, sql: str, kind: Statement, **more: Any) -> PgWork:
        assert self.parameters is not None
        p, classes = self.parameters, self.front.dispatcher.settings.classes
        lane = p.lane
        if kind.writes and self.front.settings.writes and classes[lane].effect is Effect.SAFE:
            lane = self.front.settings.writes  # what writes must not be repeated as if it read
        text = sql.encode()
        if p.request and (more.get("simple") or more.get("bind") is not None and more.get("execute", True)):
            if not self.front.keeps:
                raise PgError(pg.FEATURE_NOT_SUPPORTED, "decklb.request needs the handoff, which is off here")
            self.parameters = replace(p, request="")  # it names one statement
            more["once"] = p.request
        return PgWork(
            self.front.rid(),
            lane,
            p.tenant,
            p.budget or classes[lane].deadline,
            text,
            table_group(text),
            p.key or None,
            **more,
        )

    def _submit(self, work: PgWork, done: Callable[[bytes], None]) -> None:
        self.taken += 1
        self.busy = sink = Sink(self, self.front.dispatcher.clock.now() + work.budget, done, once=bool(work.once))
        asked = work.once
        sink.request = self.front.intake.submit(work, sink)
        if work.once != asked:  # the name that was made for it
            self._write(pg.pack(b"S", pg.text("decklb.request") + pg.text(work.once)))

    def answered(self, tell: Callable[[], None]) -> None:
        """The one final answer has come; the next message may go."""
        self.busy = None
        if not self.closed:
            tell()
            self._ended()
            self._pump()

    def _pass(self, result: bytes) -> None:
        self._passed(result)

    def _passed(self, result: bytes, hold: bool = False) -> bool:
        """Whether an engine's answer holds no error; if it does, it is passed on. `hold`: no more is."""
        failed = any(m.type == b"E" for m in pg.split(result))
        if failed:
            self.skipping = True
        if failed or not hold:
            self._write(result)
        return not failed

    def _finish(self, result: bytes) -> None:
        """The end of a simple query."""
        self.simple = False
        self._write(result + pg.READY)

    def error(self, error: PgError) -> None:
        """Tell of an error; what follows is skipped up to Sync, or there is none to wait for."""
        self._write(error.pack())
        if self.simple:
            self.simple = False
            self._write(pg.READY)
        else:
            self.skipping = True

    def cancel(self) -> None:
        """Somebody asked for the end of what runs: it gets its one answer now, and its work is freed."""
        sink, self.busy = self.busy, None
        if sink is not None and sink.request is not None:
            self.front.intake.cancel(sink.request)
            self.answered(lambda: self.error(PgError(pg.QUERY_CANCELED, "canceling statement due to user request")))

    # The end of a session.

    def drain(self) -> None:
        """End when nothing is under way."""
        self._ended()

    def _ended(self) -> None:
        if self.front.closing and self.busy is None and not self.queue and not self.closed:
            self._fatal(PgError(pg.ADMIN_SHUTDOWN, "the workload manager is shutting down", fatal=True))

    def _fatal(self, error: PgError) -> None:
        self._write(pg.pack_error(error.state, error.message, error.hint, "FATAL"))
        self.closed, self.reason = True, error.state
        self._free()
        self.reader.buffer.clear()
        self.queue.clear()
        self.transport.unregisterProducer()
        self.transport.loseWriteConnection()
        self._wait(LINGER, self._gone)

    def _write(self, data: bytes) -> None:
        self.transport.write(data)
        if self.stuck:
            self.unread += len(data)
            if self.unread > 2 * self.front.settings.most_result:
                self.closed, self.reason = True, "slow-reader"
                self.transport.abortConnection()

    def close(self, reason: str) -> None:
        """End the connection once what was written has gone."""
        self.closed, self.reason = True, reason
        self.front.starting.pop(self, None)
        self._free()
        self._wait(LINGER, self._gone)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _free(self) -> None:
        sink, self.busy = self.busy, None
        if sink is not None and sink.request is not None:
            self.abandoned += 1
            self.front.intake.abandon(sink.request)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Free what this client waited for."""
        self.closed = True
        self._wait(0.0, None)
        self._free()
        self.front.forget(self)
        if self.reason == "client-closed" and reason is not None and reason.type is not ConnectionDone:
            self.reason = "reset"
        peer = self.transport.getPeer()
        logger.info(
            "session ended: {reason} requests={requests} abandoned={abandoned} peer={peer}",
            event="session-ended",
            reason=self.reason,
            requests=self.taken,
            abandoned=self.abandoned,
            peer=f"{peer.host}:{peer.port}",
        )


class PgFront(ServerFactory):
    """Makes a Session for each connection, and finds the one that a CancelRequest means."""

    noisy = False

    def __init__(
        self, dispatcher: Dispatcher, settings: PgSettings, draw: Callable[[int], int], most_clients: int
    ) -> None:
        self.dispatcher, self.settings, self.draw = dispatcher, settings, draw
        self.intake: Intake = dispatcher
        self.keeps = False  # whether the intake keeps answers for clients that come back
        self.most_clients = most_clients
        self.sessions: set[Session] = set()
        self.starting: dict[Session, None] = {}  # that have not begun, oldest first
        self.backends: dict[tuple[int, int], Session] = {}
        self.closing = False
        self._count = 0

    def listens(self, port: object) -> None:
        """Sessions that are too many are told so by an error; none waits outside."""

    def buildProtocol(self, addr: object) -> Session:
        """One object for a connection."""
        return Session(self)

    def joined(self, session: Session) -> None:
        """A new connection. Where places run out, one that began no session yet goes first."""
        if len(self.sessions) >= self.most_clients:
            silent = next((s for s in self.starting if not unread(s.transport)), None)
            if silent is not None:
                silent.close("evicted-silent")
                self.sessions.discard(silent)
        self.sessions.add(session)
        self.starting[session] = None

    def register(self, session: Session) -> tuple[int, int]:
        """A process id and a secret for a session."""
        self._count += 1
        backend = self._count & 0x7FFFFFFF, self.draw(1 << 32)
        self.backends[backend] = session
        return backend

    def forget(self, session: Session) -> None:
        """It has ended."""
        self.sessions.discard(session)
        self.starting.pop(session, None)
        self.backends.pop(session.backend, None)

    def cancel(self, backend: tuple[int, int]) -> None:
        """A CancelRequest; one that fits no session is let pass, as PostgreSQL does."""
        if session := self.backends.get(backend):
            session.cancel()

    def rid(self) -> str:
        """A name for a request in logs."""
        return f"{self.draw(1 << 64):016x}"

    def announce(self) -> None:
        """Nothing in this protocol says it before the end."""

    @property
    def owing(self) -> bool:
        """Whether some client has not yet taken all that it was told."""
        return any(session.stuck for session in self.sessions)

    def close(self) -> None:
        """Take nothing new; sessions end with what they have under way."""
        self.closing = True
        for session in list(self.sessions):
            session.drain()


def _options(told: dict[str, str]) -> list[tuple[str, str]]:
    """What a startup message sets: `options` with -c name=value or --name=value, and our own names."""
    found = [(n, v) for n, v in told.items() if n.startswith(PREFIX) or n == "statement_timeout"]
    words = deque(told.get("options", "").replace("\\ ", "\0").split())
    while words:
        word = words.popleft()
        if word == "-c" and words:
            word = words.popleft()
        elif word.startswith("--") or word.startswith("-c"):
            word = word[2:]
        name, _, value = word.replace("\0", " ").partition("=")
        found.append((name.replace("-", "_").lower(), value))
    return found
