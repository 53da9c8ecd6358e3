"""The PostgreSQL front: tables of cases for its parsers, then the program with stand-in engines and stock clients."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

import asyncpg
import psycopg

from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.pg.statements import LocalCommand, classify
from tests.standins import DEADLINE, Loop, PgEngine, Program, known, wait_for

POSTGRES = {
    "user": "decklb",
    "database": "registro",
    "writes": "load",
    "defaults": {"tenant": "cusco", "class": "read"},
    "users": {"cargador": {"class": "load", "tenant": "ayacucho"}},
}


class Parsers(unittest.TestCase):
    def test_messages_split_anywhere(self):
        raw = pg.pack_startup({"user": "u"}) + pg.pack(b"Q", b"select 1\0") + pg.SYNC
        for size in (1, 2, 3, 7, len(raw)):
            reader, found = pg.MessageReader(1000, startup=True), []
            for at in range(0, len(raw), size):
                for message in reader.feed(raw[at : at + size]):
                    reader.startup = False
                    found.append((message.type, message.payload))
            self.assertEqual([t for t, _ in found], [b"", b"Q", b"S"])
            self.assertEqual(found[1][1], b"select 1\0")

    def test_lengths_out_of_bounds_are_refused_before_they_are_waited_for(self):
        for raw, startup in (
            (b"\0\0\0\3", True),
            (b"\x7f\0\0\0", True),
            (b"Q\0\0\0\3", False),
            (b"Q\x7f\0\0\0", False),
        ):
            with self.assertRaises(PgError):
                list(pg.MessageReader(1000, startup).feed(raw))

    def test_payloads_that_end_early_are_errors(self):
        for read in (lambda f: f.string(), lambda f: f.integer("I"), lambda f: (f.integer("B"), f.integer("h"))):
            with self.assertRaises(PgError):
                read(pg.PayloadReader(b"\1"))

    def test_what_statements_are(self):
        for sql, local, writes in (
            ("select 1", None, False),
            ("  -- begin\n select 'commit'", None, False),
            ("", LocalCommand.EMPTY, False),
            (" ; /* /* */ begin */", LocalCommand.EMPTY, False),
            ("SET decklb.class = 'load'", LocalCommand.SET, False),
            ("set statement_timeout to 500", LocalCommand.SET, False),
            ("RESET ALL", LocalCommand.RESET, False),
            ("show decklb.tenant", LocalCommand.SHOW, False),
            ("show server_version", None, False),
            ("with x as (delete from a returning 1) select * from x", None, True),
            ("INSERT into a values(1)", None, True),
            ("select 1; update a set b = 1", None, True),
            ("select $$ begin; insert $$", None, False),
        ):
            kind = classify(sql)
            self.assertEqual((kind.local, kind.writes), (local, writes), sql)

    def test_what_cannot_be_kept(self):
        for sql in (
            "BEGIN",
            "select 1; begin; select 2",
            "start transaction",
            "/* x */ Commit",
            "COPY a from stdin",
            "declare c cursor for select 1",
            "listen x",
            "set a = 1; select 1",
            "set local x = 1",
            "prepare p as select 1",
            "lock table a",
        ):
            with self.assertRaises(PgError) as caught:
                classify(sql)
            self.assertEqual(caught.exception.sqlstate, sqlstate.FEATURE_NOT_SUPPORTED, sql)


class Raw:
    """A client that says exactly what a test wants it to say."""

    def __init__(self, port, **options):
        self.socket = socket.create_connection(("127.0.0.1", port), DEADLINE)
        self.reader = pg.MessageReader(1 << 24, startup=False)
        self.found = []
        self.socket.sendall(pg.pack_startup({"user": "u"} | options))
        self.key = next(m.payload for m in self.until(b"Z") if m.type == b"K")

    def send(self, *messages):
        self.socket.sendall(b"".join(messages))

    def until(self, kind):
        """All messages up to one of this type."""
        while not any(m.type == kind for m in self.found):
            data = self.socket.recv(65536)
            if not data:
                raise AssertionError(f"closed before {kind!r}: {[m.type for m in self.found]}")
            self.found += self.reader.feed(data)
        end = next(i for i, m in enumerate(self.found) if m.type == kind) + 1
        out, self.found = self.found[:end], self.found[end:]
        return out

    def types(self, kind=b"Z"):
        return b"".join(m.type for m in self.until(kind))


def parse(sql, name=b""):
    return pg.pack(b"P", name + b"\0" + sql.encode() + b"\0" + b"\0\0")


def bind(name=b"", portal=b""):
    return pg.pack(b"B", portal + b"\0" + name + b"\0" + b"\0\0" * 3)


def execute(most=0, portal=b""):
    return pg.pack(b"E", portal + b"\0" + struct.pack(">i", most))


class Front(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.loop = Loop()

    @classmethod
    def tearDownClass(cls):
        cls.loop.stop()

    def setUp(self):
        self.engines = [PgEngine(self.loop), PgEngine(self.loop)]
        self.program = Program({"known": known(*[e.port for e in self.engines]), "postgres": POSTGRES})
        self.port = self.program.port

    def tearDown(self):
        self.program.stop()
        for engine in self.engines:
            engine.close()
        self.assertEqual(self.program.logged("Traceback"), "")

    def connect(self, **more):
        return psycopg.connect(
            host="127.0.0.1",
            port=self.port,
            user="u",
            autocommit=True,
            dbname="registro",
            connect_timeout=20,
            sslmode="prefer",
            **more,
        )

    def said(self, what):
        return [s for e in self.engines for s in e.said(what)]

    def assert_no_overlap(self, sql):
        """Attempts of one request: each starts after the one before has ended."""
        spans = sorted((m, k) for e in self.engines for k, s, m in e.log if s == sql and k != "parse")
        self.assertEqual([k for _, k in spans], ["start", "end"] * (len(spans) // 2))

    def test_psycopg_runs_queries_with_parameters(self):
        with self.connect() as c:
            self.assertEqual(c.execute("echo %s", ["hola"]).fetchall(), [("hola",)])
            self.assertEqual(c.execute("plain").fetchall(), [("plain",)])
            c.prepare_threshold = 0
            for word in ("a", "b", "c"):
                self.assertEqual(c.execute("prep %s", [word]).fetchone(), (word,))

    def test_asyncpg_prepares_and_runs(self):
        async def talk():
            c = await asyncpg.connect(
                host="127.0.0.1", port=self.port, user="u", database="registro", timeout=20, ssl=False
            )
            statement = await c.prepare("echo $1")
            rows = [await statement.fetchval("x"), await statement.fetchval("y"), await c.fetchval("echo $1", "z")]
            await c.close()
            return rows

        self.assertEqual(asyncio.run(talk()), ["x", "y", "z"])

    def test_engine_errors_reach_the_client_with_their_state_and_are_not_retried(self):
        with self.connect() as c:
            with self.assertRaises(psycopg.errors.UndefinedTable):
                c.execute("fail 42P01")
            self.assertEqual(c.execute("after").fetchone(), ("after",))
        self.assertEqual(len(self.said("start")), 2)

    def test_a_statement_retried_on_another_engine_is_prepared_there_first(self):
        with self.connect() as c:
            c.prepare_threshold = 0
            self.assertEqual(c.execute("die once %s", ["x"]).fetchone(), ("x",))
        self.assertEqual(len(self.said("start")), 2)
        for engine in self.engines:  # one try at each
            self.assertEqual([k for k, s, _ in engine.log if s == "die once $1"][:2], ["parse", "start"])
        self.assert_no_overlap("die once $1")

    def test_what_may_have_run_and_may_not_repeat_has_an_unknown_end(self):
        with self.connect(options="-c decklb.class=load") as c, self.assertRaises(psycopg.Error) as caught:
            c.execute("die")
        self.assertEqual(caught.exception.sqlstate, sqlstate.STATEMENT_COMPLETION_UNKNOWN)
        self.assertEqual(self.said("start"), ["die"])

    def test_writes_take_the_class_that_is_not_repeated(self):
        with self.connect() as c, self.assertRaises(psycopg.Error) as caught:
            c.execute("die")  # reads are tried anew up to the cap, then refused or failed
        self.assertIn(
            caught.exception.sqlstate, (sqlstate.INSUFFICIENT_RESOURCES, sqlstate.STATEMENT_COMPLETION_UNKNOWN)
        )
        with self.connect() as c, self.assertRaises(psycopg.Error) as caught:
            c.execute("fail 57P01; insert into a values (1)")
        self.assertEqual(caught.exception.sqlstate, sqlstate.STATEMENT_COMPLETION_UNKNOWN)
        self.assertEqual(len([s for s in self.said("start") if s.startswith("fail")]), 1)

    def test_deadline_is_an_error_and_frees_the_engine(self):
        with self.connect() as c:
            c.execute("set statement_timeout = 1500")
            with self.assertRaises(psycopg.errors.QueryCanceled):
                c.execute("sleep 60000")
            c.execute("set decklb.budget = '8s'")
            self.assertEqual(c.execute("next").fetchone(), ("next",))
        wait_for(lambda: self.said("end").count("sleep 60000") == 1, "the end on the engine")
        self.assertEqual(self.said("start").count("sleep 60000"), 1)

    def test_cancel_halfway_gives_one_answer_and_frees_the_engine(self):
        c = Raw(self.port)
        c.send(parse("sleep 60000"), bind(), execute(), pg.SYNC)
        wait_for(lambda: self.said("start"), "the start on the engine")
        with socket.create_connection(("127.0.0.1", self.port)) as other:
            other.sendall(pg.pack_cancel(*struct.unpack(">II", c.key)))
        found = c.until(b"Z")
        self.assertEqual(b"".join(m.type for m in found), b"12EZ")
        self.assertEqual(pg.read_error(found[2].payload)["C"], sqlstate.QUERY_CANCELED)
        wait_for(lambda: self.said("end"), "the end on the engine")
        c.send(pg.pack(b"Q", b"after\0"))
        self.assertEqual(c.types(), b"TDCZ")
        self.assertEqual(sum(e.cancels for e in self.engines), 1)
        self.assert_no_overlap("sleep 60000")

    def test_a_client_gone_while_it_runs_frees_the_engine(self):
        c = Raw(self.port)
        c.send(pg.pack(b"Q", b"sleep 60000\0"))
        wait_for(lambda: self.said("start"), "the start on the engine")
        c.socket.close()
        wait_for(lambda: self.said("end"), "the end on the engine")
        wait_for(lambda: self.program.logged("abandoned=1"), "the log line")

    def test_a_client_gone_between_bind_and_execute_leaves_no_work(self):
        c = Raw(self.port)
        c.send(parse("select 1"), bind(), pg.pack(b"H"))
        self.assertEqual(c.types(b"2"), b"12")
        c.socket.close()
        wait_for(lambda: self.program.logged("session ended"), "the end of the session")
        with self.connect() as other:
            other.execute("marker")
        self.assertEqual(self.said("start") + self.said("parse"), ["marker"])

    def test_after_an_error_everything_up_to_sync_is_skipped(self):
        c = Raw(self.port)
        c.send(bind(b"nothing"), execute(), parse("select 1"), pg.SYNC, parse("select 2"), bind(), execute(), pg.SYNC)
        self.assertEqual((c.types(), c.types()), (b"EZ", b"12DCZ"))
        self.assertEqual(self.said("start"), ["select 2"])

    def test_order_of_answers_in_extended_mode(self):
        describe = pg.pack(b"D", b"P\0")
        for messages, answer in (
            ((parse("x"), bind(), describe, execute(), pg.SYNC), b"12TDCZ"),
            ((parse("x"), bind(), describe, pg.SYNC), b"12TZ"),
            ((parse("x $1", b"s"), pg.pack(b"D", b"Ss\0"), pg.SYNC), b"1tTZ"),
            ((pg.pack(b"C", b"Ss\0"), bind(b"s"), pg.SYNC), b"3EZ"),
            ((parse("set decklb.tenant = ayacucho"), bind(), describe, execute(), pg.SYNC), b"12nCZ"),
            ((parse(""), bind(), execute(), pg.SYNC), b"12IZ"),
            ((parse("begin"), bind(), pg.SYNC), b"EZ"),
            ((parse("rows 3"), bind(), execute(2), execute(2), pg.SYNC), b"12DDsDCZ"),
            ((pg.pack(b"Q", b"show decklb.tenant\0"),), b"TDCZ"),
            ((pg.pack(b"Q", b"\0"),), b"IZ"),
            ((pg.pack(b"Q", b"begin\0"),), b"EZ"),
            ((pg.pack(b"F", b"\0\0\0\0"),), b"EZ"),
        ):
            c = Raw(self.port)
            c.send(*messages)
            self.assertEqual(c.types(), answer, messages)
            c.socket.close()

    def test_malformed_messages_end_the_session_with_a_reason(self):
        for raw in (b"Q\0\0\0\1", b"Q\x7f\xff\xff\xff", b"?\0\0\0\4", pg.pack(b"B", b"\0"), pg.pack(b"P", b"x")):
            c = Raw(self.port)
            c.send(raw)
            self.assertEqual(pg.read_error(c.until(b"E")[-1].payload)["C"], sqlstate.PROTOCOL_VIOLATION)
            c.socket.close()
        wait_for(lambda: self.program.logged("session ended: 08P01"), "the log line")

    def test_what_begins_no_session_or_stops_halfway_ends_in_time_with_a_reason(self):
        silent, half = socket.create_connection(("127.0.0.1", self.port), DEADLINE), Raw(self.port)
        half.send(pg.pack(b"Q", b"select 1\0")[:-1])
        self.assertEqual(pg.read_error(half.until(b"E")[-1].payload)["C"], sqlstate.PROTOCOL_VIOLATION)
        self.assertIn(b"C08P01", silent.recv(4096))
        self.assertEqual(silent.recv(4096), b"")
        silent.close()

    def test_an_oversized_message_is_refused_at_its_header_and_the_error_arrives(self):
        c = Raw(self.port)
        c.send(b"Q\x7f\xff\xff\xff")
        for _ in range(30):  # a reset would end this
            c.send(bytes(1 << 20))
        self.assertEqual(pg.read_error(c.until(b"E")[-1].payload)["C"], sqlstate.PROTOCOL_VIOLATION)

    def test_silent_connections_do_not_shut_out_sessions(self):
        program = Program(
            {"known": known(*[e.port for e in self.engines]), "postgres": POSTGRES, "limits": {"sockets": 25}}
        )  # (25 - 16) // 2 = 4 places
        self.addCleanup(program.stop)
        silent = [socket.create_connection(("127.0.0.1", program.port), DEADLINE) for _ in range(8)]
        c = Raw(program.port)
        c.send(pg.pack(b"Q", b"x\0"))
        self.assertEqual(c.types(), b"TDCZ")
        self.assertEqual(silent[0].recv(1), b"")
        for s in silent:
            s.close()

    def test_refusals_say_when_to_return(self):
        for engine in self.engines:
            engine.close()
        wait_for(lambda: not reachable(self.engines[0].port), "the end of the stand-in")
        with self.connect(options="-c statement_timeout=5000") as c, self.assertRaises(psycopg.Error) as caught:
            c.execute("select 1")
        self.assertEqual(caught.exception.sqlstate, sqlstate.INSUFFICIENT_RESOURCES)
        self.assertRegex(caught.exception.diag.message_hint, r"Come back in \d+ ms")

    def test_a_bad_parameter_at_the_start_is_fatal(self):
        for options in ("-c decklb.class=none", "-c decklb.tenant=none", "-c work_mem=1"):
            with self.assertRaises(psycopg.OperationalError):
                self.connect(options=options)

    def test_drain_ends_what_runs_and_exits_cleanly(self):
        c = Raw(self.port)
        c.send(pg.pack(b"Q", b"sleep 1500\0"))
        wait_for(lambda: self.said("start"), "the start on the engine")
        self.program.process.terminate()
        self.assertEqual(c.types(), b"TDCZ")
        self.assertEqual(pg.read_error(c.until(b"E")[-1].payload)["C"], sqlstate.ADMIN_SHUTDOWN)
        self.assertEqual(self.program.process.wait(DEADLINE), 0)


def reachable(port):
    try:
        socket.create_connection(("127.0.0.1", port), 1).close()
    except OSError:
        return False
    return True
