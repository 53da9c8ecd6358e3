"""Connections of PostgreSQL clients: startup, malformed messages, timeouts, limits and drain."""

from __future__ import annotations

import psycopg
import pytest

from decklb.pg import messages as pg
from decklb.pg import sqlstate
from tests.pg_program import query, running_pg_program
from tests.standins import DEADLINE, wait_for


def test_an_invalid_startup_parameter_is_fatal(pg_program):
    for options in ("-c decklb.class=none", "-c decklb.tenant=none", "-c work_mem=1"):
        with pytest.raises(psycopg.OperationalError):
            pg_program.connect(options=options)


def test_malformed_messages_end_the_session_with_an_error(pg_program):
    for raw in (b"Q\0\0\0\1", b"Q\x7f\xff\xff\xff", b"?\0\0\0\4", pg.pack(b"B", b"\0"), pg.pack(b"P", b"x")):
        client = pg_program.scripted_client()
        client.send(raw)
        assert client.sqlstate() == sqlstate.PROTOCOL_VIOLATION
        client.close()
    wait_for(lambda: pg_program.program.logged("session ended: 08P01"), "log line of the session")


def test_startup_and_incomplete_messages_time_out(pg_program):
    silent, incomplete = pg_program.silent_connection(), pg_program.scripted_client()
    incomplete.send(query("select 1")[:-1])
    assert incomplete.sqlstate() == sqlstate.PROTOCOL_VIOLATION
    assert b"C08P01" in silent.recv(4096)
    assert silent.recv(4096) == b""


def test_an_oversized_message_is_rejected_at_its_header_and_the_client_receives_the_error(pg_program):
    client = pg_program.scripted_client()
    client.send(b"Q\x7f\xff\xff\xff")
    for _ in range(30):  # fails if the connection is reset
        client.send(bytes(1 << 20))
    assert client.sqlstate() == sqlstate.PROTOCOL_VIOLATION


def test_silent_connections_do_not_block_sessions():
    with running_pg_program(limits={"sockets": 25}) as pg_program:  # limits clients to (25 - 16) // 2 = 4
        silent = [pg_program.silent_connection() for _ in range(8)]
        client = pg_program.scripted_client()
        client.send(query("x"))
        assert client.types() == b"TDCZ"
        assert silent[0].recv(1) == b""


def test_a_drain_lets_running_statements_complete_and_exits_cleanly(pg_program):
    client = pg_program.scripted_client()
    client.send(query("sleep 1500"))
    wait_for(lambda: pg_program.statements("start"), "start of the statement at the engine")
    pg_program.program.process.terminate()
    assert client.types() == b"TDCZ"
    assert client.sqlstate() == sqlstate.ADMIN_SHUTDOWN
    assert pg_program.program.process.wait(DEADLINE) == 0
