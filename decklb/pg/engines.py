"""The engine client of this front: attempts over PostgreSQL connections, one at a time on each.

An attempt is out until the engine's ReadyForQuery or until its connection is gone, also when it was given
up: until then nothing else goes on the connection, and the core is not told that it is free.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from decklb.core.dispatcher import Attempt
from decklb.core.ports import Clock, Timer, Work
from decklb.interface import Outcome
from decklb.pg import messages as pg
from decklb.pg.settings import PgSettings
from decklb.wire.answered import AnsweredAttempts
from decklb.wire.connections import end_reason
from decklb.wire.dialing import Dial
from decklb.wire.local_faults import is_local
from decklb.wire.pools import Pools

CONNECT, CANCEL = 1000.0, 500.0  # ms for a connection to come up; for a cancelled engine to be ready again
IDLE = 60_000.0  # ms after which an unused connection closes
UNUSED = "idle"  # why we close a connection on which nothing is open
MOST_PREPARED = 200  # statements kept on one connection
# Errors that are the engine's own, not the statement's: another engine may do better.
OWN_FAULTS = ("53", "57P", "58", "XX", "08")


@dataclass(slots=True)
class PgWork(Work):
    """A statement as a session has it. `bind` is what follows the names in Bind, as it came."""

    simple: bool = False
    types: bytes = b"\0\0"  # what follows the statement in Parse
    bind: bytes | None = None  # None: only describe the statement
    describe: bool = False
    execute: bool = True


class PgLink(Protocol):
    """One connection to an engine."""

    transport: Any  # zope's interfaces say nothing to the type checker

    def __init__(self, pool: PgPool) -> None:
        self.pool = pool
        self.reader = pg.MessageReader(pool.client.settings.most_result + (1 << 20), startup=False)
        self.attempt: Attempt | None = None  # told of the end
        self.freed: Callable[[], None] | None = None  # told of it after a give-up
        self.sent = self.up = self.ready = self.closed = False
        self.held = False  # for the attempt, which may not go out yet
        self.reason = ""  # why we end it
        self.backend = (0, 0)
        self.prepared: dict[tuple[bytes, bytes], bytes] = {}
        self.parsing: list[tuple[bytes, bytes]] = []
        self.result, self.size = list[bytes](), 0
        self.error: dict[str, str] | None = None
        self.timer: Timer | None = None
        self.dialing: Dial | None = None  # while the handshake goes on
        self._count = 0
        self.answered = AnsweredAttempts(pool.client.clock)

    @property
    def free(self) -> bool:
        """Whether it may be given an attempt."""
        return not (self.attempt or self.freed or self.closed)

    @property
    def trace(self) -> bytes:
        """By which what runs here can be called off; "" where the engine named no key."""
        return struct.pack(">II", *self.backend) if self.backend != (0, 0) else b""

    def take(self, attempt: Attempt) -> None:
        """Run an attempt, now or when the connection is ready."""
        self.attempt = attempt
        self._stop_timer()
        if self.ready:
            self._send()

    def hold(self, attempt: Attempt) -> None:
        """Keep the connection, which is ready, for an attempt."""
        self.attempt, self.held = attempt, True
        self._stop_timer()

    def go(self) -> None:
        """Run the attempt that it was kept for."""
        self.held = False
        self._send()

    def connectionMade(self) -> None:
        """Introduce ourselves."""
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.transport.write(
            pg.pack_startup(
                self.pool.client.settings.startup | {"client_encoding": "UTF8", "application_name": "decklb"}
            )
        )

    def _send(self) -> None:
        assert self.attempt is not None
        work = self.attempt.request.work
        assert isinstance(work, PgWork)
        self.ready, self.sent = False, True
        self.attempt.begun = True
        set_cancel_token = getattr(self.attempt, "set_cancel_token", None)
        if set_cancel_token is not None and self.trace:  # another manager may take it over
            set_cancel_token(self.trace)
        self.result, self.size, self.error, self.parsing = [], 0, None, []
        if work.simple:
            self.transport.write(pg.pack(b"Q", work.statement + b"\0"))
            return
        out, kind = b"", (work.statement, work.types)
        name = self.prepared.get(kind)
        if name is None:  # also on each other engine that a retry goes to
            if len(self.prepared) >= MOST_PREPARED:
                out += pg.pack(b"C", b"S" + self.prepared.pop(next(iter(self.prepared))) + b"\0")
            self._count += 1
            name = b"d%d" % self._count
            out += pg.pack(b"P", name + b"\0" + work.statement + b"\0" + work.types)
            self.parsing.append(kind)
            self.prepared[kind] = name
        if work.bind is None:
            out += pg.pack(b"D", b"S" + name + b"\0")
        else:
            out += pg.pack(b"B", b"\0" + name + b"\0" + work.bind)
            out += pg.pack(b"D", b"P\0") if work.describe else b""
            out += pg.EXECUTE_ALL if work.execute else b""
        self.transport.write(out + pg.SYNC)

    def dataReceived(self, data: bytes) -> None:
        """The engine's messages, split anywhere."""
        try:
            for message in self.reader.feed(data):
                if not self.closed:
                    self._message(message)
        except pg.PgError as error:
            self._abort(f"protocol: {error}")

    def _message(self, m: pg.Message) -> None:
        if m.type == b"Z":
            self._ready(m.payload)
        elif m.type == b"E":
            self.error = pg.read_error(m.payload)
            self._keep(m.raw)
        elif m.type == b"K" and len(m.payload) == 8:
            self.backend = struct.unpack(">II", m.payload)
        elif m.type == b"R" and m.payload != b"\0\0\0\0":
            self._abort("authentication-asked")
        elif m.type in b"GHW":
            self._abort("copy")  # the front lets none through; whatever began it is not let run on
        elif m.type == b"1" and self.parsing:
            self.parsing.clear()
        elif m.type in (b"t", b"T", b"n", b"D", b"C", b"I", b"s"):
            self._keep(m.raw)

    def _keep(self, raw: bytes) -> None:
        if not self.sent or self.freed is not None:
            return
        self.result.append(raw)
        self.size += len(raw)
        if self.size > self.pool.client.settings.most_result and self.attempt is not None:
            attempt, self.attempt = self.attempt, None
            self._abort("result-too-large")
            attempt.end(Outcome.GOOD, pg.pack_error(pg.LIMIT_EXCEEDED, "the result is too large"))

    def _ready(self, status: bytes) -> None:
        if self.error is not None:
            for kind in self.parsing:  # the engine did not take the statement, or may not have
                self.prepared.pop(kind, None)
        self.parsing = []
        if status != b"I":
            return self._abort("left-in-transaction")
        self.ready = True
        attempt, freed, sent = self.attempt, self.freed, self.sent
        if attempt is not None and not sent:  # it waited for the connection
            if self.held:
                return
            if self.pool.client.clock.now() <= attempt.latest:
                return self._send()
            self.attempt = None  # it waited too long: its engine drains, or it may not be repeated now
            self._rest()
            return attempt.end(Outcome.NOP)
        self.attempt, self.freed, self.sent = None, None, False
        self._rest()
        if freed is not None:
            freed()
        elif attempt is not None:
            state = (self.error or {}).get("C", "")
            own = state.startswith(OWN_FAULTS)
            self.answered.answered(attempt, Outcome.BAD if own else Outcome.GOOD, b"" if own else b"".join(self.result))

    def give_up(self, freed: Callable[[], None]) -> None:
        """Cancel what runs; free when the engine is ready again or the connection is gone."""
        if not self.sent:  # the connection is still coming up, or was kept: nothing is out
            self.attempt = None
            if self.held:
                self.held = False
                self._rest()
            self.pool.client.clock.call_later(0, freed)
            return
        self.attempt, self.freed = None, freed
        self.pool.cancel(self.backend)
        self.timer = self.pool.client.clock.call_later(CANCEL, self._not_freed)

    def _not_freed(self) -> None:
        self.timer = None
        self._abort("cancel-unheeded")

    def _rest(self) -> None:
        self._stop_timer()
        if self.pool.retired:
            return self._idle()
        self.timer = self.pool.client.clock.call_later(IDLE, self._idle)

    def _idle(self) -> None:
        self.timer = None
        self.closed, self.reason = True, UNUSED
        self.transport.write(pg.pack(b"X"))
        self.transport.loseConnection()

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def withdraw(self) -> None:
        """End what is still coming up: its address may be another engine's by then."""
        if self.up:
            self._abort("retired")
        elif self.dialing is not None:
            self.dialing.cancel()

    def _abort(self, reason: str) -> None:
        self.closed, self.reason = True, reason
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The end of whatever was out here."""
        self.reason = self.reason or end_reason(reason)
        if self.sent:
            outcome = Outcome.RST
        else:  # turned away before anything was sent
            full = (self.error or {}).get("C") == pg.TOO_MANY_CONNECTIONS
            outcome = Outcome.FULL if full else Outcome.NOCONN
        self.gone(outcome)

    def refused(self, reason: Failure) -> None:
        """It never came up."""
        self.reason = "no-connection"
        self.gone(Outcome.NOP if is_local(reason.value) else Outcome.NOCONN)

    def gone(self, outcome: Outcome) -> None:
        """Tell whoever waits."""
        self.closed = True
        self._stop_timer()
        self.pool.links.discard(self)
        in_doubt = self.answered.connection_lost() if self.reason != UNUSED else 0
        cut_off = int(self.sent and (self.attempt is not None or self.freed is not None))
        logger.info(
            "engine connection ended: {reason} engine={engine} address={address} cut_off={cut_off} in_doubt={in_doubt}",
            event="engine-connection-ended",
            reason=self.reason,
            engine=self.pool.engine,
            address="{}:{}".format(*self.pool.address),
            cut_off=cut_off,
            in_doubt=in_doubt,
        )
        attempt, freed = self.attempt, self.freed
        self.attempt = self.freed = None
        if freed is not None:
            freed()
        if attempt is not None:
            attempt.end(outcome)


class Canceller(Protocol):
    """A connection that carries one CancelRequest."""

    transport: Any

    def __init__(self, backend: tuple[int, int], clock: Clock, done: Callable[[], None] | None) -> None:
        """`done` is told once the engine has read it, or has not within a while."""
        self.backend, self.clock, self.done = backend, clock, done
        self.timer: Timer | None = None

    def connectionMade(self) -> None:
        """Say it and go; where somebody waits, once the engine ends the connection, as it does when it has read it."""
        self.transport.write(pg.pack_cancel(*self.backend))
        if self.done is None:
            self.transport.loseConnection()
        else:
            self.timer = self.clock.call_later(CANCEL, self._unread)

    def _unread(self) -> None:
        self.timer = None
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """The engine reads it and says nothing."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.done is not None:
            self.done()
        logger.info(
            "engine connection ended: {reason} pid={pid}",
            event="engine-connection-ended",
            reason="cancel-sent",
            pid=self.backend[0],
        )


