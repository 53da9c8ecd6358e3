"""Sends an emulated workload to a running program over real sockets, as open-loop load.

Each request is sent when it is due, whether or not earlier requests have been answered, and its latency counts from
the time it was due rather than the time it was sent. A stalled program therefore cannot slow down its own measurement
and hide the stall (coordinated omission).
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
from decklb.lab.standins.engine_server import monotonic_ms, statement
from decklb.net import frames
from decklb.pg import messages as pg

MAX_STREAMS = 24  # open requests per connection of the frame protocol
MAX_CONNECTIONS = 400
AnswerCallback = Callable[[str], None]  # called once, with "served", "refused", "failed" or "lost"


class TargetError(ValueError):
    """The address is not a valid target for load."""


def target(text: str) -> tuple[str, int]:
    """Parse `HOST:PORT`. Only loopback is allowed, so that load never reaches other people's machines.

    Raises:
        TargetError: The host is not a loopback address, or the port is invalid.
    """
    host, _, port = text.rpartition(":")
    try:
        loopback = host == "localhost" or ipaddress.ip_address(host).is_loopback
    except ValueError:
        loopback = False
    if not loopback:
        raise TargetError(f"{text}: load may only be sent to a loopback address, such as 127.0.0.1:6432")
    if not port.isdigit() or not 0 < int(port) < 65536:
        raise TargetError(f"{text}: the port must be a number from 1 to 65535")
    return ("127.0.0.1" if host == "localhost" else host), int(port)


class FrameConnection(Protocol):
    """A client connection of the platform's frame protocol, with one stream per request."""

    transport: Any
    max_open = MAX_STREAMS

    def __init__(self, run: LoadRun) -> None:
        self.run = run
        self.reader = frames.FrameReader()
        self.open: dict[int, AnswerCallback] = {}  # requests without an answer, by stream
        self.queued: list[tuple[int, bytes]] = []  # stream and frame of requests made before the connection was up
        self.established = False
        self.next_stream = 1

    def send(
        self,
        index: int,
        request_class: str,
        tenant: str,
        budget_ms: float,
        key: str,
        sql: bytes,
        on_answer: AnswerCallback,
    ) -> None:
        """Send a request, or queue it until the connection is established."""
        fields = {
            "method": request_class,
            "rid": f"{index:016x}",
            "budget": str(max(1, round(budget_ms))),
            "acct": tenant,
        }
        if key:
            fields["obj"] = key
        stream, self.next_stream = self.next_stream, self.next_stream + 1
        self.open[stream] = on_answer
        frame = frames.pack(frames.REQUEST, stream, frames.pack_fields(fields) + sql)
        if self.established:
            self.transport.write(frame)
        else:
            self.queued.append((stream, frame))

    def connectionMade(self) -> None:
        """Send the queued requests."""
        self.established = True
        self.transport.setTcpNoDelay(True)
        self.transport.write(b"".join(frame for _, frame in self.queued))
        self.queued.clear()

    def dataReceived(self, data: bytes) -> None:
        """Match answers to open requests."""
        for frame in self.reader.feed(data):
            on_answer = self.open.pop(frame.stream, None)
            if on_answer is not None:
                on_answer({frames.SERVED: "served", frames.REJECTED: "refused"}.get(frame.payload[0], "failed"))

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Count all open requests as lost."""
        self.run.connections.discard(self)
        lost, self.open = list(self.open.values()), {}
        for on_answer in lost:
            on_answer("lost")


class PgConnection(Protocol):
    """A client session of the PostgreSQL protocol, which runs one request at a time."""

    transport: Any
    max_open = 1

    def __init__(self, run: LoadRun) -> None:
        self.run = run
        self.reader = pg.MessageReader(8 << 20, startup=False)
        self.open: dict[int, AnswerCallback] = {}  # the running request under key 0, or empty
        self.unsent: bytes = b""  # messages of a request that waits for the session to become ready
        self.ready = False  # whether the session is idle, so that a request can be sent
        self.error_code = ""  # SQLSTATE of the running request's latest error; "": none
        self.established = False

    def send(
        self,
        index: int,
        request_class: str,
        tenant: str,
        budget_ms: float,
        key: str,
        sql: bytes,
        on_answer: AnswerCallback,
    ) -> None:
        """Send a statement, preceded by SET commands for the class, tenant, budget and key of the request."""
        self.open[0] = on_answer
        self.error_code = ""
        parameters = {"class": request_class, "tenant": tenant, "budget": str(max(1, round(budget_ms))), "key": key}
        self.unsent = b"".join(
            pg.pack(b"Q", f"SET decklb.{name} = '{value}'".encode() + b"\0") for name, value in parameters.items()
        )
        self.pending_commands = len(parameters) + 1
        self.unsent += pg.pack(b"Q", sql + b"\0")
        if self.ready:
            self._flush()

    def _flush(self) -> None:
        self.ready = False
        self.transport.write(self.unsent)
        self.unsent = b""

    def connectionMade(self) -> None:
        """Send the start-up message."""
        self.established = True
        self.transport.setTcpNoDelay(True)
        self.transport.write(pg.pack_startup({"user": "load", "database": "load"}))

    def dataReceived(self, data: bytes) -> None:
        """Process errors and ReadyForQuery; the request is answered once all its commands have completed."""
        for m in self.reader.feed(data):
            if m.type == b"E":
                self.error_code = pg.read_error(m.payload).get("C", "")
            elif m.type == b"Z" and self.unsent:
                self._flush()
            elif m.type == b"Z" and 0 in self.open:
                self.pending_commands -= 1
                if not self.pending_commands:
                    self.ready = True
                    result = (
                        "served" if not self.error_code else "refused" if self.error_code.startswith("53") else "failed"
                    )
                    self.open.pop(0)(result)
            elif m.type == b"Z":
                self.ready = True

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Count the running request as lost."""
        self.run.connections.discard(self)
        if 0 in self.open:
            self.open.pop(0)("lost")


