"""The engine client: attempts over RESP, on pooled connections.

Engines are known by their directory id; each has a pool of its own, since an address may come to belong to
another engine. A connection carries many attempts; it ends with one log line and a reason.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from loguru import logger
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from decklb.core.dispatcher import Attempt
from decklb.core.ports import Clock, Timer
from decklb.interface import Outcome
from decklb.net import resp
from decklb.wire.answered import AnsweredAttempts
from decklb.wire.connections import end_reason
from decklb.wire.dialing import Dial
from decklb.wire.local_faults import is_local
from decklb.wire.pools import Pools

MOST_RESULT = 48_000  # bytes of a whole result
MOST_PAGES = 64
MOST_SPENT = 500  # ids given up on a connection, before it takes no more
CONNECT_TIMEOUT, IDLE = 250.0, 15_000.0  # ms, where the settings say nothing
# What ends an attempt at its engine is the arrival of the `undo`, and an attempt on another connection could
# overtake it; so long is waited where another may follow. 5 ms were too few once in some 10,000 (bd00dba5), 25 once
# in 65,000 requests at a thousand a second with the machine too busy (88e438e8).
OVERTAKE, LAST = 40.0, 5.0  # ms; LAST: at the request's own deadline, when none can follow
IDLE_PART = 0.7  # of the time after which the other side closes: ours comes first, so no send crosses it
# An answer whose rest stays away, or a page that does, is not waited for until the request's own end: what follows on
# that connection never comes either. Counted in looks, so that being held up ourselves is not taken for it. Whole
# answers came within 5 ms of their first byte and pages within 20 ms when measured (0656a3b9).
SWEEP, MOST_LOOKS = 100.0, 6  # ms between looks; how many find the same piece
UNUSED, RETIRED = "idle", "retired"
OWN_CLOSES = (UNUSED, RETIRED)  # reasons of connections that we close when nothing is open on them
ENDS = {b"full": Outcome.FULL, b"failed": Outcome.BAD, b"moot": Outcome.NOP}
NOTES, WAITS = {"p": 1, "s": 2, "w": 3}, 3
STUCK = 20.0  # ms that bytes may lie in our transport before no further request joins them


class Call:
    """An attempt on a connection, and the pages that have come."""

    __slots__ = ("attempt", "link", "pages", "size", "looks", "sent", "ran")

    def __init__(self, attempt: Attempt, link: EngineLink) -> None:
        self.attempt, self.link = attempt, link
        self.sent = self.ran = False  # given to the transport; the engine has shown that it ran
        self.pages: list[bytes | None] = []
        self.size = 0
        self.looks = 0  # since the last page came

    @property
    def ident(self) -> bytes:
        """The client's own id, which goes to the engine unchanged."""
        return self.attempt.request.work.rid.encode()

    def page(self, number: int, body: bytes) -> None:
        """Take one page, once. Raises RespError for what is no rows of three columns: it is spoilt."""
        if body and (body[-1:] != b"\n" or body.count(b"\t") != 2 * body.count(b"\n")):
            raise resp.RespError("a page is not made of rows")
        if self.pages[number] is None:
            self.pages[number] = body
            self.size += len(body)
            self.looks = 0
        if self.size > MOST_RESULT:
            raise resp.RespError("a result is too large")

    def whole(self) -> bytes | None:
        """The result if no page lacks."""
        pages = [p for p in self.pages if p is not None]
        return b"".join(pages) if len(pages) == len(self.pages) else None


