"""A CancelRequest ends only the statement that it was sent for: the session is not used while it is on its way."""

from __future__ import annotations

import pytest
from test_dispatcher import TestClock
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from decklb.core.attempts import Attempt, Request
from decklb.interface import Outcome
from decklb.pg import messages as pg
from decklb.pg.cancel_request import CANCEL_TIMEOUT_MS
from decklb.pg.engine_connection import IDLE_TIMEOUT_MS
from decklb.pg.engines import PgEngines
from decklb.pg.messages import BackendType
from decklb.pg.request import PgRequest
from decklb.pg.settings import PgSettings
from decklb.settings import parse_settings
from tests.pg_program import query
from tests.standins import SETTINGS, wait_for

CANCEL_REQUEST = pg.pack_cancel(7, 9)
SESSION_START = pg.AUTHENTICATION_OK + pg.pack(BackendType.BACKEND_KEY_DATA, CANCEL_REQUEST[-8:]) + pg.READY_FOR_QUERY
COMPLETE = pg.pack_command_complete("SELECT 1") + pg.READY_FOR_QUERY


class Transport(StringTransport):
    def setTcpNoDelay(self, enabled):
        pass


class Engines:
    """The engine client with one engine that the test plays, connection by connection."""

    def __init__(self, connections=2):
        self.reactor, self.clock = MemoryReactorClock(), TestClock()
        raw = {"user": "u", "connections": connections}
        self.engines = PgEngines(self.reactor, self.clock, PgSettings.from_raw(raw, parse_settings(SETTINGS)))
        self.engines.update_endpoints({"e1": ("127.0.0.1", 1)})
        self.outcomes, self.released = [], []

    # The attempt runner.

    def attempt_ended(self, attempt, outcome, result):
        self.outcomes.append(outcome)

    def attempt_uncertain(self, attempt):
        pass

    def start(self):
        incoming = PgRequest("r1", "read", "cusco", 5000.0, b"select 1", 0, None, simple=True)
        attempt = Attempt(self, Request("r1", incoming, None, 5000.0), "e1", self.clock.now(), 5000.0)
        self.engines.start(attempt)
        return attempt

    def abandon(self, attempt):
        attempt.abandoned = True
        self.engines.abandon(attempt, lambda: self.released.append(attempt))

    # The engine.

    @property
    def dialed(self):
        """Number of connections that are being established."""
        return len(self.reactor.tcpClients)

    def connect(self):
        """Establish the oldest connection that is being established."""
        connection, transport = self.reactor.tcpClients.pop(0)[2].buildProtocol(None), Transport()
        connection.makeConnection(transport)
        return connection, transport

    def running_statement(self):
        """Start a statement on a new session. Returns its attempt, and the session's connection and transport."""
        attempt = self.start()
        connection, transport = self.connect()
        connection.dataReceived(SESSION_START)
        transport.clear()
        return attempt, connection, transport

    def assert_reused(self, transport):
        """Assert that the next statement runs in the session with this transport."""
        transport.clear()
        self.start()
        assert (self.dialed, transport.value()) == (0, query("select 1"))

    def assert_not_used(self, transport):
        """Assert that the next statement runs in a new session."""
        transport.clear()
        self.start()
        assert (self.dialed, transport.value()) == (1, b"")


def test_a_statement_that_was_not_sent_needs_no_cancel_request():
    engines = Engines()
    attempt = engines.start()
    engines.abandon(attempt)
    engines.clock.advance(1)
    connection, transport = engines.connect()
    connection.dataReceived(SESSION_START)
    assert (engines.dialed, engines.released) == (0, [attempt])
    engines.assert_reused(transport)


def test_a_cancel_request_that_is_still_dialing_when_its_statement_ends_is_not_sent():
    engines = Engines()
    attempt, session, transport = engines.running_statement()
    engines.abandon(attempt)
    connector = engines.reactor.connectors[-1]
    session.dataReceived(COMPLETE)
    assert connector.stoppedConnecting
    assert engines.released == [attempt]
    engines.reactor.tcpClients.clear()
    engines.assert_reused(transport)


def test_a_session_is_used_again_only_after_the_engine_has_read_the_cancel_request():
    engines = Engines()
    attempt, session, transport = engines.running_statement()
    engines.abandon(attempt)
    cancel, cancel_transport = engines.connect()
    assert cancel_transport.value() == CANCEL_REQUEST
    session.dataReceived(COMPLETE)
    assert engines.released == [attempt]  # the statement itself has left the engine
    engines.assert_not_used(transport)
    cancel.connectionLost(Failure(ConnectionDone()))
    engines.reactor.tcpClients.clear()
    engines.assert_reused(transport)


