"""Scripted exchanges with engines and clients (connects, requests, replies and connection ends) on a simulated clock.

A script is a list of steps. Each step returns its effects, i.e. what the code under test did: bytes written,
connections opened, closed or aborted, and calls of the attempt listener. Bytes are latin-1 text in exchanges with
engines and hex in exchanges with clients, so that a script and its effects can be stored as JSON.
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
from decklb.core.memory_account import MemoryAccount
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
from tests.standins import OPEN_SOCKETS, SETTINGS

POSTGRES_SETTINGS = {"user": "u", "database": "db", "connections": 2, "most_result": 200}
# Names of the outcomes in the recorded exchanges.
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
MAX_RECORDED = 100  # bytes of a write; of a longer one the beginning and a checksum are recorded
BUDGET_MS = 5000.0  # time budget of each request of a script, in ms


class EngineTransport(StringTransport):
    """The transport of a connection to an engine; it records the calls, and the script acts as the peer."""

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
    """Plays a script against an engine client and records the effects."""

    def __init__(self, front):
        self.reactor, self.clock = MemoryReactorClock(), TestClock()
        if front == "postgres":
            settings = PgSettings.from_raw(POSTGRES_SETTINGS, parse_settings(SETTINGS))
            self.engines = PgEngines(self.reactor, self.clock, settings)
        else:
            self.engines = RespEngines(self.reactor, self.clock, {"streams_per_conn": 3})
        self.front, self.attempts, self.connections, self.effects = front, {}, [], []

    def play(self, script):
        """Return the steps, each with its effects."""
        sink = logger.add(self._on_log_message, level="INFO", format="{message}")
        try:
            return [[step, self._step(*step)] for step in script]
        finally:
            logger.remove(sink)

    def _on_log_message(self, message):
        extra = message.record["extra"]
        if "aborted_attempts" in extra:
            self.effects.append(["ended", extra["aborted_attempts"], extra["uncertain_answers"]])

    def _step(self, name, *arguments):
        self.effects = []
        dialed_before = len(self.reactor.tcpClients)
        getattr(self, "step_" + name)(*arguments)
        self.effects += [["dial", number] for number in range(dialed_before, len(self.reactor.tcpClients))]
        return self.effects

    # The attempt listener.

    def attempt_ended(self, attempt, outcome, result):
        self.effects.append(["end", self._name(attempt), RECORDED_OUTCOMES[outcome], result.decode("latin-1")])

    def attempt_uncertain(self, attempt):
        self.effects.append(["doubt", self._name(attempt)])

    def attempt_progressed(self, attempt, kind, level):
        self.effects.append(["note", self._name(attempt), kind, level])

    def _name(self, attempt):
        return next(name for name, candidate in self.attempts.items() if candidate is attempt)

    # Steps.

    def step_endpoints(self, engines):
        self.engines.update_endpoints({engine: ("127.0.0.1", port) for engine, port in engines.items()})

    def _attempt(self, name, statement, options):
        rid = f"{len(self.attempts) + 1:016x}"
        if self.front == "postgres":
            bind = options.pop("bind", None)
            bind = None if bind is None else bind.encode("latin-1")
            incoming = PgRequest(rid, "read", "cusco", BUDGET_MS, statement.encode(), bind=bind, **options)
        else:
            token = options.get("token", "")
            incoming = IncomingRequest(rid, "read", "cusco", BUDGET_MS, statement.encode(), deduplication_token=token)
        now = self.clock.now()
        request = Request(name, incoming, Sink(), now + BUDGET_MS)
        attempt = self.attempts[name] = Attempt(self, request, "e1", now, BUDGET_MS)
        request.attempts.append(attempt)
        return attempt

    def step_start(self, name, statement, options):
        self.engines.start(self.attempts.get(name) or self._attempt(name, statement, dict(options)))

    def step_reserve(self, name, statement, options):
        self.effects.append(
            ["trace", self.engines.reserve(self._attempt(name, statement, dict(options))).decode("latin-1")]
        )

    def step_latest(self, name, ms):
        self.attempts[name].start_deadline_ms = ms

    def step_give_up(self, name, timed_out):
        attempt = self.attempts[name]
        attempt.abandoned, attempt.timed_out = True, timed_out
        self.engines.abandon(attempt, lambda: self.effects.append(["freed", name]))

    def step_call_off(self, engine, cancel_token):
        self.engines.cancel_by_token(
            engine, cancel_token.encode("latin-1"), lambda: self.effects.append(["called-off", cancel_token])
        )

    def step_connect(self, number):
        """The connection is established."""
        protocol = self.reactor.tcpClients[number][2].buildProtocol(None)
        self.connections += [None] * (number + 1 - len(self.connections))
        self.connections[number] = protocol
        protocol.makeConnection(EngineTransport(lambda effect: self.effects.append(effect), number))

    def step_refuse(self, number, error):
        reason = getConnectError((getattr(errno, error), error))
        self.reactor.tcpClients[number][2].clientConnectionFailed(None, Failure(reason))

    def step_receive(self, number, text):
        """Receive bytes from the engine; "{a}" stands for the request id of attempt a."""
        for name, attempt in self.attempts.items():
            text = text.replace("{" + name + "}", attempt.request.incoming.client_request_id)
        self.connections[number].dataReceived(text.encode("latin-1"))

    def step_lose(self, number, how):
        reason = ConnectionLost() if how == "reset" else ConnectionDone()
        self.connections[number].connectionLost(Failure(reason))

    def step_drained(self, number):
        """The transport has sent everything written."""
        self.connections[number].transport.producer.resumeProducing()

    def step_wait(self, ms):
        self.clock.advance(ms)

    def step_close(self):
        self.engines.close()


class ClientHandle:
    """The part of a client connection's socket that the frame listener uses."""

    def __init__(self, record, number):
        self.record, self.number, self.unread = record, number, False

    def fileno(self):
        return OPEN_SOCKETS[0].fileno()

    def recv(self, size, flags):
        if self.unread:
            return b"x"
        raise BlockingIOError(errno.EAGAIN, "nothing to read")

    def shutdown(self, how):
        self.record(["shutdown", self.number, int(how)])


