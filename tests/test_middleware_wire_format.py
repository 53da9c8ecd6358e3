"""Golden tests of the middleware: handoff records of requests and responses, and ASGI answers, do not change."""

from __future__ import annotations

import asyncio
import json

import pytest

from decklb.middleware import RequestSpec, WorkloadMiddleware
from decklb.middleware.codec import AsgiCodec
from decklb.middleware.requests import AsgiRequest
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
REQUESTS = {
    "all parts": AsgiRequest("id", "load", "cusco", 5.0, b"body", 3, "k", scope=SCOPE),
    "least parts": AsgiRequest("id", "read", "", 5.0, b"", scope={"type": "http"}),
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
    "refused": lambda sink, request: sink.rejected(1200.0),
    "refused for a short while": lambda sink, request: sink.rejected(3.0),
    "failed": lambda sink, request: sink.failed(),
    "conflict": lambda sink, request: sink.conflict(),
}
CODEC = AsgiCodec(frozenset((b"date",)))


def plain(value):
    """Convert a value for JSON: bytes to hex, tuples to lists."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {name: plain(part) for name, part in value.items()}
    return [plain(part) for part in value] if isinstance(value, list | tuple) else value


def answer(respond, budget_ms=0.0):
    """Return the ASGI messages of one request whose request handler calls `respond`."""

    class FakeRequestHandler:
        def submit(self, request, sink):
            respond(sink, request)

        def abandon(self, handle):
            pass

    async def call():
        middleware = WorkloadMiddleware(
            None, parse_settings(SETTINGS), [], lambda scope: RequestSpec("read", "", budget_ms)
        )
        middleware.request_handler = FakeRequestHandler()
        sent, received = [], [{"type": "http.request", "body": b"", "more_body": False}]

        async def receive():
            return received.pop() if received else await asyncio.Event().wait()

        async def send(message):
            sent.append(message)

        await middleware(SCOPE, receive, send)
        return sent

    return plain(asyncio.run(call()))


@pytest.mark.parametrize("name", REQUESTS)
def test_records_of_requests_keep_their_bytes(name):
    assert CODEC.encode(REQUESTS[name]).hex() == GOLDEN["requests"][name]["record"]
    request = CODEC.decode(bytes.fromhex(GOLDEN["requests"][name]["record"]), 9.0)
    assert plain(request.scope) == GOLDEN["requests"][name]["scope"]
    original = REQUESTS[name]
    assert (request.request_class, request.tenant, request.budget_ms) == (original.request_class, original.tenant, 9.0)
    assert (request.statement, request.table_group, request.ordering_key) == (
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
