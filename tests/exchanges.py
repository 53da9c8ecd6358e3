"""Scripted exchanges with engines and clients: connecting, sending, replies and ends, on a clock of their own.

A script is a list of steps. Each step returns what the code under test did on it: bytes written, connections opened,
closed or aborted, and what the owner of the attempts was told. Bytes are latin-1 text towards engines and hex towards
clients, so that a script and its record can be kept as JSON.
"""

from __future__ import annotations

import errno
import zlib
from functools import partial

from loguru import logger
from test_dispatcher import Sink, TestClock
from twisted.internet.error import ConnectionDone, ConnectionLost, getConnectError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from decklb import interface as api
from decklb.core.attempts import Attempt, Request
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import IncomingRequest
from decklb.interface import Outcome
from decklb.net.engines import RespEngines
from decklb.net.health_check import RespHealthCheckConnection
from decklb.net.listener import FrameListener
from decklb.pg.engines import PgEngines
from decklb.pg.health_check import PgHealthCheckConnection
from decklb.pg.request import PgRequest
from decklb.pg.settings import PgSettings
from decklb.settings import parse_settings
from decklb.wire.health_check import HealthChecker
from tests.standins import SETTINGS

POSTGRES = {"user": "u", "database": "db", "connections": 2, "most_result": 200}
# Outcomes as the records name them.
RECORDED_OUTCOMES = {
    Outcome.SUCCESS: "GOOD",
    Outcome.ERROR: "BAD",
    Outcome.OVERLOADED: "FULL",
    Outcome.TIMED_OUT: "LATE",
    Outcome.UNREACHABLE: "NOCONN",
    Outcome.CONNECTION_RESET: "RST",
    Outcome.CANCELLED: "CXL",
    Outcome.NEVER_SENT: "NOP",
}
LONGEST_SHOWN = 100  # bytes of one write that are kept as they are; of longer ones the beginning and a checksum
BUDGET = 5000.0  # ms that each request of a script may take


class EngineTransport(StringTransport):
    """A connection to an engine that records what is done on it; its peer acts when the script says so."""

    def __init__(self, record, number):
        super().__init__()
        self.record, self.number = record, number

    def setTcpNoDelay(self, enabled):
        pass

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        producer.resumeProducing()

    def write(self, data):
        self.record(["write", self.number, data.decode("latin-1")])

    def loseConnection(self):
        self.record(["close", self.number])

    def abortConnection(self):
        self.record(["abort", self.number])