class PgPool:
    """The connections to one engine."""

    def __init__(self, client: PgEngines, engine: str, address: tuple[str, int]) -> None:
        self.client, self.engine, self.address = client, engine, address
        self.links: set[PgLink] = set()
        self.retired = False

    def start(self, attempt: Attempt) -> None:
        """Run on a free connection, else on a new one."""
        free = [x for x in self.links if x.free]
        # One that is ready comes before one that is still coming up.
        link = max(free, key=lambda x: x.ready, default=None)
        if link is None and len(self.links) >= self.client.settings.connections:
            return attempt.end(Outcome.FULL)
        link = link or self._connect()
        attempt.begun = False
        attempt.handle = link
        link.take(attempt)

    def _connect(self) -> PgLink:
        link = PgLink(self)
        self.links.add(link)
        link.dialing = self._dial(link, link.refused)
        return link

    def _dial(self, protocol: Any, refused: Callable[[Failure], None]) -> Dial:
        return Dial(self.client.reactor, self.client.clock, self.address, protocol, CONNECT, refused)

    def cancel(self, backend: tuple[int, int], done: Callable[[], None] | None = None) -> None:
        """Ask the engine to end what runs on that connection; `done` is told once it has, or can't be asked."""

        def lost(reason: Failure) -> None:
            logger.info(
                "cancel did not reach {engine}: {reason}",
                event="cancel-lost",
                engine=self.engine,
                reason=end_reason(reason),
            )
            if done is not None:
                done()

        self._dial(Canceller(backend, self.client.clock, done), lost)

    def retire(self) -> None:
        """The engine has gone, or has moved: close what is not in use, and the rest when it ends."""
        self.retired = True
        for link in list(self.links):
            if link.ready and not link.held:
                link._stop_timer()
                link._idle()
            elif not (link.ready or link.sent):
                link.withdraw()