class LoadRun:
    """One run of a workload against one target.

    Attributes:
        target: Host and port.
        workload: Classes and tenants of the requests.
        connection_type: Protocol of the front that is loaded.
        arrivals: The requests, drawn before the run.
        connections: Connections that are up or being established.
        answered: Number of requests that have got a result, lost ones included.
        results: Number of requests by result.
        rows: Rows of the table `requests`.
        total_weight: Sum of the priority weights of all requests that were due.
        earned_weight: Part of it that was earned: late answers earn a fraction of their weight, and requests that were
            not served earn nothing.
        max_lag_ms: Longest time in ms from when a request was due until it was sent.
        latency: For each class, the latencies in us of the requests that were served.
        on_done: Called at the end of the run.
    """

    def __init__(
        self, reactor: Any, target: tuple[str, int], front: str, workload: Workload, duration_ms: float, seed: int
    ) -> None:
        """Draw the requests.

        Args:
            reactor: Twisted's reactor.
            target: Host and port.
            front: "frames" or "pg".
            workload: The workload to draw from.
            duration_ms: Time over which requests arrive.
            seed: Seed of all random draws.
        """
        self.reactor, self.target, self.workload, self.duration_ms = reactor, target, workload, duration_ms
        self.connection_type: type[FrameConnection] | type[PgConnection] = (
            FrameConnection if front == "frames" else PgConnection
        )
        self.arrivals: Arrivals = draw(workload, Streams(seed), duration_ms)
        self.connections: set[FrameConnection | PgConnection] = set()
        self.started_at_ms = 0.0
        self.next_index = self.answered = 0
        self.results: Counter[str] = Counter()
        self.rows: list[tuple[Any, ...]] = []
        self.total_weight = self.earned_weight = 0.0
        self.max_lag_ms = 0.0
        self.latency = [HdrHistogram(1, MAX_LATENCY_US, 3) for _ in workload.classes]
        self.on_done: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Start sending."""
        self.started_at_ms = monotonic_ms()
        self._send_due()

    def _send_due(self) -> None:
        """Send all requests that are due, then wait for the next one, or for the last answers."""
        now = monotonic_ms() - self.started_at_ms
        while self.next_index < len(self.arrivals) and self.arrivals.time_ms[self.next_index] <= now:
            self._send(self.next_index, now)
            self.next_index += 1
        if self.next_index < len(self.arrivals):
            self.reactor.callLater(
                max(0.0, (float(self.arrivals.time_ms[self.next_index]) - now) / 1000), self._send_due
            )
        else:
            longest_deadline_ms = max(c.deadline_ms for c in self.workload.classes)
            self.reactor.callLater((longest_deadline_ms + 1500.0) / 1000, self._finish)

    def _finish(self) -> None:
        for connection in list(self.connections):
            if connection.established:
                connection.transport.abortConnection()
        self.reactor.callLater(0.1, self.on_done)

    def _send(self, index: int, now: float) -> None:
        arrivals, workload = self.arrivals, self.workload
        request_class = workload.classes[arrivals.class_index[index]]
        due = float(arrivals.time_ms[index])
        self.max_lag_ms = max(self.max_lag_ms, now - due)
        self.total_weight += request_class.priority_weight
        plan_factor = (
            request_class.bad_plan_factor
            if request_class.bad_plan_share and arrivals.plan_draw[index, 0] < request_class.bad_plan_share
            else 1.0
        )
        sql = statement(
            Query(
                float(arrivals.work_ms[index]),
                request_class.threads,
                request_class.io_share,
                request_class.memory_mb,
                int(arrivals.table_group[index]),
                request_class.locks_tables,
                request_class.waits_for_loads,
                plan_factor,
            )
        )
        key = f"{request_class.name}/{arrivals.key[index]}" if arrivals.key[index] >= 0 else ""

        def on_answer(result: str) -> None:
            latency_ms = monotonic_ms() - self.started_at_ms - due  # from when it was due, not from when it was sent
            self.answered += 1
            self.results[result] += 1
            weight = 0.0
            if result == "served":
                weight = request_class.priority_weight * (
                    1.0 if latency_ms <= request_class.latency_objective_ms else request_class.late_priority_weight
                )
                self.earned_weight += weight
                self.latency[arrivals.class_index[index]].record_value(max(1, int(latency_ms * 1000)))
            self.rows.append(
                (
                    due,
                    index,
                    request_class.name,
                    workload.tenants[arrivals.tenant_index[index]].name,
                    float(arrivals.work_ms[index]),
                    int(arrivals.table_group[index]),
                    result,
                    latency_ms,
                    1,  # tries: the load generator does not retry
                    0,  # attempts: not known to clients
                    weight,
                )
            )

        connection = next((x for x in self.connections if len(x.open) < x.max_open), None) or self._connect()
        if connection is None:  # the connection limit is reached
            return on_answer("lost")
        connection.send(
            index,
            request_class.name,
            workload.tenants[arrivals.tenant_index[index]].name,
            request_class.deadline_ms,
            key,
            sql,
            on_answer,
        )

    def _connect(self) -> FrameConnection | PgConnection | None:
        """Open a connection; return None at the connection limit."""
        if len(self.connections) >= MAX_CONNECTIONS:
            return None
        connection = self.connection_type(self)
        self.connections.add(connection)
        factory: Any = Factory.forProtocol(lambda: connection)
        factory.noisy = False
        host, port = self.target
        TCP4ClientEndpoint(self.reactor, host, port, 2.0).connect(factory).addErrback(connection.connectionLost)
        return connection

    def summary(self) -> dict[str, Any]:
        """Return the figures of the run, under the names that the emulator's summaries use."""
        n = len(self.arrivals)
        figures: dict[str, Any] = {
            "requests": n,
            "worth": self.earned_weight / self.total_weight if self.total_weight else 0.0,
            "unanswered": n - self.answered,
            "most_late_ms": self.max_lag_ms,
        }
        for result in ("served", "refused", "failed", "lost"):
            figures[result] = self.results[result]
        for percent, name in ((50.0, "p50"), (95.0, "p95"), (99.0, "p99")):
            for c, h in zip(self.workload.classes, self.latency, strict=True):
                figures[f"{name}_{c.name}"] = (
                    h.get_value_at_percentile(percent) / 1000.0 if h.get_total_count() else None
                )
        return figures