class ClientTransport(EngineTransport):
    """The transport of a client connection; written bytes count as sent when the script specifies it."""

    def __init__(self, record, number):
        super().__init__(record, number)
        self.handle = ClientHandle(record, number)

    def getHandle(self):
        return self.handle

    def write(self, data):
        recorded = data.hex() if len(data) <= MAX_RECORDED else f"{data[:MAX_RECORDED].hex()}... {zlib.crc32(data)}"
        self.record(["write", self.number, len(data), recorded])


class ListeningPort:
    """The listening port of the frame listener."""

    def __init__(self, record):
        self.record, self.numberAccepts = record, 0

    def pauseProducing(self):
        self.record(["pause"])

    def resumeProducing(self):
        self.record(["resume"])


class ClientExchange:
    """Plays a script of client input and attempt results against a frame listener and records the effects."""

    MAX_CLIENTS, SPARE_CLIENTS = 2, 1

    def __init__(self, max_held_bytes):
        self.clock, self.effects, self.connections, self.attempts = TestClock(), [], [], []
        dispatcher = Dispatcher(parse_settings(SETTINGS), 1, self.clock, self)
        dispatcher.update_endpoints([api.Endpoint("e1", "z", "k", 0, api.Phase.UP)])
        self.front = FrameListener(
            dispatcher, lambda: True, self.MAX_CLIENTS, self.SPARE_CLIENTS, MemoryAccount(max_held_bytes)
        )
        self.front.attach_port(ListeningPort(lambda effect: self.effects.append(effect)))

    def play(self, script):
        """Return the steps, each with its effects."""
        sink = logger.add(self._on_log_message, level="INFO", format="{message}")
        try:
            return [[step, self._step(*step)] for step in script]
        finally:
            logger.remove(sink)

    def _on_log_message(self, message):
        extra = message.record["extra"]
        if "abandoned" in extra:
            self.effects.append(["ended", extra["requests"], extra["abandoned"]])

    def _step(self, name, *arguments):
        self.effects = []
        getattr(self, "step_" + name)(*arguments)
        return self.effects

    # The engine client.

    def start(self, attempt):
        self.attempts.append(attempt)
        self.effects.append(
            ["start", attempt.request.incoming.client_request_id, attempt.request.incoming.statement.decode()]
        )

    def abandon(self, attempt, on_released):
        self.effects.append(["give-up", attempt.request.incoming.client_request_id])
        on_released()

    # Steps.

    def step_connect(self):
        number = len(self.connections)
        client = self.front.buildProtocol(None)
        self.connections.append(client)
        client.makeConnection(ClientTransport(lambda effect: self.effects.append(effect), number))

    def step_receive(self, number, data):
        self.connections[number].dataReceived(bytes.fromhex(data))

    def step_unread(self, number, unread):
        """Set whether the client's socket has unread bytes."""
        self.connections[number].transport.handle.unread = unread

    def step_drained(self, number):
        """The transport has sent everything written."""
        self.connections[number].transport.producer.resumeProducing()

    def step_lose(self, number, how):
        reason = ConnectionLost() if how == "reset" else ConnectionDone()
        self.connections[number].connectionLost(Failure(reason))

    def step_end(self, number, outcome, size):
        outcomes = {name: value for value, name in RECORDED_OUTCOMES.items()}
        self.attempts[number].end(outcomes[outcome], b"x" * size)

    def step_wait(self, ms):
        self.clock.advance(ms)

    def step_announce(self):
        self.front.announce_drain()
        self.effects.sort()  # the order of clients is not defined

    def step_close(self):
        self.front.drain()
        self.effects.sort()

    def step_owing(self):
        self.effects.append(self.front.has_pending_clients)


class HealthCheckExchange(EngineExchange):
    """Plays a script of health checks of one engine over one protocol."""

    def __init__(self, front):
        self.reactor, self.clock, self.connections, self.effects, self.attempts = (
            MemoryReactorClock(),
            TestClock(),
            [],
            [],
            {},
        )
        postgres = partial(PgHealthCheckConnection, {"user": "u"})
        connection = postgres if front == "postgres" else RespHealthCheckConnection
        self.checker = HealthChecker(self.reactor, self.clock, connection, 1000.0)

    def _on_log_message(self, message):
        if "address" in message.record["extra"]:
            self.effects.append(["ended"])

    def step_probe(self, name, port):
        self.checker.check("e1", ("127.0.0.1", port), 100.0, lambda ok: self.effects.append(["probed", name, ok]))

    def step_close(self):
        self.checker.close()
