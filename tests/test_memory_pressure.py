"""What both fronts do when connections hold all the memory that the account allows."""

from __future__ import annotations

import asyncio

import pytest
from test_dispatcher import TestClock
from twisted.internet.testing import StringTransport

from decklb import interface as api
from decklb.core.dispatcher import Dispatcher
from decklb.core.memory_account import HeldKind, MemoryAccount
from decklb.interface import Outcome
from decklb.middleware import RequestSpec, WorkloadMiddleware
from decklb.net import frames
from decklb.net.connection_limits import EVICTION_GRACE_MS
from decklb.net.engines import RespEngines
from decklb.net.listener import FrameListener
from decklb.pg import messages as pg
from decklb.pg.listener import PgListener
from decklb.pg.settings import PgSettings
from decklb.settings import parse_settings
from decklb.wire.partial_messages import STALLED_AFTER_MS, PartialMessages
from tests.frame_standins import request
from tests.standins import OPEN_SOCKETS, SETTINGS

LIMIT = 200_000
LARGE = 100_000


class Transport(StringTransport):
    """A transport whose written bytes count as sent when the test calls `flush`."""

    def __init__(self):
        super().__init__()
        self.aborted, self.reading = False, True

    def setTcpNoDelay(self, enabled):
        pass

    def getHandle(self):
        return self

    def recv(self, size, flags):
        raise BlockingIOError(11, "nothing")

    def shutdown(self, how):
        pass

    def fileno(self):
        return OPEN_SOCKETS[0].fileno()

    def pauseProducing(self):
        self.reading = False

    def resumeProducing(self):
        self.reading = True

    def abortConnection(self):
        self.aborted = True


class Engines:
    """An engine client that records the attempts."""

    def __init__(self):
        self.attempts = []

    def start(self, attempt):
        self.attempts.append(attempt)

    def abandon(self, attempt, on_released):
        on_released()


class Front:
    """A listener of one of the fronts with an account."""

    def __init__(self, kind="platform", limit=LIMIT, max_clients=50):
        self.clock, self.engines, self.account = TestClock(), Engines(), MemoryAccount(limit)
        self.dispatcher = Dispatcher(parse_settings(SETTINGS), 1, self.clock, self.engines)
        self.dispatcher.update_endpoints([api.Endpoint("e1", "z", "k", 0, api.Phase.UP)])
        if kind == "platform":
            self.listener = FrameListener(self.dispatcher, lambda: True, max_clients, 10, self.account)
        else:
            settings = PgSettings.from_raw({"user": "u"}, self.dispatcher.settings)
            self.listener = PgListener(self.dispatcher, settings, lambda bound: 7 % bound, 50, self.account)

    def connect(self):
        client = self.listener.buildProtocol(None)
        client.makeConnection(Transport())
        return client

    def session(self):
        client = self.connect()
        client.dataReceived(pg.pack_startup({"user": "u"}))
        client.transport.clear()
        return client

    def deliver(self, client, data):
        """Receive bytes, which the transport does only while it reads, and let turns that wait be handled."""
        while not client.transport.reading:
            self.clock.advance(1)
        client.dataReceived(data)
        self.clock.advance(1)

    def end_attempts(self, outcome=Outcome.SUCCESS, result=b"a\tb\tc\n"):
        self.clock.advance(50)
        attempts, self.engines.attempts = self.engines.attempts, []
        for attempt in attempts:
            attempt.end(outcome, result)
        self.clock.advance(50)


def answers(client):
    """Return stream and code of each answer that was written, and forget them."""
    data = client.transport.value()
    client.transport.clear()
    return [(f.stream, f.payload[0]) for f in frames.FrameReader().feed(data) if f.type == frames.ANSWER]


def message_types(client):
    data = client.transport.value()
    client.transport.clear()
    return b"".join(message.type for message in pg.split_messages(data)).decode()


def fill(front, amount):
    other = front.account.holder("other")
    other.set(HeldKind.ENGINE, amount)
    return other


