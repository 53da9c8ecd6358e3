"""Scripted exchanges of an engine client with engines: dialing, sending, replies and ends, on a clock of their own.

A script is a list of steps. Each step returns what the engine client did on it: bytes written, connections opened,
closed or aborted, and what the owner of the attempts was told. Bytes are latin-1 text, so that a script and its record
can be kept as JSON.
"""

from __future__ import annotations

import errno

from loguru import logger
from test_dispatcher import Sink, TestClock
from twisted.internet.error import ConnectionDone, ConnectionLost, getConnectError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from decklb.core.dispatcher import Attempt, Request
from decklb.core.ports import Work
from decklb.net.engines import RespEngines
from decklb.pg.engines import PgEngines, PgWork
from decklb.pg.settings import PgSettings
from decklb.settings import settings_from
from tests.standins import SETTINGS

POSTGRES = {"user": "u", "database": "db", "connections": 2, "most_result": 200}
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
            settings = PgSettings.from_raw(POSTGRES, settings_from(SETTINGS))
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
        if "cut_off" in extra:
            self.done.append(["ended", extra["cut_off"], extra["in_doubt"]])

    def _step(self, name, *arguments):
        self.done = []
        dialed = len(self.reactor.tcpClients)
        getattr(self, "step_" + name)(*arguments)
        self.done += [["dial", number] for number in range(dialed, len(self.reactor.tcpClients))]
        return self.done

    # What the owner of the attempts is told.

    def attempt_ended(self, attempt, outcome, result):
        self.done.append(["end", self._name(attempt), outcome.value, result.decode("latin-1")])

    def attempt_doubted(self, attempt):
        self.done.append(["doubt", self._name(attempt)])

    def attempt_noted(self, attempt, kind, level):
        self.done.append(["note", self._name(attempt), kind, level])

    def _name(self, attempt):
        return next(name for name, known in self.attempts.items() if known is attempt)

    # Steps.

    def step_endpoints(self, engines):
        self.engines.addresses({engine: ("127.0.0.1", port) for engine, port in engines.items()})

    def _attempt(self, name, statement, more):
        rid = f"{len(self.attempts) + 1:016x}"
        if self.front == "postgres":
            bind = more.pop("bind", None)
            bind = None if bind is None else bind.encode("latin-1")
            work = PgWork(rid, "read", "cusco", BUDGET, statement.encode(), bind=bind, **more)
        else:
            work = Work(rid, "read", "cusco", BUDGET, statement.encode(), **more)
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
        self.attempts[name].latest = ms

    def step_give_up(self, name, overdue):
        attempt = self.attempts[name]
        attempt.given_up, attempt.overdue = True, overdue
        self.engines.give_up(attempt, lambda: self.done.append(["freed", name]))

    def step_call_off(self, engine, trace):
        self.engines.call_off(engine, trace.encode("latin-1"), lambda: self.done.append(["called-off", trace]))

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
            text = text.replace("{" + name + "}", attempt.request.work.rid)
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
