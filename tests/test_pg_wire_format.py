"""Golden tests of the PostgreSQL front: the bytes of messages, handoff records and client sessions do not change."""

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
    """Every message that the front encodes, by its name in the protocol's documentation."""
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


def read_stream(raw, startup, chunk_size):
    """The messages of a byte stream that arrives in chunks, and the error that ends it."""
    reader, messages = pg.MessageReader(50, startup), []
    try:
        for start in range(0, len(raw), chunk_size):
            for message in reader.feed(raw[start : start + chunk_size]):
                reader.startup = False
                messages.append([message.type.decode(), message.payload.hex(), message.raw.hex()])
    except PgError as error:
        return {"messages": messages, "error": error_fields(error)}
    return {"messages": messages, "rest": reader.buffer.hex()}


def read_payload(payload, forms):
    """The values of fields of these forms: "text", "rest" or the format of a number."""
    fields, values = pg.PayloadReader(payload), []
    try:
        for form in forms:
            if form in ("text", "rest"):
                value = fields.string() if form == "text" else fields.remaining()
                values.append(value.hex() if isinstance(value, bytes) else value)
            else:
                values.append(fields.integer(form))
    except PgError as error:
        return {"values": values, "error": error_fields(error)}
    return {"values": values}


def classify_statement(sql):
    try:
        classification = classify(sql)
    except PgError as error:
        return {"error": error_fields(error)}
    return {
        "writes": classification.writes,
        "local": classification.local.name.lower() if classification.local else "",
        "name": classification.name,
        "value": classification.value,
    }


def set_parameter(name, value):
    """The values that SHOW returns after SET, or the error of SET."""
    try:
        parameters = SessionParameters("cusco", "read").set(name, value, parse_settings(SETTINGS))
    except PgError as error:
        return {"error": error_fields(error)}
    return {shown: parameters.show(shown) for shown in ("tenant", "class", "budget", "key", "request")}


def request_fields(request):
    return {
        "request_class": request.request_class,
        "tenant": request.tenant,
        "budget_ms": request.budget_ms,
        "statement": request.statement.decode(),
        "table_group": request.table_group,
        "ordering_key": request.ordering_key,
        "idempotency_key": request.idempotency_key,
        "simple": request.simple,
        "parameter_types": request.parameter_types.hex(),
        "bind": None if request.bind is None else request.bind.hex(),
        "describe": request.describe,
        "execute": request.execute,
    }


REQUESTS = {
    "simple query": PgRequest("id", "read", "cusco", 5.0, b"select 1", simple=True),
    "extended query": PgRequest(
        "id", "load", "", 5.0, b"x", 3, "k", parameter_types=b"\0\1\0\0\0\x17", bind=b"\0\0\0\0\0\0", describe=True
    ),
    "description": PgRequest("id", "load", "", 5.0, "ñ".encode(), execute=False),
}


class FakeTransport:
    """Records the calls of a connection in order."""

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


class FakeRequestHandler:
    """Records requests; the test supplies their answers. Generates an idempotency key for "auto"."""

    def __init__(self, events):
        self.events, self.sinks = events, []

    def submit(self, request, sink, client_has_left):
        self.events.append(["submit", request_fields(request)])
        self.sinks.append(sink)
        if request.idempotency_key == "auto":
            request.idempotency_key = "made"
        return len(self.sinks) - 1

    def abandon(self, handle):
        self.events.append(["abandon", handle])

    def cancel(self, handle):
        self.events.append(["cancel", handle])


class FakeDispatcher:
    """The dispatcher's clock and settings, as a front uses them."""

    def __init__(self, clock):
        self.settings, self.clock = parse_settings(SETTINGS), self
        self._clock = clock

    def now(self):
        return self._clock.seconds() * 1000.0

    def call_later(self, delay_ms, callback):
        return self._clock.callLater(delay_ms / 1000.0, callback)


def run_script(script):
    """Run a scripted session; return what the connection writes, submits and does to its transport in each step."""
    events, clock = [], Clock()
    dispatcher = FakeDispatcher(clock)
    settings = PgSettings.from_raw(POSTGRES, dispatcher.settings)
    listener = PgListener(dispatcher, settings, lambda bound: 77 % bound, max_clients=2)
    handler = listener.context.request_handler = FakeRequestHandler(events)
    connections, recorded = [], []
    for step, *arguments in script:
        if step == "connect":
            connections.append(listener.buildProtocol(None))
            connections[-1].transport = FakeTransport(events)
            connections[-1].connectionMade()
        elif step == "keep-answers":
            listener.enable_handoff(handler)
        elif step == "receive":
            connections[-1].dataReceived(bytes.fromhex(arguments[0]))
        elif step == "receive-on":
            connections[arguments[0]].dataReceived(bytes.fromhex(arguments[1]))
        elif step == "served":
            handler.sinks[-1].served(bytes.fromhex(arguments[0]))
        elif step == "refused":
            handler.sinks[-1].rejected(arguments[0])
        elif step in ("failed", "conflict"):
            getattr(handler.sinks[-1], step)()
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
@pytest.mark.parametrize("chunk_size", [1, 2, 3, 7, 1000])
def test_streams_are_split_into_the_recorded_messages(case, chunk_size):
    assert read_stream(bytes.fromhex(case["raw"]), case["startup"], chunk_size) == case["expected"]


@pytest.mark.parametrize("case", GOLDEN["payloads"], ids=lambda case: f"{case['payload']}-{'-'.join(case['forms'])}")
def test_payloads_are_read_as_the_recorded_fields(case):
    assert read_payload(bytes.fromhex(case["payload"]), case["forms"]) == case["expected"]


@pytest.mark.parametrize("case", GOLDEN["error_responses"], ids=lambda case: case["payload"])
def test_error_responses_are_read_as_the_recorded_fields(case):
    assert pg.read_error(bytes.fromhex(case["payload"])) == case["expected"]


@pytest.mark.parametrize("sql", GOLDEN["statements"])
def test_statements_are_classified_as_recorded(sql):
    assert classify_statement(sql) == GOLDEN["statements"][sql]


@pytest.mark.parametrize("case", GOLDEN["parameters"], ids=lambda case: f"{case['name']}={case['value']:.20}")
def test_session_parameters_have_the_recorded_values(case):
    assert set_parameter(case["name"], case["value"]) == case["expected"]


@pytest.mark.parametrize("name", REQUESTS)
def test_handoff_records_keep_their_bytes(name):
    codec = PgCodec(lambda: "drawn")
    assert codec.encode(REQUESTS[name]).hex() == GOLDEN["handoff"][name]
    decoded = codec.decode(bytes.fromhex(GOLDEN["handoff"][name]), 9.0)
    assert request_fields(decoded) == request_fields(REQUESTS[name]) | {"budget_ms": 9.0}
    assert decoded.client_request_id == "drawn"


@pytest.mark.parametrize("case", SESSIONS, ids=lambda case: case["name"])
def test_sessions_write_submit_and_end_as_recorded(case):
    assert run_script(case["script"]) == case["expected"]
