"""ASGI middleware: the dispatcher decides when the application is called, and for which engine.

`WorkloadMiddleware` wraps an application and is called by the ASGI server. It owns the dispatcher of this process,
which it creates on the first call, when an event loop exists. A task watches for the client's disconnect, since ASGI
reports it only through an awaitable.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from loguru import logger

from decklb.core.dispatcher import ANSWER_MARGIN_MS, Dispatcher
from decklb.core.memory_account import HeldKind, MemoryAccount
from decklb.core.ports import RequestHandler
from decklb.interface import Endpoint, Settings
from decklb.middleware.answers import Answer, AnswerFuture, AnswerKind
from decklb.middleware.application_client import ApplicationClient
from decklb.middleware.asgi import (
    App,
    NoMemoryError,
    Receive,
    Scope,
    Send,
    read_body,
    send_empty_response,
    wait_for_disconnect,
)
from decklb.middleware.event_loop_clock import EventLoopClock
from decklb.middleware.requests import AsgiRequest, RequestSpec

if TYPE_CHECKING:
    from decklb.middleware.members import Members

DEFAULT_MAX_BODY_BYTES = 1 << 20
DEFAULT_MAX_RESPONSE_BYTES = 4 << 20
DEFAULT_MAX_HELD_BYTES = 64 << 20
NO_MEMORY_RETRY_S = 1
MS_PER_S = 1000
# A failure less than this before the deadline counts as a timeout: the dispatcher ends requests ANSWER_MARGIN_MS
# before their deadline.
TIMEOUT_MARGIN_S = (ANSWER_MARGIN_MS + 5.0) / MS_PER_S

# HTTP status codes of final answers that the application did not produce.
CONTENT_TOO_LARGE = 413
UNPROCESSABLE_CONTENT = 422
BAD_GATEWAY = 502
SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class WorkloadMiddleware:
    """An ASGI application that manages the requests of the application that it wraps."""

    def __init__(
        self,
        app: App,
        settings: Settings,
        engines: list[Endpoint],
        classify: Callable[[Scope], RequestSpec | None],
        seed: int = 0,
        most_body: int = DEFAULT_MAX_BODY_BYTES,
        most_response: int = DEFAULT_MAX_RESPONSE_BYTES,
        fleet: Members | None = None,
        most_held: int = DEFAULT_MAX_HELD_BYTES,
    ) -> None:
        """Wrap an application.

        Args:
            app: The application. It finds the id of the chosen engine in `scope["decklb.engine"]`.
            settings: Request classes, tenants and settings of the policy.
            engines: The list of engines; see `update_engines`.
            classify: Returns how to manage a request, or None to pass it to the application unmanaged.
            seed: Seed of the random decisions.
            most_body: Maximum size of a request body in bytes.
            most_response: Maximum size of a response of the application in bytes.
            most_held: Maximum size in bytes of the bodies of all requests together. Beyond three quarters of it bodies
                over 8 KB are rejected, beyond all of it any: 503 with Retry-After.
            fleet: Joins this process to a fleet whose processes take over each other's requests; see docs/operations.
        """
        self.dispatcher: Dispatcher | None = None
        self.request_handler: RequestHandler | None = None  # the dispatcher, or the handoff in front of it
        self.app, self.settings, self.fleet = app, settings, fleet
        self._classify, self._seed = classify, seed
        self._max_body_bytes, self._max_response_bytes = most_body, most_response
        self._engines = engines
        self._request_count = 0
        self.account = MemoryAccount(most_held)

    def update_engines(self, engines: list[Endpoint]) -> None:
        """Replace the list of engines; call it when the list has changed."""
        self._engines = engines
        if self.dispatcher is not None:
            self.dispatcher.update_endpoints(engines)

    members = update_engines  # deprecated former name

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI call."""
        if scope["type"] == "lifespan" and self.fleet is not None:
            return await self._lifespan(self.fleet, scope, receive, send)
        spec = self._classify(scope) if scope["type"] == "http" else None
        if spec is None or spec.request_class not in self.settings.classes:
            return await self.app(scope, receive, send)
        holder = self.account.holder("request")

        def may_hold(size: int) -> bool:
            holder.set(HeldKind.PARTIAL_MESSAGE, size)
            return self.account.admits(size)

        try:
            body = await read_body(receive, self._max_body_bytes, may_hold)
            if body is None:
                return
            if len(body) > self._max_body_bytes:
                return await send_empty_response(send, CONTENT_TOO_LARGE)
            await self._manage(spec, scope, body, receive, send)
        except NoMemoryError:
            await send_empty_response(send, SERVICE_UNAVAILABLE, NO_MEMORY_RETRY_S)
        finally:
            holder.set(HeldKind.PARTIAL_MESSAGE, 0)

    async def _lifespan(self, fleet: Members, scope: Scope, receive: Receive, send: Send) -> None:
        """Join the fleet at startup instead of at the first request, and leave it at shutdown."""
        self._start(asyncio.get_running_loop())
        try:
            await self.app(scope, receive, send)
        finally:
            fleet.close()

    async def _manage(self, spec: RequestSpec, scope: Scope, body: bytes, receive: Receive, send: Send) -> None:
        """Submit a request and respond with its final answer unless the client disconnects first."""
        loop = asyncio.get_running_loop()
        request_handler = self._start(loop)
        request = self._new_request(spec, scope, body)
        answer_future = AnswerFuture(loop)
        started_s = loop.time()
        handle = request_handler.submit(request, answer_future)
        disconnect = asyncio.ensure_future(wait_for_disconnect(receive))
        pending: set[asyncio.Future[Any]] = {answer_future.future, disconnect}
        try:
            await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            if answer_future.future.done():
                deadline_s = started_s + request.budget_ms / MS_PER_S
                timed_out = loop.time() >= deadline_s - TIMEOUT_MARGIN_S
                await self._respond(answer_future.future.result(), request, timed_out, send)
            else:
                logger.info(
                    "request ended: client-closed class={request_class}",
                    event="request-ended",
                    reason="client-closed",
                    request_class=spec.request_class,
                )
        finally:
            disconnect.cancel()
            request_handler.abandon(handle)  # has no effect after the answer

    def _new_request(self, spec: RequestSpec, scope: Scope, body: bytes) -> AsgiRequest:
        self._request_count += 1
        return AsgiRequest(
            f"{self._request_count:016x}",
            spec.request_class,
            spec.tenant,
            spec.budget_ms or self.settings.classes[spec.request_class].deadline_ms,
            body,
            spec.table_group,
            spec.ordering_key,
            scope=scope,
            idempotency_key=spec.idempotency_key if self.fleet is not None else "",
        )

    async def _respond(self, answer: Answer, request: AsgiRequest, timed_out: bool, send: Send) -> None:
        """Send the response for a final answer; `timed_out`: report a failure as a timeout."""
        if answer.kind is AnswerKind.SERVED:
            response = request.response
            if self.fleet is not None and answer.response_record:
                response = self.fleet.codec.decode_response(answer.response_record)
            for message in response:
                await send(message)
        elif answer.kind is AnswerKind.CONFLICT:
            await send_empty_response(send, UNPROCESSABLE_CONTENT)
        elif timed_out:
            await send_empty_response(send, GATEWAY_TIMEOUT)
        elif answer.kind is AnswerKind.REJECTED:
            retry_after_s = max(1, math.ceil(answer.retry_after_ms / MS_PER_S))
            await send_empty_response(send, SERVICE_UNAVAILABLE, retry_after_s)
        else:
            await send_empty_response(send, BAD_GATEWAY)

    def _start(self, loop: asyncio.AbstractEventLoop) -> RequestHandler:
        """Return the request handler; the first call creates the dispatcher and joins the fleet."""
        if self.request_handler is None:
            clock, fleet = EventLoopClock(loop), self.fleet
            encode_response = fleet.codec.encode_response if fleet is not None else None
            client = ApplicationClient(self.app, self._max_response_bytes, encode_response)
            self.dispatcher = Dispatcher(self.settings, self._seed, clock, client)
            self.dispatcher.update_endpoints(self._engines)
            self.request_handler = fleet.attach(self.dispatcher, clock, loop) if fleet is not None else self.dispatcher
        return self.request_handler
