"""Load on a running program: the emulator's workloads over real sockets, open loop.

Requests go out when they are due, whatever became of those before, and latencies count from that moment, not from when
the request could be sent: a stalled program does not slow down who measures it (coordinated omission).
"""

from __future__ import annotations

import ipaddress
from collections import Counter
from collections.abc import Callable
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from decklb.lab.emulation.engine_model import Query
from decklb.lab.emulation.random_streams import Streams
from decklb.lab.emulation.run_records import MAX_LATENCY_US
from decklb.lab.emulation.workload import Arrivals, Workload, draw
from decklb.lab.standins.engine_server import moment, statement
from decklb.net import frames
from decklb.pg import messages as pg

STREAMS = 24  # requests open on one connection of frames
MOST_LINKS = 400
Told = Callable[[str], None]


class TargetError(ValueError):
    """Where load may not go."""


def target(text: str) -> tuple[str, int]:
    """`HOST:PORT` on loopback. Raises TargetError for all others: load is for programs of one's own."""
    host, _, port = text.rpartition(":")
    try:
        loopback = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not loopback:
        raise TargetError(f"{text}: only loopback addresses, such as 127.0.0.1:6432, are loaded")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise TargetError(f"{text}: a port from 1 to 65535 would be right")
    return ("127.0.0.1" if host == "localhost" else host), int(port)


class FrameLink(Protocol):
    """One connection with streams of the platform's frames."""

    transport: Any
    most = STREAMS

    def __init__(self, load: Load) -> None:
        self.load = load
        self.reader = frames.FrameReader()
        self.open: dict[int, Told] = {}
        self.queued: list[tuple[int, bytes]] = []
        self.up = False
        self.next = 1

    def ask(self, ident: int, lane: str, tenant: str, budget: float, key: str, text: bytes, told: Told) -> None:
        """Send one request, now or when the connection is up."""
        fields = {"method": lane, "rid": f"{ident:016x}", "budget": str(max(1, round(budget))), "acct": tenant}
        if key:
            fields["obj"] = key
        number, self.next = self.next, self.next + 1
        self.open[number] = told
        frame = frames.pack(frames.REQUEST, number, frames.pack_fields(fields) + text)
        if self.up:
            self.transport.write(frame)
        else:
            self.queued.append((number, frame))

    def connectionMade(self) -> None:
        """What has waited goes."""
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.transport.write(b"".join(frame for _, frame in self.queued))
        self.queued.clear()

    def dataReceived(self, data: bytes) -> None:
        """Answers."""
        for frame in self.reader.feed(data):
            told = self.open.pop(frame.stream, None)
            if told is not None:
                told({frames.SERVED: "served", frames.REJECTED: "refused"}.get(frame.payload[0], "failed"))

    def connectionLost(self, reason: Failure | None = None) -> None:
        """What is open has no answer."""
        self.load.links.discard(self)
        lost, self.open = list(self.open.values()), {}
        for told in lost:
            told("lost")


class PgLink(Protocol):
    """One session, one statement at a time."""

    transport: Any
    most = 1

    def __init__(self, load: Load) -> None:
        self.load = load
        self.reader = pg.MessageReader(8 << 20, startup=False)
        self.open: dict[int, Told] = {}
        self.waiting: bytes = b""
        self.ready = False
        self.state = ""
        self.up = False

    def ask(self, ident: int, lane: str, tenant: str, budget: float, key: str, text: bytes, told: Told) -> None:
        """One statement, with what it is set before it."""
        self.open[0] = told
        self.state = ""
        sets = {"class": lane, "tenant": tenant, "budget": str(max(1, round(budget))), "key": key}
        self.waiting = b"".join(pg.pack(b"Q", f"SET decklb.{k} = '{v}'".encode() + b"\0") for k, v in sets.items())
        self.steps = len(sets) + 1
        self.waiting += pg.pack(b"Q", text + b"\0")
        if self.ready:
            self._send()

    def _send(self) -> None:
        self.ready = False
        self.transport.write(self.waiting)
        self.waiting = b""

    def connectionMade(self) -> None:
        """Introduce ourselves."""
        self.up = True
        self.transport.setTcpNoDelay(True)
        self.transport.write(pg.pack_startup({"user": "load", "database": "load"}))

    def dataReceived(self, data: bytes) -> None:
        """The program's messages."""
        for m in self.reader.feed(data):
            if m.type == b"E":
                self.state = pg.read_error(m.payload).get("C", "")
            elif m.type == b"Z" and self.waiting:
                self._send()
            elif m.type == b"Z" and 0 in self.open:
                self.steps -= 1
                if not self.steps:
                    self.ready = True
                    kind = "served" if not self.state else "refused" if self.state.startswith("53") else "failed"
                    self.open.pop(0)(kind)
            elif m.type == b"Z":
                self.ready = True

    def connectionLost(self, reason: Failure | None = None) -> None:
        """What is open has no answer."""
        self.load.links.discard(self)
        if 0 in self.open:
            self.open.pop(0)("lost")


