"""Golden tests of the middleware: handoff records of requests and responses, and ASGI answers, stay as recorded."""

from __future__ import annotations

import asyncio
import json

import pytest

from decklb.middleware import RequestSpec, WorkloadMiddleware
from decklb.middleware.codec import AsgiCodec
from decklb.middleware.requests import AsgiWork
from decklb.settings import parse_settings
from tests.standins import ROOT, SETTINGS

GOLDEN = json.loads((ROOT / "tests" / "golden" / "middleware.json").read_text())
SCOPE = {
    "type": "http",
    "http_version": "1.1",
    "method": "POST",
    "scheme": "https",
    "path": "/ñ",
    "raw_path": b"/%C3%B1",
    "query_string": b"a=1",
    "root_path": "",
    "client": ("127.0.0.1", 1),
    "state": {"connection": object()},
    "headers": [(b"X-A", b"1"), (b"Date", b"now"), (b"accept", b"*/*")],
}
WORKS = {
    "all parts": AsgiWork("id", "load", "cusco", 5.0, b"body", 3, "k", scope=SCOPE),
    "least parts": AsgiWork("id", "read", "", 5.0, b"", scope={"type": "http"}),
}
RESPONSES = {
    "in one part": [
        {"type": "http.response.start", "status": 201, "headers": [(b"a", b"b")]},
        {"type": "http.response.body", "body": b"xyz"},
    ],
    "in parts, without headers": [
        {"type": "http.response.start", "status": 204},
        {"type": "http.response.body", "body": b"x", "more_body": True},
        {"type": "http.response.body"},
    ],
}
OUTCOMES = {
    "refused": lambda sink, work: sink.rejected(1200.0),
    "refused for a short while": lambda sink, work: sink.rejected(3.0),
    "failed": lambda sink, work: sink.failed(),
    "conflict": lambda sink, work: sink.conflict(),
}
CODEC = AsgiCodec(frozenset((b"date",)))


def plain(value):
    """A value for JSON: bytes as hex, tuples as lists."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {name: plain(part) for name, part in value.items()}
    return [plain(part) for part in value] if isinstance(value, list | tuple) else value


def answer(respond, budget_ms=0.0):
    """The ASGI messages of one request whose intake answers like this."""

    class FakeIntake:
        def submit(self, work, sink):
            respond(sink, work)

        def abandon(self, taken):
            pass

    async def call():
        middleware = WorkloadMiddleware(
            None, parse_settings(SETTINGS), [], lambda scope: RequestSpec("read", "", budget_ms)
        )
        middleware.request_handler = FakeIntake()
        sent, received = [], [{"type": "http.request", "body": b"", "more_body": False}]

        async def receive():
            return received.pop() if received else await asyncio.Event().wait()

        async def send(message):
            sent.append(message)

        await middleware(SCOPE, receive, send)
        return sent

    return plain(asyncio.run(call()))


@pytest.mark.parametrize("name", WORKS)
def test_records_of_requests_keep_their_bytes(name):
    assert CODEC.encode(WORKS[name]).hex() == GOLDEN["requests"][name]["record"]
    work = CODEC.decode(bytes.fromhex(GOLDEN["requests"][name]["record"]), 9.0)
    assert plain(work.scope) == GOLDEN["requests"][name]["scope"]
    original = WORKS[name]
    assert (work.request_class, work.tenant, work.budget_ms) == (original.request_class, original.tenant, 9.0)
    assert (work.statement, work.table_group, work.ordering_key) == (
        original.statement,
        original.table_group,
        original.ordering_key,
    )


@pytest.mark.parametrize("name", RESPONSES)
def test_records_of_responses_keep_their_bytes(name):
    assert CODEC.encode_response(RESPONSES[name]).hex() == GOLDEN["responses"][name]["record"]
    messages = CODEC.decode_response(bytes.fromhex(GOLDEN["responses"][name]["record"]))
    assert plain(messages) == GOLDEN["responses"][name]["messages"]


@pytest.mark.parametrize("name", OUTCOMES)
def test_final_answers_keep_their_status_and_headers(name):
    assert answer(OUTCOMES[name]) == GOLDEN["answers"][name]


def test_a_failure_at_the_deadline_is_a_gateway_timeout():
    assert answer(OUTCOMES["failed"], budget_ms=1.0) == GOLDEN["answers"]["at the deadline"]
