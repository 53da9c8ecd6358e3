"""Golden tests of the PostgreSQL front: messages, handoff records and whole client sessions keep their bytes."""

from __future__ import annotations

import json

import pytest
from twisted.internet.task import Clock

from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.codec import PgCodec
from decklb.pg.errors import PgError
from decklb.pg.listener import PgListener
from decklb.pg.parameters import SessionParameters
from decklb.pg.request import PgRequest
from decklb.pg.settings import PgSettings
from decklb.pg.statements import classify
from decklb.settings import parse_settings
from tests.standins import ROOT, SETTINGS

GOLDEN = json.loads((ROOT / "tests" / "golden" / "pg_messages.json").read_text())
SESSIONS = json.loads((ROOT / "tests" / "golden" / "pg_sessions.json").read_text())
POSTGRES = {
    "user": "decklb",
    "writes": "load",
    "defaults": {"tenant": "cusco", "class": "read"},
    "users": {"cargador": {"class": "load", "tenant": "ayacucho"}},
    "most_result": 64,
    "most_message": 200,
}


def error_fields(error):
    return {"sqlstate": error.sqlstate, "message": error.message, "hint": error.hint, "fatal": error.fatal}


def build_messages():
    """Every message that is built here, by its name in the protocol's documentation."""
    error = PgError(sqlstate.INVALID_PARAMETER_VALUE, "no", "Try ñ.", fatal=True)
    return {
        "StartupMessage": pg.pack_startup({"user": "u", "database": "ñ"}),
        "CancelRequest": pg.pack_cancel(7, 0xFFFFFFFF),
        "ErrorResponse": pg.pack_error("53000", "busy"),
        "ErrorResponse with hint": pg.pack_error("53000", "busy", "Come back.", "FATAL"),
        "ErrorResponse of an exception": pg.pack_error_response(error),
        "ErrorResponse of an exception that is not fatal": pg.pack_error_response(PgError("0A000", "COPY")),
        "Query": pg.pack(b"Q", pg.pack_string("select 1")),
        "Terminate": pg.pack(b"X"),
        "CommandComplete": pg.pack_command_complete("SELECT 1"),
        "ReadyForQuery": pg.READY_FOR_QUERY,
        "ParseComplete": pg.PARSE_COMPLETE,
        "BindComplete": pg.BIND_COMPLETE,
        "CloseComplete": pg.CLOSE_COMPLETE,
        "NoData": pg.NO_DATA,
        "EmptyQueryResponse": pg.EMPTY_QUERY_RESPONSE,
        "PortalSuspended": pg.PORTAL_SUSPENDED,
        "ParameterDescription of none": pg.NO_PARAMETERS,
        "Sync": pg.SYNC,
        "Execute of all rows": pg.EXECUTE_ALL,
    }


def read_stream(raw, startup, piece_size):
    """The messages of a byte stream that comes in pieces, and the error that ends it."""
    reader, found = pg.MessageReader(50, startup), []
    try:
        for at in range(0, len(raw), piece_size):
            for message in reader.feed(raw[at : at + piece_size]):
                reader.startup = False
                found.append([message.type.decode(), message.payload.hex(), message.raw.hex()])
    except PgError as error:
        return {"messages": found, "error": error_fields(error)}
    return {"messages": found, "rest": reader.buffer.hex()}


def read_payload(payload, forms):
    """What fields of these forms hold: "text", "rest" or a number's format."""
    fields, found = pg.PayloadReader(payload), []
    try:
        for form in forms:
            if form in ("text", "rest"):
                value = fields.string() if form == "text" else fields.remaining()
                found.append(value.hex() if isinstance(value, bytes) else value)
            else:
                found.append(fields.integer(form))
    except PgError as error:
        return {"values": found, "error": error_fields(error)}
    return {"values": found}


def classify_statement(sql):
    try:
        found = classify(sql)
    except PgError as error:
        return {"error": error_fields(error)}
    return {
        "writes": found.writes,
        "local": found.local.name.lower() if found.local else "",
        "name": found.name,
        "value": found.value,
    }


def set_parameter(name, value):
    """The value that SHOW tells after SET, or the error of SET."""
    try:
        changed = SessionParameters("cusco", "read").set(name, value, parse_settings(SETTINGS))
    except PgError as error:
        return {"error": error_fields(error)}
    return {n: changed.show(n) for n in ("tenant", "class", "budget", "key", "request")}


def work_fields(work):
    return {
        "request_class": work.request_class,
        "tenant": work.tenant,
        "budget_ms": work.budget_ms,
        "statement": work.statement.decode(),
        "table_group": work.table_group,
        "ordering_key": work.ordering_key,
        "idempotency_key": work.idempotency_key,
        "simple": work.simple,
        "parameter_types": work.types.hex(),
        "bind": None if work.bind is None else work.bind.hex(),
        "describe": work.describe,
        "execute": work.execute,
    }


WORKS = {
    "simple query": PgRequest("id", "read", "cusco", 5.0, b"select 1", simple=True),
    "extended query": PgRequest(
        "id", "load", "", 5.0, b"x", 3, "k", types=b"\0\1\0\0\0\x17", bind=b"\0\0\0\0\0\0", describe=True
    ),
    "description": PgRequest("id", "load", "", 5.0, "ñ".encode(), execute=False),
}


