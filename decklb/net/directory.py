"""The directory client: the list known at the start, then polls over DNS; whole answers only."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

from decklb.core.ports import Clock, Timer
from decklb.interface import Entry, Phase
from decklb.net import dns
from decklb.net.polling import Polling
from decklb.net.start_times import StartTimes

NAME = "_api._tcp.svc.local"
MOST_FAULTS = 16  # texts of faults kept: what comes from outside must not fill memory or the log
PHASES = {"Ready": Phase.UP, "Terminating": Phase.DRAINING, "Gone": Phase.REMOVED}


@dataclass(slots=True)
class Row:
    """One engine of the list."""

    engine: str
    address: tuple[str, int]
    zone: str
    kind: str
    cell: int
    phase: Phase
    hint: float
    started: int  # Unix milliseconds, 0 for long ago


class Directory(DatagramProtocol):
    """Keeps the list; `changed` gets the entries and the addresses each time it differs."""

    transport: Any = None

    def __init__(
        self,
        clock: Clock,
        resolver: tuple[str, int] | None,
        draw: Callable[[int], int],
        changed: Callable[[list[Entry], dict[str, tuple[str, int]]], None],
        grace: float = 0.0,
    ) -> None:
        self.clock, self.draw, self.changed, self.resolver = clock, draw, changed, resolver
        self.rows: dict[str, Row] = {}
        self.index = -1
        self.heard = False  # a whole answer has come
        self.ident: int | None = None  # of the question that is out
        self.timer: Timer | None = None
        self.polling = Polling(draw, grace)
        self.faults: set[str] = set()  # told of since the last whole answer: each is logged once, not at each poll
        self.closed = False
        self._starts = StartTimes()

    def known(self, index: int, updates: list[dict[str, Any]]) -> None:
        """The events of the start, in order. What can't be read raises and changes nothing."""
        rows = dict(self.rows)
        for update in updates:
            news = update["endpoints"]
            if news.get("reset"):
                rows.clear()
            for x in news["instances"]:
                host, _, port = x["hostPort"].rpartition(":")
                phase = PHASES[x["lifecycle"]]
                if phase is Phase.REMOVED:
                    rows.pop(x["instanceId"], None)
                else:
                    rows[x["instanceId"]] = Row(
                        x["instanceId"],
                        (host, int(port)),
                        x.get("zone", ""),
                        x.get("machineType", ""),
                        int(x.get("cell", 0)),
                        phase,
                        float(x.get("weight", 1)),
                        int(x.get("startedAtMs") or 0),
                    )
        self.rows, self.index = rows, index
        self._tell()

    def move(self, resolver: tuple[str, int] | None) -> None:
        """Ask another directory from now on; the list and the number of its last event stay."""
        self.resolver, self.ident = resolver, None  # an answer that the old one still sends is to no question of ours
        self.polling.failures = 0
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.transport is not None:
            self._ask()

    def startProtocol(self) -> None:
        """The socket is open."""
        self._ask()

    def _ask(self) -> None:
        self.timer = None
        if self.closed or self.resolver is None:
            return
        self.ident = self.draw(1 << 16)
        self.timer = self.clock.call_later(self.polling.asked(), self._unanswered)
        self.transport.write(dns.query(self.ident, NAME), self.resolver)

    def _unanswered(self) -> None:
        """A lost question is asked anew, later each time; what was known stays in use."""
        self.polling.failed()
        self._fault("directory-silent", "no whole answer in time")
        self._ask()

    def _fault(self, event: str, error: str) -> None:
        if error not in self.faults and len(self.faults) < MOST_FAULTS:
            self.faults.add(error)
            logger.warning("directory: {error}; list {index} stays", event=event, index=self.index, error=error)

    def datagramReceived(self, datagram: bytes, addr: object) -> None:
        """An answer; only the one to the question that is out counts."""
        try:
            reply = dns.read_reply(datagram)
            if reply.ident != self.ident:
                return
            rows = rows_from(reply)
        except (dns.DnsError, ValueError) as error:
            return self._fault("directory-answer-dropped", str(error))
        self.ident = None
        if self.timer is not None:
            self.timer.cancel()
        if self.polling.failures:
            logger.info(
                "directory answers again after {failures} questions",
                event="directory-back",
                failures=self.polling.failures,
            )
        self.timer = self.clock.call_later(self.polling.answered(), self._ask)
        serial = reply.serial or 0
        if serial < self.index:  # the directory, or one of several behind its address, lags
            return self._fault("directory-answer-old", "a list older than the one known")
        self.faults.clear()
        new, self.heard = serial > self.index or not self.heard, True
        self.index = serial
        if new:
            self.rows = rows
            self._tell()
        else:
            self._starts.heard(self.clock.now(), time.time() * 1000.0)

    def connectionRefused(self) -> None:
        """Nobody listens there just now; the time-out asks again."""
        self._fault("directory-refused", "nobody listens there")

    def _tell(self) -> None:
        started = self._starts.read(
            [(r.engine, r.started) for r in self.rows.values()], self.clock.now(), time.time() * 1000.0, self.heard
        )
        entries = [
            Entry(r.engine, r.zone, r.kind, r.cell, r.phase, r.hint, started[r.engine]) for r in self.rows.values()
        ]
        logger.info(
            "list {index}: {engines} engines, {draining} draining",
            event="list",
            index=self.index,
            engines=len(entries),
            draining=sum(e.phase is Phase.DRAINING for e in entries),
        )
        self.changed(entries, {r.engine: r.address for r in self.rows.values()})

    def close(self) -> None:
        """Ask no more."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def rows_from(reply: dns.Reply) -> dict[str, Row]:
    """The list in an answer. Raises DnsError if a record that a target needs is missing."""
    rows = {}
    if reply.serial is None:
        raise dns.DnsError("no serial")
    for t in reply.targets:
        if t.name not in reply.addresses or t.name not in reply.texts:
            raise dns.DnsError("a target lacks its records")
        engine, _, rest = t.name.partition(".")
        text = dict(x.partition("=")[::2] for x in reply.texts[t.name])
        rows[engine] = Row(
            engine,
            (reply.addresses[t.name], t.port),
            rest.partition(".")[0],
            text.get("kind", ""),
            int(text.get("cell", 0)),
            Phase.DRAINING if t.priority else Phase.UP,
            t.weight / 10,
            int(text.get("started", 0)),
        )
    return rows