class EngineExchange:
    """Plays a script against one engine client and keeps what it did."""

    def __init__(self, front):
        self.reactor, self.clock = MemoryReactorClock(), TestClock()
        if front == "postgres":
            settings = PgSettings.from_raw(POSTGRES, parse_settings(SETTINGS))
            self.engines = PgEngines(self.reactor, self.clock, settings)
        else:
            self.engines = RespEngines(self.reactor, self.clock, {"streams_per_conn": 3})
        self.front, self.attempts, self.connections, self.done = front, {}, [], []

    def play(self, script):
        """The steps, each with what it led to."""
        sink = logger.add(self._logged, level="INFO", format="{message}")
        try:
            return [[step, self._step(*step)] for step in script]
        finally:
            logger.remove(sink)

    def _logged(self, message):
        extra = message.record["extra"]
        if "aborted_attempts" in extra:
            self.done.append(["ended", extra["aborted_attempts"], extra["uncertain_answers"]])

    def _step(self, name, *arguments):
        self.done = []
        dialed = len(self.reactor.tcpClients)
        getattr(self, "step_" + name)(*arguments)
        self.done += [["dial", number] for number in range(dialed, len(self.reactor.tcpClients))]
        return self.done

    # What the owner of the attempts is told.

    def attempt_ended(self, attempt, outcome, result):
        self.done.append(["end", self._name(attempt), RECORDED_OUTCOMES[outcome], result.decode("latin-1")])

    def attempt_uncertain(self, attempt):
        self.done.append(["doubt", self._name(attempt)])

    def attempt_progressed(self, attempt, kind, level):
        self.done.append(["note", self._name(attempt), kind, level])

    def _name(self, attempt):
        return next(name for name, known in self.attempts.items() if known is attempt)

    # Steps.

    def step_endpoints(self, engines):
        self.engines.update_endpoints({engine: ("127.0.0.1", port) for engine, port in engines.items()})

    def _attempt(self, name, statement, more):
        rid = f"{len(self.attempts) + 1:016x}"
        if self.front == "postgres":
            bind = more.pop("bind", None)
            bind = None if bind is None else bind.encode("latin-1")
            work = PgRequest(rid, "read", "cusco", BUDGET, statement.encode(), bind=bind, **more)
        else:
            token = more.get("token", "")
            work = IncomingRequest(rid, "read", "cusco", BUDGET, statement.encode(), deduplication_token=token)
        now = self.clock.now()
        request = Request(name, work, Sink(), now + BUDGET)
        attempt = self.attempts[name] = Attempt(self, request, "e1", now, BUDGET)
        request.attempts.append(attempt)
        return attempt

    def step_start(self, name, statement, more):
        self.engines.start(self.attempts.get(name) or self._attempt(name, statement, dict(more)))

    def step_reserve(self, name, statement, more):
        self.done.append(["trace", self.engines.reserve(self._attempt(name, statement, dict(more))).decode("latin-1")])

    def step_latest(self, name, ms):
        self.attempts[name].start_deadline_ms = ms

    def step_give_up(self, name, overdue):
        attempt = self.attempts[name]
        attempt.abandoned, attempt.timed_out = True, overdue
        self.engines.abandon(attempt, lambda: self.done.append(["freed", name]))

    def step_call_off(self, engine, trace):
        self.engines.cancel_by_token(engine, trace.encode("latin-1"), lambda: self.done.append(["called-off", trace]))

    def step_connect(self, number):
        """The connection comes up."""
        protocol = self.reactor.tcpClients[number][2].buildProtocol(None)
        self.connections += [None] * (number + 1 - len(self.connections))
        self.connections[number] = protocol
        protocol.makeConnection(EngineTransport(lambda what: self.done.append(what), number))

    def step_refuse(self, number, error):
        reason = getConnectError((getattr(errno, error), error))
        self.reactor.tcpClients[number][2].clientConnectionFailed(None, Failure(reason))

    def step_receive(self, number, text):
        """Bytes from the engine; "{a}" stands for the request id of attempt a."""
        for name, attempt in self.attempts.items():
            text = text.replace("{" + name + "}", attempt.request.incoming.client_request_id)
        self.connections[number].dataReceived(text.encode("latin-1"))

    def step_lose(self, number, how):
        reason = ConnectionLost() if how == "reset" else ConnectionDone()
        self.connections[number].connectionLost(Failure(reason))

    def step_drained(self, number):
        """All that was written has left."""
        self.connections[number].transport.producer.resumeProducing()

    def step_wait(self, ms):
        self.clock.go(ms)

    def step_close(self):
        self.engines.close()


class ClientHandle:
    """The socket of a client's connection, as far as the frame listener looks at it."""

    def __init__(self, record, number):
        self.record, self.number, self.unread = record, number, False

    def recv(self, size, flags):
        if self.unread:
            return b"x"
        raise BlockingIOError(errno.EAGAIN, "nothing to read")

    def shutdown(self, how):
        self.record(["shutdown", self.number, int(how)])


class ClientTransport(EngineTransport):
    """A connection of a client; what is written leaves when the script says so."""

    def __init__(self, record, number):
        super().__init__(record, number)
        self.handle = ClientHandle(record, number)

    def getHandle(self):
        return self.handle

    def write(self, data):
        shown = data.hex() if len(data) <= LONGEST_SHOWN else f"{data[:LONGEST_SHOWN].hex()}... {zlib.crc32(data)}"
        self.record(["write", self.number, len(data), shown])