@pytest.mark.parametrize("piece", [700, 30_000, LARGE])
def test_a_large_request_without_memory_is_rejected_at_its_end_and_its_connection_goes_on(piece):
    front = Front()
    client, other = front.connect(), fill(front, front.account.large_limit_bytes)
    data = request(1, b"x" * LARGE)
    for start in range(0, len(data) - 1, piece):
        front.deliver(client, data[start : min(start + piece, len(data) - 1)])
        assert client.holder.total <= 8192 + 30_000
    assert answers(client) == []
    front.deliver(client, data[-1:])
    assert answers(client) == [(1, frames.REJECTED)]
    assert not front.engines.attempts
    other.set(HeldKind.ENGINE, 0)
    client.dataReceived(request(2, b"x" * LARGE))
    front.end_attempts()
    assert answers(client) == [(2, frames.SERVED)]


@pytest.mark.parametrize("first", range(1, 12))
def test_a_message_can_be_discarded_from_any_byte_of_its_header_on(first):
    for kind, data in (
        ("platform", request(1, b"x" * LARGE)),
        ("postgres", pg.pack(b"Q", b"select '" + b"x" * LARGE + b"'\0")),
    ):
        front = Front(kind)
        client = front.connect() if kind == "platform" else front.session()
        fill(front, front.account.limit_bytes)
        front.deliver(client, data[:first])
        front.deliver(client, data[first:-1])
        assert client.transport.value() == b""
        front.deliver(client, data[-1:])
        assert client.transport.value() != b""


def test_a_small_request_is_served_where_a_large_one_is_rejected():
    front = Front()
    client = front.connect()
    fill(front, front.account.large_limit_bytes + 1)
    client.dataReceived(request(1, b"x" * 4000) + request(2, b"x" * 9000))
    front.end_attempts()
    assert answers(client) == [(2, frames.REJECTED), (1, frames.SERVED)]


def test_no_request_is_taken_over_the_limit_and_each_gets_an_answer():
    front = Front()
    client = front.connect()
    fill(front, front.account.limit_bytes)
    client.dataReceived(b"".join(request(stream, b"x") for stream in range(1, 31)))
    assert answers(client) == [(stream, frames.REJECTED) for stream in range(1, 31)]


def test_a_message_that_makes_no_progress_is_given_up_before_one_that_does():
    front = Front()
    stalled, active = front.connect(), front.connect()
    stalled.dataReceived(request(1, b"x" * LARGE)[:-1])
    front.clock.advance(STALLED_AFTER_MS + 1)
    data = request(1, b"x" * LARGE)
    active.dataReceived(data[:-1])
    assert stalled.holder.total == 0
    assert active.holder.total == len(data) - 1
    active.dataReceived(data[-1:])
    stalled.dataReceived(b"x")
    front.end_attempts()
    assert answers(stalled) == [(1, frames.REJECTED)]
    assert answers(active) == [(1, frames.SERVED)]


def test_all_charges_end_with_requests_and_connections():
    front = Front()
    clients = [front.connect() for _ in range(4)]
    for client in clients:
        client.dataReceived(request(1, b"x" * 3000) + request(2, b"y" * 3000) + request(3, b"z" * 900)[:-1])
    front.clock.advance(50)
    assert front.account.total > 4 * 6900
    clients[0].connectionLost()
    front.end_attempts()
    assert front.account.by_kind[HeldKind.REQUEST] == 0
    for client in clients[1:]:
        client.resumeProducing()
        client.connectionLost()
    assert front.account.total == 0
    assert not front.dispatcher.requests


def test_a_finished_request_keeps_no_statement():
    front = Front()
    client = front.connect()
    client.dataReceived(request(1, b"x" * 3000))
    front.clock.advance(50)
    attempt = front.engines.attempts[0]
    front.end_attempts()
    assert attempt.request.incoming.statement == b""


