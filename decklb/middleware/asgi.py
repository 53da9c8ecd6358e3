"""ASGI middleware: the application is called once the dispatcher says when and for which engine.

The application finds the chosen engine's id in `scope["decklb.engine"]`. Its response is held until it is whole,
so that another attempt can take the place of one that failed. ASGI hands out disconnects and runs applications
as awaitables only, so an attempt and a watch for the client's end are tasks here, unlike on the daemon's sockets.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, MutableMapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from loguru import logger

from decklb.core.dispatcher import EARLY, Attempt, Dispatcher
from decklb.core.ports import Intake, Timer, Work
from decklb.interface import Entry, Outcome, Settings

if TYPE_CHECKING:
    from decklb.middleware.members import Members

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

EARLIEST = (EARLY + 5.0) / 1000  # seconds before its deadline from which a failure counts as running out of time


@dataclass(slots=True)
class Ask:
    """What the application's owner says of a request. `budget` 0 is the class's deadline, in milliseconds."""

    lane: str
    tenant: str = ""
    budget: float = 0.0
    tables: int = 0
    key: str | None = None
    once: str = ""  # names the request, so that its client may come back for the answer to any process


@dataclass(slots=True)
class AsgiWork(Work):
    """A request with what the application needs to answer it, and the whole response."""

    scope: Scope = field(default_factory=dict)
    response: list[Message] = field(default_factory=list)


class TooLarge(Exception):
    """A body or a response over its bound."""


class LoopClock:
    """The running event loop as the core's clock."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now(self) -> float:
        """Milliseconds."""
        return self.loop.time() * 1000.0

    def call_later(self, delay: float, call: Callable[[], None]) -> Timer:
        """Make the call once, after that many milliseconds."""
        return self.loop.call_later(max(0.0, delay) / 1000.0, call)


