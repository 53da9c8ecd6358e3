"""The ASGI middleware around a Starlette application, called as an ASGI server calls it."""

from __future__ import annotations

import asyncio
import re
import unittest

import httpx
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from decklb import interface as api
from decklb.middleware import Ask, RequestSpec, WorkloadMiddleware
from decklb.settings import parse_settings
from tests.standins import DEADLINE, SETTINGS

ENGINES = [api.Endpoint(f"e{i}", "z", "k", 0, api.Phase.UP) for i in range(2)]


class Middleware(unittest.IsolatedAsyncioTestCase):
    def wrap(self, endpoint, engines=ENGINES, budget_ms=0.0, **options):
        app = Starlette(routes=[Route("/{rest:path}", endpoint, methods=["GET", "POST"])])
        self.wrapped = WorkloadMiddleware(
            app,
            parse_settings(SETTINGS),
            engines,
            lambda scope: None if scope["path"] == "/health" else RequestSpec("read", "cusco", budget_ms),
            **options,
        )
        transport = httpx.ASGITransport(app=self.wrapped)
        return httpx.AsyncClient(transport=transport, base_url="http://local", timeout=DEADLINE)

    async def test_a_response_is_sent_completely_and_the_engine_is_in_the_scope(self):
        async def echo(request):
            return PlainTextResponse(request.scope["decklb.engine"] + " " + (await request.body()).decode())

        async with self.wrap(echo) as client:
            response = await client.post("/x", content="hola")
        assert response.status_code == 200
        assert re.search("e[01] hola", response.text)

    async def test_a_failed_attempt_is_retried_on_another_engine(self):
        engines = []

        async def flaky(request):
            engines.append(request.scope["decklb.engine"])
            if len(engines) == 1:
                raise RuntimeError("engine down")
            return PlainTextResponse("ok")

        async with self.wrap(flaky) as client:
            assert (await client.get("/x")).text == "ok"
        assert len(set(engines)) == 2

    async def test_rejections_are_503_with_retry_after(self):
        async def broken(request):
            return PlainTextResponse("no", 500)

        async with self.wrap(broken) as client:
            response = await client.get("/x")
        assert (response.status_code, response.headers["retry-after"]) == (503, "1")

    async def test_timeouts_are_504_and_end_the_call(self):
        ended = []

        async def slow(request):
            try:
                await asyncio.Event().wait()
            finally:
                ended.append(1)

        async with self.wrap(slow, budget_ms=1500.0) as client:
            assert (await client.get("/x")).status_code == 504
        assert ended == [1]

    async def test_a_disconnect_ends_the_call(self):
        started, ended = asyncio.Event(), asyncio.Event()

        async def slow(request):
            started.set()
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()

        self.wrap(slow)
        sent, read = [], []

        async def receive():
            if not read:
                read.append(1)
                return {"type": "http.request", "body": b"", "more_body": False}
            await started.wait()
            return {"type": "http.disconnect"}

        async def send(message):
            sent.append(message)

        scope = {"type": "http", "method": "GET", "path": "/x", "headers": [], "query_string": b""}
        await asyncio.wait_for(self.wrapped(scope, receive, send), DEADLINE)
        await asyncio.wait_for(ended.wait(), DEADLINE)
        assert (sent, self.wrapped.dispatcher.open_requests) == ([], 0)

    async def test_bodies_are_limited_and_unmanaged_requests_are_passed_on(self):
        async def plain(request):
            return PlainTextResponse(request.scope.get("decklb.engine", "none"))

        async with self.wrap(plain, most_body=10) as client:
            assert (await client.post("/x", content="x" * 11)).status_code == 413
            assert (await client.get("/health")).text == "none"

    def test_deprecated_names_are_equivalent(self):
        ask = Ask("read", "cusco", budget=5.0, tables=3, key="k", once="o")
        spec = RequestSpec("read", "cusco", budget_ms=5.0, table_group=3, ordering_key="k", idempotency_key="o")
        assert isinstance(ask, RequestSpec)
        for name in ("request_class", "tenant", "budget_ms", "table_group", "ordering_key", "idempotency_key"):
            assert getattr(ask, name) == getattr(spec, name)
        assert (ask.lane, ask.budget, ask.tables, ask.key, ask.once) == ("read", 5.0, 3, "k", "o")
        assert WorkloadMiddleware.members is WorkloadMiddleware.update_engines
        ask.once = "p"
        assert ask.idempotency_key == "p"
