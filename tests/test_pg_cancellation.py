"""Statements that nobody waits for any more: timeouts, CancelRequests and clients that leave free the engine."""

from __future__ import annotations

import socket
import struct

import psycopg
import pytest

from decklb.pg import messages as pg
from decklb.pg import sqlstate
from tests.pg_program import bind, execute, parse, query
from tests.standins import wait_for


def test_a_statement_timeout_is_an_error_and_frees_the_engine(pg_program):
    with pg_program.connect() as client:
        client.execute("set statement_timeout = 1500")
        with pytest.raises(psycopg.errors.QueryCanceled):
            client.execute("sleep 60000")
        client.execute("set decklb.budget = '8s'")
        assert client.execute("next").fetchone() == ("next",)
    wait_for(lambda: pg_program.statements("end").count("sleep 60000") == 1, "the end on the engine")
    assert pg_program.statements("start").count("sleep 60000") == 1


def test_a_cancel_request_gives_one_answer_and_frees_the_engine(pg_program):
    client = pg_program.scripted_client()
    client.send(parse("sleep 60000"), bind(), execute(), pg.SYNC)
    wait_for(lambda: pg_program.statements("start"), "the start on the engine")
    with socket.create_connection(("127.0.0.1", pg_program.port)) as other:
        other.sendall(pg.pack_cancel(*struct.unpack(">II", client.backend_key)))
    found = client.until(b"Z")
    assert b"".join(m.type for m in found) == b"12EZ"
    assert pg.read_error(found[2].payload)["C"] == sqlstate.QUERY_CANCELED
    wait_for(lambda: pg_program.statements("end"), "the end on the engine")
    client.send(query("after"))
    assert client.types() == b"TDCZ"
    assert sum(e.cancels for e in pg_program.engines) == 1
    pg_program.assert_no_overlap("sleep 60000")


def test_a_client_that_leaves_while_a_statement_runs_frees_the_engine(pg_program):
    client = pg_program.scripted_client()
    client.send(query("sleep 60000"))
    wait_for(lambda: pg_program.statements("start"), "the start on the engine")
    client.close()
    wait_for(lambda: pg_program.statements("end"), "the end on the engine")
    wait_for(lambda: pg_program.program.logged("abandoned=1"), "the log line")


def test_a_client_that_leaves_between_bind_and_execute_leaves_no_work(pg_program):
    client = pg_program.scripted_client()
    client.send(parse("select 1"), bind(), pg.pack(b"H"))
    assert client.types(b"2") == b"12"
    client.close()
    wait_for(lambda: pg_program.program.logged("session ended"), "the end of the session")
    with pg_program.connect() as other:
        other.execute("marker")
    assert pg_program.statements("start") + pg_program.statements("parse") == ["marker"]