def test_unread_answers_become_failures_when_memory_is_short_and_reading_pauses():
    front = Front()
    client = front.connect()
    client.dataReceived(request(1, b"x") + request(2, b"x"))
    fill(front, front.account.large_limit_bytes + 1)
    front.end_attempts(result=b"r" * 40_000)
    assert answers(client) == [(1, frames.SERVED), (2, frames.FAILED)]
    assert not client.transport.reading
    client.resumeProducing()
    assert client.transport.reading
    assert not client.transport.aborted


def test_a_large_query_without_memory_is_refused_and_the_session_goes_on():
    front = Front("postgres")
    session, other = front.session(), fill(front, front.account.large_limit_bytes)
    session.dataReceived(pg.pack(b"Q", b"select '" + b"x" * LARGE + b"'\0"))
    assert message_types(session) == "EZ"
    session.dataReceived(pg.pack(b"P", b"a\0select '" + b"x" * LARGE + b"'\0\0\0") + pg.SYNC)
    assert message_types(session) == "EZ"
    other.set(HeldKind.ENGINE, 0)
    session.dataReceived(pg.pack(b"Q", b"select 1\0"))
    front.end_attempts(result=pg.pack_command_complete("SELECT 0"))
    assert message_types(session) == "CZ"


def test_partial_queries_hold_no_more_than_the_account_allows():
    front = Front("postgres")
    data = pg.pack(b"Q", b"select '" + b"x" * LARGE + b"'\0")
    sessions = [front.session() for _ in range(8)]
    for start in range(0, len(data) - 1, 10_000):
        for session in sessions:
            front.deliver(session, data[start : min(start + 10_000, len(data) - 1)])
            assert front.account.total <= front.account.large_limit_bytes
    for session in sessions:
        front.deliver(session, data[-1:])
    front.end_attempts(result=pg.pack_command_complete("SELECT 0"))
    assert {message_types(session) for session in sessions} <= {"EZ", "CZ"}


def test_prepared_statements_and_portals_are_charged_and_refused_without_memory():
    front = Front("postgres")
    session = front.session()
    for number in range(30):
        parse = pg.pack(b"P", b"s%d\0select '" % number + b"x" * 7000 + b"'\0\0\0")
        bind = pg.pack(b"B", b"p%d\0s%d\0\0\0\0\0\0\0" % (number, number))
        front.deliver(session, parse + bind + pg.SYNC)
    assert front.account.total <= LIMIT
    assert "E" in message_types(session)
    front.deliver(session, pg.pack(b"C", b"Ss0\0") + pg.SYNC)
    front.deliver(session, pg.pack(b"Q", b"DEALLOCATE ALL\0"))
    assert front.account.total < 1000
    session.connectionLost()
    assert front.account.total == 0


def test_a_result_without_memory_is_told_as_uncertain():
    front = Front("postgres")
    session = front.session()
    session.dataReceived(pg.pack(b"Q", b"select 1\0"))
    front.clock.advance(50)
    fill(front, front.account.large_limit_bytes)
    front.end_attempts(result=b"D" * 50_000)
    assert b"40003" in session.transport.value()


def test_the_messages_of_a_session_that_wait_are_bounded():
    front = Front("postgres")
    session = front.session()
    session.dataReceived(pg.pack(b"Q", b"select 1\0"))
    front.clock.advance(50)
    fill(front, front.account.large_limit_bytes + 1)
    session.dataReceived(pg.SYNC * 100)
    assert not session.transport.reading
    front.end_attempts(result=pg.pack_command_complete("SELECT 0"))
    assert session.transport.reading


class EngineTransport(Transport):
    """A transport to an engine that reads when the test calls `flush`."""

    def flush(self):
        self.clear()
        self.producer.resumeProducing()