class EngineLink(Protocol):
    """One connection to an engine."""

    transport: Any  # zope's interfaces say nothing to the type checker

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.calls: dict[bytes, Call] = {}
        self.spent: set[bytes] = set()  # ids given up here: a late answer must not end another attempt
        self.up = self.closed = self.retired = False
        self.overdue = False  # an attempt timed out here, and nothing has come since
        self.looks = 0  # since the answer began that has come in part
        self.unsent: float | None = None  # since when the transport has had bytes that are not sent
        self.reader = resp.RespReader()
        self.reason = ""  # why we end it
        self.idle: Timer | None = None
        self.dialing: Dial | None = None  # while the handshake goes on
        self.answered = AnsweredAttempts(pool.client.clock)
        self.cut_off = self.in_doubt = 0  # attempts that the connection's end cut off; answers that it put in doubt

    def takes(self, ident: bytes) -> bool:
        """Whether an attempt with this id may go on this connection."""
        return not (
            self.closed
            or self.retired
            or self.overdue
            or ident in self.calls
            or ident in self.spent
            or len(self.calls) >= self.pool.client.streams
            or len(self.spent) > MOST_SPENT
        )

    def add(self, call: Call) -> None:
        """Send the attempt, now or when the connection is up."""
        self.calls[call.ident] = call
        self._rest()
        if self.up and not self.stuck:
            self._do(call)

    def drop(self, call: Call) -> None:
        """Nobody waits for this attempt any more."""
        if self.calls.pop(call.ident, None) is None:
            return
        if call.sent:
            self.spent.add(call.ident)
            self.overdue = self.overdue or call.attempt.overdue
            self._write(resp.pack(b"forget" if call.pages else b"undo", call.ident))
        self._rest()

    @property
    def stuck(self) -> bool:
        """Whether the engine does not take what it is sent. A request behind that would begin when nobody knows."""
        return self.unsent is not None and self.pool.client.clock.now() - self.unsent > STUCK

    def _do(self, call: Call) -> None:
        work, a, now = call.attempt.request.work, call.attempt, self.pool.client.clock.now()
        if now > a.latest:  # it waited too long for its connection: its engine drains, or it may not be repeated now
            del self.calls[call.ident]
            self._rest()
            return a.end(Outcome.NOP)
        fields = {"queue": work.lane, "budget": str(max(1, int(a.deadline - now)))}
        if work.token:
            fields["uniq"] = work.token
        call.sent = a.begun = True
        self._write(resp.pack(b"do", call.ident, resp.pack_fields(fields), work.statement))

    def _write(self, data: bytes) -> None:
        if self.unsent is None:
            self.unsent = self.pool.client.clock.now()
        self.transport.write(data)

    def connectionMade(self) -> None:
        """The handshake is over."""
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        self._rest()
        # Who waited may have left, and that may lie unread: this pass of reading comes to its end first.
        self.pool.client.clock.call_later(0.0, self._go_on)

    # The transport tells each time that nothing is left to send.

    def resumeProducing(self) -> None:
        """The engine reads on."""
        if self.unsent is not None:
            self.unsent = None
            self._go_on()

    def _go_on(self) -> None:
        """What waited for the connection, or for the engine to read on, goes out."""
        for call in [c for c in self.calls.values() if not c.sent]:
            self._do(call)

    def stopProducing(self) -> None:
        """The connection is ending."""

    def dataReceived(self, data: bytes) -> None:
        """Answers, split anywhere."""
        if self.closed:
            return
        self.overdue = False
        try:
            for array in self.reader.feed(data):
                self.looks = 0
                if len(array) != 4:
                    raise resp.RespError("an answer has an id, a word, fields and a body")
                self._answer(array[0], array[1], resp.read_fields(array[2]), array[3])
        except resp.RespError as error:
            self._abort(f"protocol: {error}")

    def look(self) -> None:
        """Once a sweep: end the connection if the rest of an answer stays away."""
        self.looks = self.looks + 1 if self.reader.buffer else 0
        late = False
        for call in self.calls.values():
            if call.pages:
                call.looks += 1
                late = late or call.looks > MOST_LOOKS
        if late or self.looks > MOST_LOOKS:
            self._abort("page-overdue" if late else "answer-cut-short")

    def _answer(self, ident: bytes, word: bytes, fields: dict[str, str], body: bytes) -> None:
        call = self.calls.get(ident)
        if call is None or not call.sent:  # given up before, answered before, or nobody's
            return
        if word == b"news":
            self._note(call, fields)
        elif word == b"data" and not call.pages:
            count = _count(fields.get("parts", "1"), 1, MOST_PAGES)
            if count is None:
                raise resp.RespError("no number of pages")
            call.pages = [None] * count
            call.ran = True
            call.page(0, body)
            self._write(b"".join(resp.pack(b"page", ident, b"%d" % n) for n in range(1, count)))
            self._check(call)
        elif word == b"page" and call.pages:
            number = _count(fields.get("part_no", ""), 1, len(call.pages) - 1)
            if number is None:
                raise resp.RespError("no such page")
            call.page(number, body)
            self._check(call)
        elif word in ENDS:  # who has begun a result, or told of progress, can't say that it never ran
            self._end(call, Outcome.BAD if call.ran else ENDS[word])
        elif word not in (b"data", b"page"):  # of these, a second copy
            raise resp.RespError("unknown word")

    def _check(self, call: Call) -> None:
        whole = call.whole()
        if whole is not None:
            self._end(call, Outcome.GOOD, whole)

    def _end(self, call: Call, outcome: Outcome, result: bytes = b"") -> None:
        del self.calls[call.ident]
        if call.pages:  # the engine keeps them until it is told
            self._write(resp.pack(b"forget", call.ident))
        if outcome is not Outcome.GOOD:
            self.spent.add(call.ident)
        self._rest()
        self.answered.answered(call.attempt, outcome, result)

    def _note(self, call: Call, fields: dict[str, str]) -> None:
        kind = NOTES.get(fields.get("detail", ""))
        if kind is not None:
            try:
                level = float(fields.get("value", ""))
                call.ran = call.ran or kind != WAITS and level > 0
                call.attempt.note(kind, level)
            except ValueError:
                logger.debug("note without a number from {engine}", event="bad-note", engine=self.pool.engine)

    def _rest(self) -> None:
        """An unused connection closes before the engine closes it, at once if it is retired."""
        if self.idle is not None:
            self.idle.cancel()
            self.idle = None
        if self.up and not self.closed and not self.calls:
            wait = 0.0 if self.retired else self.pool.client.idle
            self.idle = self.pool.client.clock.call_later(wait, self._close_idle)

    def _close_idle(self) -> None:
        self.idle = None
        self.closed, self.reason = True, RETIRED if self.retired else UNUSED
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def retire(self) -> None:
        """No new attempt; close once what is out has ended.

        What is not up yet never comes up: its address may be another engine's by then.
        """
        self.retired = True
        if not self.up and self.dialing is not None:
            self.dialing.cancel()
        self._rest()

    def _abort(self, reason: str) -> None:
        """What was out may have run. It is out until the engine has learnt of the end, like what is given up."""
        self.reason = reason
        self.transport.abortConnection()
        self.end(Outcome.RST, OVERTAKE)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """What was out may have run."""
        self.reason = self.reason or end_reason(reason)
        self.end(Outcome.RST)
        self._ended(self.reason)

    def refused(self, reason: Failure) -> None:
        """It never came up, so nothing was sent. What only this machine is to blame for tells nothing of the engine."""
        self.end(Outcome.NOP if is_local(reason.value) else Outcome.NOCONN)
        self._ended(f"no-connection ({end_reason(reason)})")

    def _ended(self, reason: str) -> None:
        logger.info(
            "engine connection ended: {reason} engine={engine} address={address} cut_off={cut_off} in_doubt={in_doubt}",
            event="engine-connection-ended",
            reason=reason,
            engine=self.pool.engine,
            address="{}:{}".format(*self.pool.address),
            cut_off=self.cut_off,
            in_doubt=self.in_doubt,
        )

    def end(self, outcome: Outcome, after: float = 0.0) -> None:
        """The connection is gone, and with it what was open on it; `after`: ms until that can be relied on."""
        self.closed = True
        self.pool.links.discard(self)
        self.pool.client.links.discard(self)
        if self.idle is not None:
            self.idle.cancel()
            self.idle = None
        if self.reason not in OWN_CLOSES:
            self.in_doubt = self.answered.connection_lost(after)
        self.cut_off = len(self.calls)
        calls, self.calls = list(self.calls.values()), {}
        for call in calls:
            if not call.sent:
                call.attempt.end(outcome if outcome is Outcome.NOP else Outcome.NOCONN)
            elif after:
                self.pool.client.clock.call_later(after, partial(call.attempt.end, outcome))
            else:
                call.attempt.end(outcome)