class ListeningPort:
    """Where clients come in."""

    def __init__(self, record):
        self.record, self.numberAccepts = record, 0

    def pauseProducing(self):
        self.record(["pause"])

    def resumeProducing(self):
        self.record(["resume"])


class ClientExchange:
    """Plays a script of clients' bytes and engines' results against one frame listener and keeps what it did."""

    PLACES, SPARE = 2, 1

    def __init__(self, most_buffered):
        self.clock, self.done, self.connections, self.attempts = TestClock(), [], [], []
        core = Dispatcher(parse_settings(SETTINGS), 1, self.clock, self)
        core.update_endpoints([api.Endpoint("e1", "z", "k", 0, api.Phase.UP)])
        self.front = FrameListener(core, lambda: True, self.PLACES, self.SPARE, most_buffered)
        self.front.attach_port(ListeningPort(lambda what: self.done.append(what)))

    def play(self, script):
        """The steps, each with what it led to."""
        sink = logger.add(self._logged, level="INFO", format="{message}")
        try:
            return [[step, self._step(*step)] for step in script]
        finally:
            logger.remove(sink)

    def _logged(self, message):
        extra = message.record["extra"]
        if "abandoned" in extra:
            self.done.append(["ended", extra["requests"], extra["abandoned"]])

    def _step(self, name, *arguments):
        self.done = []
        getattr(self, "step_" + name)(*arguments)
        return self.done

    # The engine client.

    def start(self, attempt):
        self.attempts.append(attempt)
        self.done.append(
            ["start", attempt.request.incoming.client_request_id, attempt.request.incoming.statement.decode()]
        )

    def abandon(self, attempt, freed):
        self.done.append(["give-up", attempt.request.incoming.client_request_id])
        freed()

    # Steps.

    def step_connect(self):
        number = len(self.connections)
        client = self.front.buildProtocol(None)
        self.connections.append(client)
        client.makeConnection(ClientTransport(lambda what: self.done.append(what), number))

    def step_receive(self, number, data):
        self.connections[number].dataReceived(bytes.fromhex(data))

    def step_unread(self, number, unread):
        """Whether bytes of the client lie unread in its socket."""
        self.connections[number].transport.handle.unread = unread

    def step_drained(self, number):
        """All that was written has left."""
        self.connections[number].transport.producer.resumeProducing()

    def step_lose(self, number, how):
        reason = ConnectionLost() if how == "reset" else ConnectionDone()
        self.connections[number].connectionLost(Failure(reason))

    def step_end(self, number, outcome, size):
        outcomes = {text: known for known, text in RECORDED_OUTCOMES.items()}
        self.attempts[number].end(outcomes[outcome], b"x" * size)

    def step_wait(self, ms):
        self.clock.go(ms)

    def step_announce(self):
        self.front.announce_drain()
        self.done.sort()  # clients are told in no certain order

    def step_close(self):
        self.front.drain()
        self.done.sort()

    def step_owing(self):
        self.done.append(self.front.has_pending_clients)


class ProbeExchange(EngineExchange):
    """Plays a script of probes of one engine over one wire."""

    def __init__(self, front):
        self.reactor, self.clock, self.connections, self.done, self.attempts = (
            MemoryReactorClock(),
            TestClock(),
            [],
            [],
            {},
        )
        postgres = partial(PgHealthCheckConnection, {"user": "u"})
        connection = postgres if front == "postgres" else RespHealthCheckConnection
        self.checker = HealthChecker(self.reactor, self.clock, connection, 1000.0)

    def _logged(self, message):
        if "address" in message.record["extra"]:
            self.done.append(["ended"])

    def step_probe(self, name, port):
        self.checker.check("e1", ("127.0.0.1", port), 100.0, lambda ok: self.done.append(["probed", name, ok]))

    def step_close(self):
        self.checker.close()
