"""The ASGI middleware, driven as a server drives it, and as one for a Starlette application."""

from __future__ import annotations

import asyncio
import unittest

import httpx
from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from decklb import interface as api
from decklb.middleware import Ask, WorkloadMiddleware
from decklb.settings import settings_from
from tests.standins import DEADLINE, SETTINGS

ENGINES = [api.Entry(f"e{i}", "z", "k", 0, api.Phase.UP) for i in range(2)]


class Middleware(unittest.IsolatedAsyncioTestCase):
    def wrap(self, endpoint, engines=ENGINES, budget=0.0, **more):
        app = Starlette(routes=[Route("/{rest:path}", endpoint, methods=["GET", "POST"])])
        self.wrapped = WorkloadMiddleware(
            app,
            settings_from(SETTINGS),
            engines,
            lambda scope: None if scope["path"] == "/health" else Ask("read", "cusco", budget),
            **more,
        )
        transport = httpx.ASGITransport(app=self.wrapped)
        return httpx.AsyncClient(transport=transport, base_url="http://local", timeout=DEADLINE)

    async def test_served_whole_with_the_engine_in_scope(self):
        async def echo(request):
            return PlainTextResponse(request.scope["decklb.engine"] + " " + (await request.body()).decode())

        async with self.wrap(echo) as client:
            answer = await client.post("/x", content="hola")
        self.assertEqual(answer.status_code, 200)
        self.assertRegex(answer.text, "e[01] hola")

    async def test_a_failed_engine_is_followed_by_another(self):
        seen = []

        async def flaky(request):
            seen.append(request.scope["decklb.engine"])
            if len(seen) == 1:
                raise RuntimeError("engine down")
            return PlainTextResponse("ok")

        async with self.wrap(flaky) as client:
            self.assertEqual((await client.get("/x")).text, "ok")
        self.assertEqual(len(set(seen)), 2)

    async def test_refusals_are_503_with_retry_after(self):
        async def broken(request):
            return PlainTextResponse("no", 500)

        async with self.wrap(broken) as client:
            answer = await client.get("/x")
        self.assertEqual((answer.status_code, answer.headers["retry-after"]), (503, "1"))

    async def test_deadlines_are_504_and_end_the_call(self):
        ended = []

        async def slow(request):
            try:
                await asyncio.Event().wait()
            finally:
                ended.append(1)

        async with self.wrap(slow, budget=1500.0) as client:
            self.assertEqual((await client.get("/x")).status_code, 504)
        self.assertEqual(ended, [1])

    async def test_a_disconnect_frees_the_work(self):
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
        self.assertEqual((sent, self.wrapped.dispatcher.open), ([], 0))

    async def test_bodies_are_bounded_and_unmanaged_paths_go_by(self):
        async def plain(request):
            return PlainTextResponse(request.scope.get("decklb.engine", "none"))

        async with self.wrap(plain, most_body=10) as client:
            self.assertEqual((await client.post("/x", content="x" * 11)).status_code, 413)
            self.assertEqual((await client.get("/health")).text, "none")


if __name__ == "__main__":
    unittest.main()