class FakeTransport:
    """Notes what a connection does, in order."""

    def __init__(self, events):
        self.events = events

    def write(self, data):
        self.events.append(["write", data.hex()])

    def getPeer(self):
        class Address:
            host, port = "127.0.0.1", 1

        return Address

    def getHandle(self):
        class EmptySocket:
            def recv(self, size, flags):
                return b""

        return EmptySocket()

    def __getattr__(self, name):
        return lambda *arguments: self.events.append([name])


class FakeIntake:
    """Notes requests; the test gives their answers. Makes an idempotency key where "auto" is asked for."""

    def __init__(self, events):
        self.events, self.sinks = events, []

    def submit(self, work, sink):
        self.events.append(["submit", work_fields(work)])
        self.sinks.append(sink)
        if work.idempotency_key == "auto":
            work.idempotency_key = "made"
        return len(self.sinks) - 1

    def abandon(self, taken):
        self.events.append(["abandon", taken])

    def cancel(self, taken):
        self.events.append(["cancel", taken])


class FakeDispatcher:
    """The clock and settings that a front looks up at its dispatcher."""

    def __init__(self, clock):
        self.settings, self.clock = parse_settings(SETTINGS), self
        self._clock = clock

    def now(self):
        return self._clock.seconds() * 1000.0

    def call_later(self, delay, call):
        return self._clock.callLater(delay / 1000.0, call)


def play(script):
    """A scripted session: what the connection writes, submits and does to its transport, step by step."""
    events, clock = [], Clock()
    dispatcher = FakeDispatcher(clock)
    settings = PgSettings.from_raw(POSTGRES, dispatcher.settings)
    listener = PgListener(dispatcher, settings, lambda bound: 77 % bound, max_clients=2)
    intake = listener.context.request_handler = FakeIntake(events)
    connections, recorded = [], []
    for step, *arguments in script:
        if step == "connect":
            connections.append(listener.buildProtocol(None))
            connections[-1].transport = FakeTransport(events)
            connections[-1].connectionMade()
        elif step == "keep-answers":
            listener.enable_handoff(intake)
        elif step == "receive":
            connections[-1].dataReceived(bytes.fromhex(arguments[0]))
        elif step == "receive-on":
            connections[arguments[0]].dataReceived(bytes.fromhex(arguments[1]))
        elif step == "served":
            intake.sinks[-1].served(bytes.fromhex(arguments[0]))
        elif step == "refused":
            intake.sinks[-1].rejected(arguments[0])
        elif step in ("failed", "conflict"):
            getattr(intake.sinks[-1], step)()
        elif step == "advance-ms":
            clock.advance(arguments[0] / 1000.0)
        elif step == "pause":
            connections[-1].pauseProducing()
        elif step == "resume":
            connections[-1].resumeProducing()
        elif step == "disconnect":
            connections[-1].connectionLost()
        elif step == "close-front":
            listener.drain()
        else:
            raise AssertionError(step)
        recorded.append([step, events[:]])
        events.clear()
    return recorded


@pytest.mark.parametrize("name", GOLDEN["built"])
def test_built_messages_keep_their_bytes(name):
    assert build_messages()[name].hex() == GOLDEN["built"][name]


def test_every_built_message_is_recorded():
    assert set(build_messages()) == set(GOLDEN["built"])


@pytest.mark.parametrize("case", GOLDEN["streams"], ids=lambda case: case["name"])
@pytest.mark.parametrize("piece_size", [1, 2, 3, 7, 1000])
def test_streams_are_cut_into_the_same_messages(case, piece_size):
    assert read_stream(bytes.fromhex(case["raw"]), case["startup"], piece_size) == case["expected"]


@pytest.mark.parametrize("case", GOLDEN["payloads"], ids=lambda case: f"{case['payload']}-{'-'.join(case['forms'])}")
def test_payloads_are_read_as_the_same_fields(case):
    assert read_payload(bytes.fromhex(case["payload"]), case["forms"]) == case["expected"]


@pytest.mark.parametrize("case", GOLDEN["error_responses"], ids=lambda case: case["payload"])
def test_error_responses_are_read_as_the_same_fields(case):
    assert pg.read_error(bytes.fromhex(case["payload"])) == case["expected"]


@pytest.mark.parametrize("sql", GOLDEN["statements"])
def test_statements_are_classified_alike(sql):
    assert classify_statement(sql) == GOLDEN["statements"][sql]


@pytest.mark.parametrize("case", GOLDEN["parameters"], ids=lambda case: f"{case['name']}={case['value']:.20}")
def test_session_parameters_take_the_same_values(case):
    assert set_parameter(case["name"], case["value"]) == case["expected"]


@pytest.mark.parametrize("name", WORKS)
def test_handoff_records_keep_their_bytes(name):
    codec = PgCodec(lambda: "drawn")
    assert codec.encode(WORKS[name]).hex() == GOLDEN["handoff"][name]
    decoded = codec.decode(bytes.fromhex(GOLDEN["handoff"][name]), 9.0)
    assert work_fields(decoded) == work_fields(WORKS[name]) | {"budget_ms": 9.0}
    assert decoded.client_request_id == "drawn"


@pytest.mark.parametrize("case", SESSIONS, ids=lambda case: case["name"])
def test_sessions_write_submit_and_end_alike(case):
    assert play(case["script"]) == case["expected"]