class Pool:
    """The connections to one engine."""

    def __init__(self, client: RespEngines, engine: str, address: tuple[str, int]) -> None:
        self.client, self.engine, self.address = client, engine, address
        self.links: set[EngineLink] = set()

    def start(self, attempt: Attempt) -> None:
        """Send on a connection that can take it, else on a new one."""
        ident = attempt.request.work.rid.encode()
        link = next((x for x in self.links if x.takes(ident)), None) or self._connect()
        attempt.begun = False
        attempt.handle = call = Call(attempt, link)
        link.add(call)

    def _connect(self) -> EngineLink:
        link = EngineLink(self)
        self.links.add(link)
        self.client.opened(link)
        link.dialing = Dial(
            self.client.reactor, self.client.clock, self.address, link, self.client.connect_timeout, link.refused
        )
        return link

    def retire(self) -> None:
        """The engine has gone, or has moved."""
        for link in list(self.links):
            link.retire()


class RespEngines(Pools[Pool]):
    """The core's engine client on the platform."""

    def __init__(self, reactor: Any, clock: Clock, limits: dict[str, Any]) -> None:
        super().__init__()
        self.reactor, self.clock = reactor, clock
        self.streams = int(limits.get("streams_per_conn", 100))
        self.connect_timeout = float(limits.get("connect_timeout", CONNECT_TIMEOUT))
        self.idle = IDLE_PART * float(limits.get("conn_idle", IDLE))
        self.links: set[EngineLink] = set()  # of all pools, also of those that have gone
        self._looking = False

    def _look(self) -> None:
        for link in list(self.links):
            link.look()
        self._looking = bool(self.links)
        if self._looking:
            self.clock.call_later(SWEEP, self._look)

    def opened(self, link: EngineLink) -> None:
        """Look after a connection until its end."""
        self.links.add(link)
        if not self._looking:
            self._looking = True
            self.clock.call_later(SWEEP, self._look)

    def make(self, engine: str, address: tuple[str, int]) -> Pool:
        """A pool for an engine that is new, or has moved."""
        return Pool(self, engine, address)

    def give_up(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """The engine is told before anybody else is."""
        if isinstance(attempt.handle, Call):
            attempt.handle.link.drop(attempt.handle)
        over = attempt.request.answered or self.clock.now() >= attempt.request.deadline
        self.clock.call_later(0.0 if not attempt.begun else LAST if over else OVERTAKE, freed)


def _count(text: str, least: int, most: int) -> int | None:
    return int(text) if text.isascii() and text.isdigit() and least <= int(text) <= most else None