class Load:
    """One run of a workload against one target."""

    def __init__(
        self, reactor: Any, where: tuple[str, int], front: str, workload: Workload, span: float, seed: int
    ) -> None:
        """`front`: frames or pg. `span` in ms."""
        self.reactor, self.where, self.workload, self.span = reactor, where, workload, span
        self.kind: type[FrameLink] | type[PgLink] = FrameLink if front == "frames" else PgLink
        self.arrivals: Arrivals = draw(workload, Streams(seed), span)
        self.links: set[FrameLink | PgLink] = set()
        self.began = 0.0
        self.next = self.answered = 0
        self.kinds: Counter[str] = Counter()
        self.rows: list[tuple[Any, ...]] = []
        self.asked = self.earned = 0.0
        self.late = 0.0  # most ms by which a request went out after it was due
        self.latency = [HdrHistogram(1, MAX_LATENCY_US, 3) for _ in workload.classes]
        self.done: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Begin now."""
        self.began = moment()
        self._due()

    def _due(self) -> None:
        now = moment() - self.began
        while self.next < len(self.arrivals) and self.arrivals.time_ms[self.next] <= now:
            self._ask(self.next, now)
            self.next += 1
        if self.next < len(self.arrivals):
            self.reactor.callLater(max(0.0, (float(self.arrivals.time_ms[self.next]) - now) / 1000), self._due)
        else:
            longest = max(c.deadline_ms for c in self.workload.classes)
            self.reactor.callLater((longest + 1500.0) / 1000, self._finish)

    def _finish(self) -> None:
        for link in list(self.links):
            if link.up:
                link.transport.abortConnection()
        self.reactor.callLater(0.1, self.done)

    def _ask(self, i: int, now: float) -> None:
        a, w = self.arrivals, self.workload
        c = w.classes[a.class_index[i]]
        due = float(a.time_ms[i])
        self.late = max(self.late, now - due)
        self.asked += c.priority_weight
        plan = c.bad_plan_factor if c.bad_plan_share and a.plan_draw[i, 0] < c.bad_plan_share else 1.0
        text = statement(
            Query(
                float(a.work_ms[i]),
                c.threads,
                c.io_share,
                c.memory_mb,
                int(a.table_group[i]),
                c.locks_tables,
                c.waits_for_loads,
                plan,
            )
        )
        key = f"{c.name}/{a.key[i]}" if a.key[i] >= 0 else ""

        def told(kind: str) -> None:
            took = moment() - self.began - due  # from when it was due
            self.answered += 1
            self.kinds[kind] += 1
            worth = 0.0
            if kind == "served":
                worth = c.priority_weight * (1.0 if took <= c.latency_objective_ms else c.late_priority_weight)
                self.earned += worth
                self.latency[a.class_index[i]].record_value(max(1, int(took * 1000)))
            self.rows.append(
                (
                    due,
                    i,
                    c.name,
                    w.tenants[a.tenant_index[i]].name,
                    float(a.work_ms[i]),
                    int(a.table_group[i]),
                    kind,
                    took,
                    1,
                    0,
                    worth,
                )
            )

        link = next((x for x in self.links if len(x.open) < x.most), None) or self._connect()
        if link is None:  # as many connections as one client may have
            return told("lost")
        link.ask(i, c.name, w.tenants[a.tenant_index[i]].name, c.deadline_ms, key, text, told)

    def _connect(self) -> FrameLink | PgLink | None:
        if len(self.links) >= MOST_LINKS:
            return None
        link = self.kind(self)
        self.links.add(link)
        factory: Any = Factory.forProtocol(lambda: link)
        factory.noisy = False
        host, port = self.where
        TCP4ClientEndpoint(self.reactor, host, port, 2.0).connect(factory).addErrback(link.connectionLost)
        return link

    def summary(self) -> dict[str, Any]:
        """One row, with the emulator's names."""
        n = len(self.arrivals)
        made: dict[str, Any] = {
            "requests": n,
            "worth": self.earned / self.asked if self.asked else 0.0,
            "unanswered": n - self.answered,
            "most_late_ms": self.late,
        }
        for kind in ("served", "refused", "failed", "lost"):
            made[kind] = self.kinds[kind]
        for share, name in ((50.0, "p50"), (95.0, "p95"), (99.0, "p99")):
            for c, h in zip(self.workload.classes, self.latency, strict=True):
                made[f"{name}_{c.name}"] = h.get_value_at_percentile(share) / 1000.0 if h.get_total_count() else None
        return made