class PgEngines(Pools[PgPool]):
    """The core's engine client on this front."""

    def __init__(self, reactor: Any, clock: Clock, settings: PgSettings) -> None:
        super().__init__()
        self.reactor, self.clock, self.settings = reactor, clock, settings

    def make(self, engine: str, address: tuple[str, int]) -> PgPool:
        """A pool for an engine that is new, or has moved."""
        return PgPool(self, engine, address)

    def reserve(self, attempt: Attempt) -> bytes:
        """A ready connection is kept for an attempt that is yet to be started; "" where there is none."""
        pool = self.pools.get(attempt.engine)
        for link in pool.links if pool is not None else ():
            if link.ready and link.trace and link.free:
                attempt.handle = link
                link.hold(attempt)
                return link.trace
        return b""

    def start(self, attempt: Attempt) -> None:
        """Send an attempt, where it is kept a connection on that one."""
        link = attempt.handle
        if isinstance(link, PgLink) and link.attempt is attempt and link.held:
            link.go()
        else:
            super().start(attempt)

    def call_off(self, engine: str, trace: bytes, done: Callable[[], None]) -> None:
        """End what another manager has running there, by what it told of it; `done` comes once, later."""
        pool = self.pools.get(engine)
        if pool is None or len(trace) != 8:
            self.clock.call_later(0, done)
        else:
            pool.cancel(struct.unpack(">II", trace), done)

    def give_up(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel on the engine; `freed` comes when it is no longer out."""
        link = attempt.handle
        if isinstance(link, PgLink) and link.attempt is attempt:
            link.give_up(freed)
        else:
            self.clock.call_later(0, freed)