def test_copies_of_large_requests_wait_for_the_engine_to_read():
    clock, account = TestClock(), MemoryAccount(1 << 30)
    engines = RespEngines(None, clock, {}, account)
    pool = engines.make_pool("e1", ("127.0.0.1", 1))
    connection = pool.make_connection()
    connection.makeConnection(EngineTransport())
    clock.advance(2)
    front = Front(limit=1 << 30)
    client = front.connect()
    for stream in range(1, 11):
        client.dataReceived(request(stream, b"x" * 100_000))
    front.clock.advance(50)
    pool.connections.add(connection)
    for attempt in front.engines.attempts:
        pool.start(attempt)
    for _ in range(10):
        assert account.by_kind[HeldKind.ENGINE] <= 2 * 131_072
        connection.transport.flush()
    assert all(call.sent for call in connection.calls.values())
    assert account.total == 0
    connection.connectionLost()
    assert account.total == 0


def test_of_partial_messages_only_as_many_are_given_up_as_needed():
    account = MemoryAccount(LIMIT)
    partial = PartialMessages(account)

    class Message:
        def __init__(self, name):
            self.holder, self.given_up = account.holder(name), False

        def receive(self, amount, now):
            self.holder.change(HeldKind.PARTIAL_MESSAGE, amount)
            partial.progressed(self, now)

        def discard_partial(self):
            self.given_up = True
            self.holder.set(HeldKind.PARTIAL_MESSAGE, 0)

    messages = [Message(str(number)) for number in range(4)]
    for message in messages[:3]:
        message.receive(50_000, 0.0)
    messages[3].receive(50_000, STALLED_AFTER_MS + 1)
    assert [message.given_up for message in messages] == [True, False, False, False]
    messages[3].receive(50_000, STALLED_AFTER_MS + 1)
    assert [message.given_up for message in messages] == [True, True, False, False]


def test_a_connection_in_the_middle_of_its_first_message_is_not_evicted_as_silent():
    front = Front(limit=1 << 30, max_clients=1)
    client, data = front.connect(), request(1, b"x" * LARGE)
    for start in range(0, LARGE, 20_000):
        client.dataReceived(data[start : start + 20_000])
        other = front.connect()
        front.clock.advance(EVICTION_GRACE_MS - 5)
        other.connectionLost()
    client.dataReceived(data[LARGE:])
    front.end_attempts()
    assert answers(client) == [(1, frames.SERVED)]


class Asgi:
    """Calls an application and records the status of its response; the body comes in pieces."""

    def __init__(self, app, pieces, gate=None):
        self.app, self.pieces, self.gate, self.status = app, list(pieces), gate, 0

    async def receive(self):
        if not self.pieces:
            await asyncio.Event().wait()
        body = self.pieces.pop(0)
        if self.gate is not None and not self.pieces:
            await self.gate.wait()
        return {"type": "http.request", "body": body, "more_body": bool(self.pieces)}

    async def send(self, message):
        self.status = message.get("status", self.status)

    async def call(self):
        await self.app({"type": "http", "path": "/"}, self.receive, self.send)
        return self.status


def test_bodies_in_the_middleware_hold_no_more_than_their_limit():
    async def application(scope, receive, send):
        await receive()
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"ok"})

    async def play():
        endpoints = [api.Endpoint("e1", "z", "k", 0, api.Phase.UP)]
        spec = RequestSpec("read", tenant="cusco")
        app = WorkloadMiddleware(application, parse_settings(SETTINGS), endpoints, lambda scope: spec, most_held=LIMIT)
        gate = asyncio.Event()
        large = [asyncio.create_task(Asgi(app, [b"x" * LARGE, b"x"], gate).call()) for _ in range(10)]
        await asyncio.sleep(0.05)
        assert app.account.total <= LIMIT
        small = await Asgi(app, [b"x" * 100]).call()
        gate.set()
        statuses = await asyncio.gather(*large)
        return small, sorted(statuses), app.account.total

    small, statuses, held = asyncio.run(play())
    assert small == 200
    assert statuses == [200] + [503] * 9
    assert held == 0
