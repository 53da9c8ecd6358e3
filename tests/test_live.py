"""Stand-in engines and the load generator on real sockets, and the command `decklb try`."""

from __future__ import annotations

import subprocess
import sys
import unittest

import pytest
from twisted.internet.task import Clock

from decklb.lab.emulation.engine_model import Engine, EngineSpec, Query
from decklb.lab.emulation.simulated_loop import Loop
from decklb.lab.experiments import load_generator
from decklb.lab.standins import engine_server
from decklb.net import resp
from decklb.pg import messages as pg
from tests.standins import ROOT


class RecordingTransport:
    """A transport that records what is written to it."""

    def __init__(self):
        self.data, self.closed = b"", False

    def write(self, data):
        self.data += data

    def abortConnection(self):
        self.closed = True

    loseConnection = abortConnection


def test_a_query_is_parsed_from_its_own_statement():
    query = Query(12.5, 4, 0.25, 300.0, 7, True, False, 3.0)
    parsed = engine_server.parse(engine_server.statement(query).decode())
    assert (parsed.work_ms, parsed.threads, parsed.io_share, parsed.memory_mb) == (12.5, 4, 0.25, 300.0)
    assert (parsed.table_group, parsed.locks_tables, parsed.waits_for_loads, parsed.plan_factor) == (
        7,
        True,
        False,
        3.0,
    )


@pytest.mark.parametrize(
    "text",
    [
        "",
        "select 1",
        "-- work=0",
        "-- work=x",
        "-- work=1 threads=0",
        "-- job=1",
        "-- work=1 io=2",
        "-- work=1 memory=-1",
        "-- threads=1",
    ],
)
def test_a_text_that_describes_no_query_is_an_error(text):
    with pytest.raises((ValueError, TypeError)):
        engine_server.parse(text)


class EngineSessionTests(unittest.TestCase):
    def setUp(self):
        self.loop = Loop()
        self.engine = Engine(self.loop, "e", EngineSpec(cores=1, max_sessions=2))

    def session(self, session_type):
        session = session_type(self.engine)
        session.transport = RecordingTransport()
        return session

    def test_resp_session_answers_cancels_and_rejects_queries(self):
        session = self.session(engine_server.RespSession)
        session.dataReceived(
            resp.pack(b"do", b"a", b"-", b"-- work=10 io=0")
            + resp.pack(b"do", b"b", b"-", b"nonsense")
            + resp.pack(b"do", b"c", b"-", b"-- work=10 io=0")
            + resp.pack(b"do", b"d", b"-", b"-- work=1")
            + resp.pack(b"undo", b"c")
            + resp.pack(b"ping", b"t")
        )
        self.loop.run(100.0)
        replies = [(parts[0], parts[1]) for parts in resp.RespReader().feed(session.transport.data)]
        self.assertEqual(replies, [(b"b", b"failed"), (b"d", b"full"), (b"t", b"well"), (b"a", b"data")])
        session.dataReceived(resp.pack(b"do", b"e", b"-", b"-- work=50"))
        session.connectionLost()
        self.assertEqual(self.engine.threads, 0)
        session.dataReceived(b"*9999999999\r\n")
        self.assertTrue(session.transport.closed)

    def test_pg_session_runs_cancels_and_rejects_queries(self):
        session = self.session(engine_server.PgSession)
        session.dataReceived(pg.pack_startup({"user": "u"}))
        key = session.key
        session.dataReceived(
            pg.pack(b"P", b"n\0-- work=5 io=0\0\0\0")
            + pg.pack(b"B", b"\0n\0\0\0\0\0\0\0")
            + pg.EXECUTE_ALL
            + pg.SYNC
            + pg.pack(b"Q", b"-- work=500\0")
        )
        self.loop.run(50.0)
        cancelling = self.session(engine_server.PgSession)
        cancelling.dataReceived((16).to_bytes(4, "big") + pg.CANCEL_REQUEST_CODE.to_bytes(4, "big") + key)
        types = [m.type for m in pg.split_messages(session.transport.data)]
        self.assertEqual(types, [b"R", b"K", b"Z", b"1", b"2", b"D", b"C", b"Z", b"E", b"Z"])
        session.dataReceived(pg.pack(b"Q", b"nonsense\0"))
        self.assertIn(b"42601", session.transport.data)


@pytest.mark.parametrize(
    "text", ["10.0.0.1:80", "example:80", "127.0.0.1:0", "127.0.0.1", "[::1]", "0.0.0.0:80", "192.168.0.1:1"]
)
def test_load_is_sent_to_loopback_only(text):
    with pytest.raises(load_generator.TargetError):
        load_generator.target(text)


def test_loopback_targets_are_accepted():
    assert load_generator.target("localhost:6432") == ("127.0.0.1", 6432)
    assert load_generator.target("127.8.8.8:1") == ("127.8.8.8", 1)


def test_latency_counts_from_when_a_request_was_due(monkeypatch):
    """If the load generator itself stalls, the latencies must include that time (coordinated omission)."""
    from decklb.lab.experiments.bundled import world

    clock = Clock()
    monkeypatch.setattr(load_generator, "monotonic_ms", lambda: clock.seconds() * 1000.0)
    workload = world(1, 1, 50.0, 1000.0).workload
    run = load_generator.LoadRun(clock, ("127.0.0.1", 1), "frames", workload, 1000.0, 1)
    callbacks = []

    class StubConnection:
        max_open, open, established = 1000, {}, True

        def send(self, index, request_class, tenant, budget_ms, key, sql, on_answer):
            callbacks.append(on_answer)

    run.connections.add(StubConnection())
    run.start()
    clock.advance(2.0)  # the timer fires two seconds late, so all requests are sent late
    for on_answer in callbacks:
        on_answer("served")
    assert len(callbacks) == len(run.arrivals) == run.answered
    assert min(row[7] for row in run.rows) >= 1000.0 and run.max_lag_ms >= 1000.0


def test_try_runs_the_same_requests_on_both_fronts_and_the_emulator():
    result = subprocess.run(
        [sys.executable, "-m", "decklb", "try", "--seconds", "2", "--rate", "30"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert result.returncode == 0, result.stderr
    lines = {line.split()[0]: line for line in result.stdout.splitlines()[1:]}
    assert set(lines) == {"frames", "pg", "emulated"}
    assert len({line.split()[1] for line in lines.values()}) == 1  # each ran the same number of requests