def test_a_session_whose_cancel_request_was_read_first_is_used_once_its_statement_has_ended():
    engines = Engines()
    attempt, session, transport = engines.running_statement()
    engines.abandon(attempt)
    engines.connect()[0].connectionLost(Failure(ConnectionDone()))
    assert engines.released == []
    session.dataReceived(COMPLETE)
    assert engines.released == [attempt]
    engines.assert_reused(transport)


@pytest.mark.parametrize("statement_ends_first", [True, False])
def test_a_session_is_closed_after_its_statement_if_its_cancel_request_was_reset(statement_ends_first):
    engines = Engines()
    attempt, session, transport = engines.running_statement()
    engines.abandon(attempt)
    cancel, _ = engines.connect()
    if statement_ends_first:
        session.dataReceived(COMPLETE)
    cancel.connectionLost(Failure(ConnectionLost()))
    if not statement_ends_first:
        assert (transport.disconnected, engines.released) == (False, [])  # the statement may still run
        session.dataReceived(COMPLETE)
    assert (transport.disconnected, engines.released) == (True, [attempt])
    engines.assert_not_used(transport)


def test_a_session_is_closed_if_its_cancel_request_is_not_read_in_time():
    engines = Engines()
    attempt, session, transport = engines.running_statement()
    engines.abandon(attempt)
    engines.connect()
    session.dataReceived(COMPLETE)
    engines.clock.advance(CANCEL_TIMEOUT_MS - 1)
    assert not transport.disconnected
    engines.clock.advance(2)
    assert transport.disconnected
    engines.assert_not_used(transport)


def test_a_session_that_waits_for_its_cancel_request_counts_as_a_connection_of_its_engine():
    engines = Engines(connections=1)
    attempt, session, _ = engines.running_statement()
    engines.abandon(attempt)
    cancel, _ = engines.connect()
    session.dataReceived(COMPLETE)
    engines.start()
    assert (engines.dialed, engines.outcomes) == (0, [Outcome.OVERLOADED])
    cancel.connectionLost(Failure(ConnectionDone()))
    engines.start()
    assert engines.outcomes == [Outcome.OVERLOADED]


def test_a_session_of_a_removed_engine_does_not_wait_for_its_cancel_request():
    engines = Engines()
    attempt, session, transport = engines.running_statement()
    engines.abandon(attempt)
    engines.connect()
    engines.engines.update_endpoints({})
    session.dataReceived(COMPLETE)
    assert transport.disconnecting
    session.connectionLost(Failure(ConnectionDone()))
    engines.clock.advance(2 * CANCEL_TIMEOUT_MS)
    assert engines.released == [attempt]


def test_an_unused_session_closes_after_the_idle_timeout_also_after_a_cancel_request():
    engines = Engines()
    attempt, session, transport = engines.running_statement()
    engines.abandon(attempt)
    cancel, _ = engines.connect()
    session.dataReceived(COMPLETE)
    cancel.connectionLost(Failure(ConnectionDone()))
    engines.clock.advance(IDLE_TIMEOUT_MS - 1)
    assert not transport.disconnecting
    engines.clock.advance(2)
    assert transport.disconnecting


# Guards against incident 3: a cancel request that arrived late ended the statement of another client.
def test_a_cancel_request_that_is_read_late_ends_no_other_clients_statement(pg_program):
    for engine in pg_program.engines:
        engine.cancels_read.clear()
    cancelled = pg_program.scripted_client()
    cancelled.send(query("sleep 300"))
    wait_for(lambda: pg_program.statements("start"), "start of the statement at the engine")
    cancelled.close()  # cancels the statement
    wait_for(lambda: sum(engine.cancels for engine in pg_program.engines), "cancel request at the engine")
    wait_for(lambda: pg_program.statements("end"), "end of the statement by itself")
    others = [pg_program.scripted_client() for _ in range(4)]
    for i, other in enumerate(others):
        other.send(query(f"sleep 1500 {i}"))
    wait_for(lambda: len(pg_program.statements("start")) == 5, "start of the other statements")
    for engine in pg_program.engines:
        engine.cancels_read.set()
    assert [other.types() for other in others] == [b"TDCZ"] * 4
