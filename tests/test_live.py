"""The emulator's engines and load on real sockets; `decklb try`."""

from __future__ import annotations

import subprocess
import sys
import unittest

import pytest
from twisted.internet.task import Clock

from decklb.lab.emulation.engine_model import Engine, EngineSpec, Query
from decklb.lab.emulation.simulated_loop import Loop
from decklb.lab.experiments import load_generator as load
from decklb.lab.standins import engine_server as live
from decklb.net import resp
from decklb.pg import messages as pg
from tests.standins import ROOT


class Wire:
    """A transport that keeps what is written."""

    def __init__(self):
        self.data, self.ended = b"", False

    def write(self, data):
        self.data += data

    def abortConnection(self):
        self.ended = True

    loseConnection = abortConnection


def test_a_query_survives_its_text():
    query = Query(12.5, 4, 0.25, 300.0, 7, True, False, 3.0)
    back = live.parse(live.statement(query).decode())
    assert (back.work_ms, back.threads, back.io_share, back.memory_mb) == (12.5, 4, 0.25, 300.0)
    assert (back.table_group, back.locks_tables, back.waits_for_loads, back.plan_factor) == (7, True, False, 3.0)


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
def test_what_is_no_query_is_an_error(text):
    with pytest.raises((ValueError, TypeError)):
        live.parse(text)


class Sessions(unittest.TestCase):
    def setUp(self):
        self.loop = Loop()
        self.engine = Engine(self.loop, "e", EngineSpec(cores=1, max_sessions=2))

    def session(self, kind):
        made = kind(self.engine)
        made.transport = Wire()
        return made

    def test_resp(self):
        s = self.session(live.RespSession)
        s.dataReceived(
            resp.pack(b"do", b"a", b"-", b"-- work=10 io=0")
            + resp.pack(b"do", b"b", b"-", b"nonsense")
            + resp.pack(b"do", b"c", b"-", b"-- work=10 io=0")
            + resp.pack(b"do", b"d", b"-", b"-- work=1")
            + resp.pack(b"undo", b"c")
            + resp.pack(b"ping", b"t")
        )
        self.loop.run(100.0)
        said = [(x[0], x[1]) for x in resp.RespReader().feed(s.transport.data)]
        self.assertEqual(said, [(b"b", b"failed"), (b"d", b"full"), (b"t", b"well"), (b"a", b"data")])
        s.dataReceived(resp.pack(b"do", b"e", b"-", b"-- work=50"))
        s.connectionLost()
        self.assertEqual(self.engine.threads, 0)
        s.dataReceived(b"*9999999999\r\n")
        self.assertTrue(s.transport.ended)

    def test_pg(self):
        s = self.session(live.PgSession)
        s.dataReceived(pg.pack_startup({"user": "u"}))
        key = s.key
        s.dataReceived(
            pg.pack(b"P", b"n\0-- work=5 io=0\0\0\0")
            + pg.pack(b"B", b"\0n\0\0\0\0\0\0\0")
            + pg.EXECUTE_ALL
            + pg.SYNC
            + pg.pack(b"Q", b"-- work=500\0")
        )
        self.loop.run(50.0)
        other = self.session(live.PgSession)
        other.dataReceived((16).to_bytes(4, "big") + pg.CANCEL_REQUEST_CODE.to_bytes(4, "big") + key)
        kinds = [m.type for m in pg.split_messages(s.transport.data)]
        self.assertEqual(kinds, [b"R", b"K", b"Z", b"1", b"2", b"D", b"C", b"Z", b"E", b"Z"])
        s.dataReceived(pg.pack(b"Q", b"nonsense\0"))
        self.assertIn(b"42601", s.transport.data)


@pytest.mark.parametrize(
    "text", ["10.0.0.1:80", "example:80", "127.0.0.1:0", "127.0.0.1", "[::1]", "0.0.0.0:80", "192.168.0.1:1"]
)
def test_load_goes_nowhere_but_loopback(text):
    with pytest.raises(load.TargetError):
        load.target(text)


def test_loopback_targets():
    assert load.target("localhost:6432") == ("127.0.0.1", 6432)
    assert load.target("127.8.8.8:1") == ("127.8.8.8", 1)


def test_latency_counts_from_when_a_request_was_due(monkeypatch):
    """A measurer that was held up for a second must not leave that second out."""
    from decklb.lab.experiments.bundled import world

    clock = Clock()
    monkeypatch.setattr(load, "moment", lambda: clock.seconds() * 1000.0)
    w = world(1, 1, 50.0, 1000.0).workload
    run = load.Load(clock, ("127.0.0.1", 1), "frames", w, 1000.0, 1)
    told = []

    class Link:
        most, open, up = 1000, {}, True

        def ask(self, ident, lane, tenant, budget, key, text, done):
            told.append(done)

    run.links.add(Link())
    run.start()
    clock.advance(2.0)  # nothing ran for two seconds; all is sent now
    for done in told:
        done("served")
    assert len(told) == len(run.arrivals) == run.answered
    assert min(row[7] for row in run.rows) >= 1000.0 and run.late >= 1000.0


def test_try():
    out = subprocess.run(
        [sys.executable, "-m", "decklb", "try", "--seconds", "2", "--rate", "30"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert out.returncode == 0, out.stderr
    lines = {line.split()[0]: line for line in out.stdout.splitlines()[1:]}
    assert set(lines) == {"frames", "pg", "emulated"}
    assert len({line.split()[1] for line in lines.values()}) == 1  # as many requests each
