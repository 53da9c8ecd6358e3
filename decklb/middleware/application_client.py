"""The dispatcher's engine client in an application: an attempt is one call of the application, as an asyncio task.

Created by `decklb.middleware.middleware.WorkloadMiddleware`, called by the dispatcher. The response of an attempt is
buffered until it is complete, so that a failed attempt can be retried. Attempts are tasks because ASGI applications
are awaitables; the daemon needs no tasks, since it works on sockets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from decklb.core.attempts import Attempt
from decklb.interface import Outcome
from decklb.middleware.asgi import App, Message, is_complete
from decklb.middleware.requests import AsgiRequest

ENGINE_SCOPE_KEY = "decklb.engine"  # scope key under which the application finds the id of the chosen engine
MIN_SERVER_ERROR_STATUS = 500  # attempts with this HTTP status or above have failed


class ResponseTooLargeError(Exception):
    """The application's response exceeds the maximum size."""


class ApplicationClient:
    """Runs attempts as calls of the application."""

    def __init__(
        self, app: App, max_response_bytes: int, encode_response: Callable[[list[Message]], bytes] | None
    ) -> None:
        """`encode_response` encodes a response for other processes of a fleet; None without a fleet."""
        self._app, self._max_response_bytes, self._encode_response = app, max_response_bytes, encode_response

    def start(self, attempt: Attempt) -> None:
        """Call the application in a task; the attempt ends with the task."""
        task = asyncio.ensure_future(self._call(attempt))
        attempt.handle = task
        task.add_done_callback(lambda ended: self._call_ended(attempt, ended))

    def abandon(self, attempt: Attempt, on_released: Callable[[], None]) -> None:
        """Cancel the call; `on_released` is called when its task has ended."""
        task = attempt.handle
        if isinstance(task, asyncio.Task) and not task.done():
            task.add_done_callback(lambda _: on_released())
            task.cancel()
        else:
            asyncio.get_running_loop().call_soon(on_released)

    async def _call(self, attempt: Attempt) -> list[Message]:
        """Call the application and return the messages of its response."""
        asgi_request = attempt.request.incoming
        assert isinstance(asgi_request, AsgiRequest)
        response: list[Message] = []
        response_bytes, body_read = 0, False
        # Never completes: a disconnect cancels this task instead of sending the application a message.
        disconnected = asyncio.get_running_loop().create_future()

        async def receive() -> Message:
            nonlocal body_read
            if body_read:
                await disconnected
            body_read = True
            return {"type": "http.request", "body": asgi_request.statement, "more_body": False}

        async def send(message: Message) -> None:
            nonlocal response_bytes
            response_bytes += len(message.get("body", b""))
            if response_bytes > self._max_response_bytes:
                raise ResponseTooLargeError("the response exceeds the maximum size")
            response.append(message)

        await self._app(dict(asgi_request.scope) | {ENGINE_SCOPE_KEY: attempt.engine_id}, receive, send)
        return response

    def _call_ended(self, attempt: Attempt, task: asyncio.Task[list[Message]]) -> None:
        if task.cancelled():
            return attempt.end(Outcome.CONNECTION_RESET)
        if (error := task.exception()) is not None:
            logger.opt(exception=error).warning("application raised an exception for engine {}", attempt.engine_id)
            return attempt.end(Outcome.ERROR)
        response, asgi_request = task.result(), attempt.request.incoming
        if not is_complete(response) or response[0].get("status", MIN_SERVER_ERROR_STATUS) >= MIN_SERVER_ERROR_STATUS:
            return attempt.end(Outcome.ERROR)
        assert isinstance(asgi_request, AsgiRequest)
        if not attempt.request.answered:
            asgi_request.response = response
        record = (
            self._encode_response(response)
            if self._encode_response is not None and asgi_request.idempotency_key
            else b""
        )
        attempt.end(Outcome.SUCCESS, record)
