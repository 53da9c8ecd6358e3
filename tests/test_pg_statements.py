"""Classification of statements by their text: whether they need an engine, are supported, and write data."""

from __future__ import annotations

import contextlib

import pytest

from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.pg.statements import LocalCommand, classify
from tests.processor_time import MAX_GROWTH, growth


@pytest.mark.parametrize(
    ("sql", "local", "writes"),
    [
        ("select 1", None, False),
        ("  -- begin\n select 'commit'", None, False),
        ("", LocalCommand.EMPTY, False),
        (" ; /* /* */ begin */", LocalCommand.EMPTY, False),
        ("SET decklb.class = 'load'", LocalCommand.SET, False),
        ("set statement_timeout to 500", LocalCommand.SET, False),
        ("RESET ALL", LocalCommand.RESET, False),
        ("reset session authorization;", LocalCommand.RESET, False),
        ("discard plans", LocalCommand.DISCARD, False),
        ("deallocate prepare a", LocalCommand.DEALLOCATE, False),
        ("show decklb.tenant", LocalCommand.SHOW, False),
        ("show server_version", None, False),
        ("with x as (delete from a returning 1) select * from x", None, True),
        ("INSERT into a values(1)", None, True),
        ("select 1; update a set b = 1", None, True),
        ("select $$ begin; insert $$", None, False),
        ("select set_config from temp", None, False),  # columns and tables may have these names
        ("insert into temp values ('set_config(')", None, True),
        ("create table a (temp int)", None, True),
        ("select pg_advisory_xact_lock(1)", None, False),  # ends with its statement
        ("-- a comment\rinsert into a values (1)", None, True),  # a carriage return ends it too
    ],
)
def test_statements_are_classified_by_their_words_outside_comments_and_strings(sql, local, writes):
    classification = classify(sql)
    assert (classification.local, classification.writes) == (local, writes)


@pytest.mark.parametrize(
    "sql",
    [
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
        "select set_config('search_path', 'x', false)",
        "select a, PG_CATALOG.SET_CONFIG ('x', 'y', true) from t",
        'select "set_config"(a, b, false)',
        "select setseed(0.5)",
        "select pg_advisory_lock(1)",
        "select pg_advisory_lock_shared(1)",
        "select pg_try_advisory_lock(1, 2)",
        "select pg_try_advisory_lock_shared(1)",
        "create temp table a (b int)",
        "create local temporary table a as select 1",
        "create or replace temp view a as select 1",
        "select 1; create temporary sequence a",
        "set role a",
        "set time zone 'UTC'",
        "set names 'UTF8'",
        "set session characteristics as transaction read only",
        "set transaction read only",
        "reset a b",
        "discard",
        "discard everything",
        "deallocate a.b c",
    ],
)
def test_statements_that_need_an_engines_session_are_not_supported(sql):
    with pytest.raises(PgError) as caught:
        classify(sql)
    assert caught.value.sqlstate == sqlstate.FEATURE_NOT_SUPPORTED


def classify_any(sql):
    with contextlib.suppress(PgError):
        classify(sql)


# Guards against incident 2: the time to reject a SET grew with the square of its length, which stopped the process.
@pytest.mark.parametrize(
    ("make_sql", "size"),
    [
        (lambda n: "set a" + n * " " + "x", 1000),
        (lambda n: "set" + n * " " + "session" + n * " " + "x", 1000),
        (lambda n: "set a" + n * " " + "to" + n * " " + "b" + n * " " + "x", 20),  # grew with the fourth power
        (lambda n: "set a = b" + n * " " + "x", 1000),
        (lambda n: "set a = 'b'" + n * " " + ";" + n * " " + "x", 1000),
        (lambda n: "set a = '" + n * "''" + "x", 1000),
        (lambda n: "set " + n * "a." + " x", 1000),
        (lambda n: "reset" + n * " " + "session" + n * " " + "x", 1000),
        (lambda n: "deallocate" + n * " " + "prepare" + n * " " + "x" + n * " " + "y", 1000),
        (lambda n: 'deallocate "' + n * "a", 1000),
        (lambda n: "show decklb.a" + n * " " + "x", 1000),
        (lambda n: "show decklb.a" + n * " " + ";" + n * " " + "x", 1000),
    ],
)
def test_time_to_classify_a_statement_grows_linearly_with_its_length(make_sql, size):
    assert growth(classify_any, make_sql, size) < MAX_GROWTH