class AppEngines:
    """The core's engine client: an attempt is one call of the application."""

    def __init__(self, app: App, most_response: int, written: Callable[[list[Message]], bytes] | None) -> None:
        """`written` writes a response down, where others may have to give it."""
        self.app, self.most_response, self.written = app, most_response, written

    def start(self, attempt: Attempt) -> None:
        """Call the application; the end of its task is the end of the attempt."""
        task = asyncio.ensure_future(self._call(attempt))
        attempt.handle = task
        task.add_done_callback(lambda done: self._done(attempt, done))

    async def _call(self, attempt: Attempt) -> list[Message]:
        work = attempt.request.work
        assert isinstance(work, AsgiWork)
        response: list[Message] = []
        size, read = 0, False
        gone = asyncio.get_running_loop().create_future()  # never: a client that left ends the task instead

        async def receive() -> Message:
            nonlocal read
            if read:
                await gone
            read = True
            return {"type": "http.request", "body": work.statement, "more_body": False}

        async def send(message: Message) -> None:
            nonlocal size
            size += len(message.get("body", b""))
            if size > self.most_response:
                raise TooLarge("response")
            response.append(message)

        await self.app(dict(work.scope) | {"decklb.engine": attempt.engine}, receive, send)
        return response

    def _done(self, attempt: Attempt, task: asyncio.Task[list[Message]]) -> None:
        if task.cancelled():
            return attempt.end(Outcome.RST)
        if (error := task.exception()) is not None:
            logger.opt(exception=error).warning("application failed for engine {}", attempt.engine)
            return attempt.end(Outcome.BAD)
        response, work = task.result(), attempt.request.work
        whole = len(response) > 1 and not response[-1].get("more_body", False)
        if not whole or response[0].get("status", 500) >= 500:
            return attempt.end(Outcome.BAD)
        assert isinstance(work, AsgiWork)
        if not attempt.request.answered:
            work.response = response
        attempt.end(Outcome.GOOD, self.written(response) if self.written is not None and work.once else b"")

    def give_up(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel the call; it is out until its task has ended."""
        task = attempt.handle
        if isinstance(task, asyncio.Task) and not task.done():
            task.add_done_callback(lambda _: freed())
            task.cancel()
        else:
            asyncio.get_running_loop().call_soon(freed)


class Sink:
    """Sets the future that the request's own coroutine awaits."""

    def __init__(self, future: asyncio.Future[tuple[int, float]]) -> None:
        self.future = future
        self.result = b""

    def _set(self, status: int, wait: float = 0.0) -> None:
        if not self.future.done():
            self.future.set_result((status, wait))

    def served(self, result: bytes) -> None:
        """The response is whole."""
        self.result = result
        self._set(200)

    def refused(self, backoff: float) -> None:
        """Come back later."""
        self._set(503, backoff)

    def failed(self) -> None:
        """Over, or unknown."""
        self._set(504)

    def conflict(self) -> None:
        """The name of the request was given to another."""
        self._set(422)


class WorkloadMiddleware:
    """Wraps an application. `classify` says what a request is, or None for what goes by unmanaged."""

    def __init__(
        self,
        app: App,
        settings: Settings,
        engines: list[Entry],
        classify: Callable[[Scope], Ask | None],
        seed: int = 0,
        most_body: int = 1 << 20,
        most_response: int = 4 << 20,
        fleet: Members | None = None,
    ) -> None:
        """`fleet` makes this process one of several that take over one another's requests; see docs/operations."""
        self.fleet = fleet
        self.intake: Intake | None = None
        self.app, self.settings, self.classify, self.seed = app, settings, classify, seed
        self.most_body, self.most_response = most_body, most_response
        self.entries = engines
        self.dispatcher: Dispatcher | None = None
        self._count = 0

    def members(self, engines: list[Entry]) -> None:
        """The whole list of engines, when it changes."""
        self.entries = engines
        if self.dispatcher is not None:
            self.dispatcher.members(engines)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """One ASGI call."""
        if scope["type"] == "lifespan" and self.fleet is not None:
            self._core(asyncio.get_running_loop())  # a member from the start, not from the first request on
            try:
                return await self.app(scope, receive, send)
            finally:
                self.fleet.close()
        ask = self.classify(scope) if scope["type"] == "http" else None
        if ask is None or ask.lane not in self.settings.classes:
            return await self.app(scope, receive, send)
        body = await self._body(receive)
        if body is None:
            return
        if len(body) > self.most_body:
            return await _respond(send, 413)
        await self._managed(ask, scope, body, receive, send)

    async def _body(self, receive: Receive) -> bytes | None:
        """The whole body, or its first part if that is too long already; None if the client left."""
        body = b""
        while len(body) <= self.most_body:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            body += message.get("body", b"")
            if not message.get("more_body", False):
                break
        return body

    async def _managed(self, ask: Ask, scope: Scope, body: bytes, receive: Receive, send: Send) -> None:
        loop = asyncio.get_running_loop()
        intake = self._core(loop)
        self._count += 1
        budget = ask.budget or self.settings.classes[ask.lane].deadline
        work = AsgiWork(
            f"{self._count:016x}",
            ask.lane,
            ask.tenant,
            budget,
            body,
            ask.tables,
            ask.key,
            scope=scope,
            once=ask.once if self.fleet is not None else "",
        )
        answer: asyncio.Future[tuple[int, float]] = loop.create_future()
        start = loop.time()
        sink = Sink(answer)
        request = intake.submit(work, sink)
        left = asyncio.ensure_future(_until_gone(receive))
        waits: set[asyncio.Future[Any]] = {answer, left}
        try:
            await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
            if not answer.done():
                logger.info(
                    "request ended: client-closed class={lane}",
                    event="request-ended",
                    reason="client-closed",
                    lane=ask.lane,
                )
                return
            status, wait = answer.result()
            if status == 200:
                for message in (
                    work.response if self.fleet is None or not sink.result else self.fleet.codec.messages(sink.result)
                ):
                    await send(message)
            elif status == 422:
                await _respond(send, 422)
            elif loop.time() - start >= budget / 1000 - EARLIEST:
                await _respond(send, 504)
            elif status == 503:
                await _respond(send, 503, str(max(1, math.ceil(wait / 1000))))
            else:
                await _respond(send, 502)
        finally:
            left.cancel()
            intake.abandon(request)  # nothing if it has been answered

    def _core(self, loop: asyncio.AbstractEventLoop) -> Intake:
        """Made on the first call, as only then there is a loop."""
        if self.intake is None:
            clock, fleet = LoopClock(loop), self.fleet
            self.dispatcher = Dispatcher(
                self.settings,
                self.seed,
                clock,
                AppEngines(self.app, self.most_response, fleet.codec.response if fleet is not None else None),
            )
            self.dispatcher.members(self.entries)
            self.intake = fleet.attach(self.dispatcher, clock, loop) if fleet is not None else self.dispatcher
        return self.intake


async def _until_gone(receive: Receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


async def _respond(send: Send, status: int, retry_after: str = "") -> None:
    headers = [(b"content-length", b"0")] + ([(b"retry-after", retry_after.encode())] if retry_after else [])
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})
