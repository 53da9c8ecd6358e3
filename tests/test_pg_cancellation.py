"""Statements that nobody waits for any more are cancelled at the engine: timeouts, CancelRequests, disconnects."""

from __future__ import annotations

import socket
import struct

import psycopg
import pytest

from decklb.pg import messages as pg
from decklb.pg import sqlstate
from tests.pg_program import bind, execute, parse, query
from tests.standins import wait_for


def test_a_statement_timeout_returns_an_error_and_frees_the_engine(pg_program):
    with pg_program.connect() as client:
        client.execute("set statement_timeout = 1500")
        with pytest.raises(psycopg.errors.QueryCanceled):
            client.execute("sleep 60000")
        client.execute("set decklb.budget = '8s'")
        assert client.execute("next").fetchone() == ("next",)
    wait_for(lambda: pg_program.statements("end").count("sleep 60000") == 1, "end of the statement at the engine")
    assert pg_program.statements("start").count("sleep 60000") == 1


def test_a_cancel_request_gives_one_answer_and_frees_the_engine(pg_program):
    client = pg_program.scripted_client()
    client.send(parse("sleep 60000"), bind(), execute(), pg.SYNC)
    wait_for(lambda: pg_program.statements("start"), "start of the statement at the engine")
    with socket.create_connection(("127.0.0.1", pg_program.port)) as other:
        other.sendall(pg.pack_cancel(*struct.unpack(">II", client.backend_key)))
    messages = client.receive_until(b"Z")
    assert b"".join(message.type for message in messages) == b"12EZ"
    assert pg.read_error(messages[2].payload)["C"] == sqlstate.QUERY_CANCELED
    wait_for(lambda: pg_program.statements("end"), "end of the statement at the engine")
    client.send(query("after"))
    assert client.types() == b"TDCZ"
    assert sum(engine.cancels for engine in pg_program.engines) == 1
    pg_program.assert_no_overlap("sleep 60000")


def test_a_disconnect_during_a_statement_frees_the_engine(pg_program):
    client = pg_program.scripted_client()
    client.send(query("sleep 60000"))
    wait_for(lambda: pg_program.statements("start"), "start of the statement at the engine")
    client.close()
    wait_for(lambda: pg_program.statements("end"), "end of the statement at the engine")
    wait_for(lambda: pg_program.program.logged("abandoned=1"), "log line of the session")


def test_a_disconnect_between_bind_and_execute_leaves_no_work(pg_program):
    client = pg_program.scripted_client()
    client.send(parse("select 1"), bind(), pg.pack(b"H"))
    assert client.types(b"2") == b"12"
    client.close()
    wait_for(lambda: pg_program.program.logged("session ended"), "end of the session")
    with pg_program.connect() as other:
        other.execute("marker")
    assert pg_program.statements("start") + pg_program.statements("parse") == ["marker"]
