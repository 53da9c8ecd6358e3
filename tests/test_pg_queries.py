"""Statements over the PostgreSQL protocol: common drivers, the extended query protocol, errors and retries."""

from __future__ import annotations

import asyncio
import re

import asyncpg
import psycopg
import pytest

from decklb.pg import messages as pg
from decklb.pg import sqlstate
from tests.pg_program import bind, execute, parse, query, reachable
from tests.standins import wait_for


def test_psycopg_runs_queries_with_parameters(pg_program):
    with pg_program.connect() as client:
        assert client.execute("echo %s", ["hola"]).fetchall() == [("hola",)]
        assert client.execute("plain").fetchall() == [("plain",)]
        client.prepare_threshold = 0
        for word in ("a", "b", "c"):
            assert client.execute("prep %s", [word]).fetchone() == (word,)


def test_asyncpg_prepares_and_runs(pg_program):
    async def run_statements():
        client = await asyncpg.connect(
            host="127.0.0.1", port=pg_program.port, user="u", database="registro", timeout=20, ssl=False
        )
        statement = await client.prepare("echo $1")
        rows = [await statement.fetchval("x"), await statement.fetchval("y"), await client.fetchval("echo $1", "z")]
        await client.close()
        return rows

    assert asyncio.run(run_statements()) == ["x", "y", "z"]


def test_the_extended_query_protocol_answers_in_order(pg_program):
    describe = pg.pack(b"D", b"P\0")
    for messages, expected_types in (
        ((parse("x"), bind(), describe, execute(), pg.SYNC), b"12TDCZ"),
        ((parse("x"), bind(), describe, pg.SYNC), b"12TZ"),
        ((parse("x $1", b"s"), pg.pack(b"D", b"Ss\0"), pg.SYNC), b"1tTZ"),
        ((pg.pack(b"C", b"Ss\0"), bind(b"s"), pg.SYNC), b"3EZ"),
        ((parse("set decklb.tenant = ayacucho"), bind(), describe, execute(), pg.SYNC), b"12nCZ"),
        ((parse(""), bind(), execute(), pg.SYNC), b"12IZ"),
        ((parse("begin"), bind(), pg.SYNC), b"EZ"),
        ((parse("rows 3"), bind(), execute(2), execute(2), pg.SYNC), b"12DDsDCZ"),
        ((query("show decklb.tenant"),), b"TDCZ"),
        ((query(""),), b"IZ"),
        ((query("begin"),), b"EZ"),
        ((pg.pack(b"F", b"\0\0\0\0"),), b"EZ"),
    ):
        client = pg_program.scripted_client()
        client.send(*messages)
        assert client.types() == expected_types, messages
        client.close()


def test_after_an_error_messages_are_skipped_up_to_sync(pg_program):
    client = pg_program.scripted_client()
    client.send(bind(b"nothing"), execute(), parse("select 1"), pg.SYNC, parse("select 2"), bind(), execute(), pg.SYNC)
    assert (client.types(), client.types()) == (b"EZ", b"12DCZ")
    assert pg_program.statements("start") == ["select 2"]


def test_statement_errors_reach_the_client_with_their_sqlstate_and_are_not_retried(pg_program):
    with pg_program.connect() as client:
        with pytest.raises(psycopg.errors.UndefinedTable):
            client.execute("fail 42P01")
        assert client.execute("after").fetchone() == ("after",)
    assert len(pg_program.statements("start")) == 2


def test_a_statement_retried_on_another_engine_is_prepared_there_first(pg_program):
    with pg_program.connect() as client:
        client.prepare_threshold = 0
        assert client.execute("die once %s", ["x"]).fetchone() == ("x",)
    assert len(pg_program.statements("start")) == 2
    for engine in pg_program.engines:  # one attempt at each
        assert [event for event, sql, _ in engine.log if sql == "die once $1"][:2] == ["parse", "start"]
    pg_program.assert_no_overlap("die once $1")


def test_an_unrepeatable_statement_that_may_have_run_ends_with_unknown_completion(pg_program):
    with pg_program.connect(options="-c decklb.class=load") as client, pytest.raises(psycopg.Error) as caught:
        client.execute("die")
    assert caught.value.sqlstate == sqlstate.STATEMENT_COMPLETION_UNKNOWN
    assert pg_program.statements("start") == ["die"]


def test_writes_use_the_class_for_writes_and_are_not_retried(pg_program):
    with pg_program.connect() as client, pytest.raises(psycopg.Error) as caught:
        client.execute("die")  # reads are retried up to the limit, then rejected or failed
    assert caught.value.sqlstate in (sqlstate.INSUFFICIENT_RESOURCES, sqlstate.STATEMENT_COMPLETION_UNKNOWN)
    with pg_program.connect() as client, pytest.raises(psycopg.Error) as caught:
        client.execute("fail 57P01; insert into a values (1)")
    assert caught.value.sqlstate == sqlstate.STATEMENT_COMPLETION_UNKNOWN
    assert len([sql for sql in pg_program.statements("start") if sql.startswith("fail")]) == 1


@pytest.mark.parametrize("code", [sqlstate.QUERY_CANCELED, "57000", "57P05"])
def test_a_cancellation_that_no_client_asked_for_is_a_failure_of_the_engine(pg_program, code):
    with pg_program.connect() as client, pytest.raises(psycopg.Error) as caught:
        client.execute(f"fail {code}")
    assert caught.value.sqlstate in (sqlstate.INSUFFICIENT_RESOURCES, sqlstate.STATEMENT_COMPLETION_UNKNOWN)
    assert len(pg_program.statements("start")) > 1  # a read is retried
    with pg_program.connect(options="-c decklb.class=load") as client, pytest.raises(psycopg.Error) as caught:
        client.execute(f"fail {code} once")
    assert caught.value.sqlstate == sqlstate.STATEMENT_COMPLETION_UNKNOWN
    assert pg_program.statements("start").count(f"fail {code} once") == 1


def test_rejections_state_when_to_retry(pg_program):
    for engine in pg_program.engines:
        engine.close()
    wait_for(lambda: not reachable(pg_program.engines[0].port), "end of the stand-in engine")
    with pg_program.connect(options="-c statement_timeout=5000") as client, pytest.raises(psycopg.Error) as caught:
        client.execute("select 1")
    assert caught.value.sqlstate == sqlstate.INSUFFICIENT_RESOURCES
    assert re.search(r"Come back in \d+ ms", caught.value.diag.message_hint)


def test_a_value_of_datestyle_is_confirmed_only_if_all_of_it_has_effect(pg_program):
    with pg_program.connect() as client:
        for value in ("ISO", "iso, mdy", "MDY"):
            client.execute(f"set datestyle = '{value}'")
        for value in ("ISO, DMY", "ISO, MDY, DMY", "German", ""):
            with pytest.raises(psycopg.errors.FeatureNotSupported):
                client.execute(f"set datestyle = '{value}'")


def test_reset_restores_what_the_session_started_with(pg_program):
    with pg_program.connect(options="-c decklb.class=load") as client:
        for reset in ("reset decklb.class", "RESET ALL", "discard all"):
            client.execute("set decklb.class = read")
            client.execute("set decklb.key = 'k'")
            client.execute(reset)
            assert client.execute("show decklb.class").fetchone() == ("load",)
            assert client.execute("show decklb.key").fetchone() == ("k" if reset == "reset decklb.class" else "",)
        client.execute("set decklb.key = 'k'")
        client.execute("discard plans")
        assert client.execute("show decklb.key").fetchone() == ("k",)
        with pytest.raises(psycopg.errors.UndefinedObject):
            client.execute("reset decklb.colour")


def test_deallocate_forgets_the_named_prepared_statement_only(pg_program):
    client = pg_program.scripted_client()
    client.send(parse("a", b"a"), parse("b", b"b"), pg.SYNC, query("deallocate a"), query("deallocate a"))
    assert (client.types(), client.types(), client.types()) == (b"11Z", b"CZ", b"EZ")
    client.send(bind(b"b"), execute(), pg.SYNC, bind(b"a"), pg.SYNC)
    assert (client.types(), client.types()) == (b"2DCZ", b"EZ")
    client.send(query("discard plans"), bind(b"b"), pg.SYNC, query("deallocate all"), bind(b"b"), pg.SYNC)
    assert (client.types(), client.types(), client.types(), client.types()) == (b"CZ", b"2Z", b"CZ", b"EZ")


# Guards against incident 2: a SET that can't be read took minutes, in which no other client was answered.
def test_a_long_set_that_is_rejected_does_not_delay_other_clients(pg_program):
    sender, other = pg_program.scripted_client(), pg_program.scripted_client()
    sender.send(query("set a" + 200_000 * " " + "x"), query("after the set"))
    other.send(query("select 1"))
    assert other.types() == b"TDCZ"
    assert (sender.types(), sender.types()) == (b"EZ", b"TDCZ")
