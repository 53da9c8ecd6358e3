"""The dispatcher's engine client in an application: an attempt is one call of the application, as an asyncio task.

Made by `decklb.middleware.middleware.WorkloadMiddleware`, called by the dispatcher. The response of an attempt is held
until it is complete, so that another attempt can take the place of one that failed. An attempt is a task since ASGI
runs applications as awaitables only; on the daemon's sockets attempts have none.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from decklb.core.dispatcher import Attempt
from decklb.interface import Outcome
from decklb.middleware.asgi import App, Message, is_complete
from decklb.middleware.requests import AsgiWork

ENGINE_SCOPE_KEY = "decklb.engine"  # where the application finds the id of the chosen engine
FIRST_SERVER_ERROR = 500  # HTTP status from which an attempt counts as failed


class ResponseTooLargeError(Exception):
    """The application's response is over its bound."""


class ApplicationClient:
    """Runs attempts as calls of the application."""

    def __init__(
        self, app: App, max_response_bytes: int, encode_response: Callable[[list[Message]], bytes] | None
    ) -> None:
        """`encode_response` makes a response's record for other processes of a fleet; None without a fleet."""
        self._app, self._max_response_bytes, self._encode_response = app, max_response_bytes, encode_response

    def start(self, attempt: Attempt) -> None:
        """Call the application; the end of its task is the end of the attempt."""
        task = asyncio.ensure_future(self._call(attempt))
        attempt.handle = task
        task.add_done_callback(lambda ended: self._call_ended(attempt, ended))

    def abandon(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel the call; `freed` is called once its task has ended."""
        task = attempt.handle
        if isinstance(task, asyncio.Task) and not task.done():
            task.add_done_callback(lambda _: freed())
            task.cancel()
        else:
            asyncio.get_running_loop().call_soon(freed)

    async def _call(self, attempt: Attempt) -> list[Message]:
        """The messages of the application's response."""
        work = attempt.request.incoming
        assert isinstance(work, AsgiWork)
        response: list[Message] = []
        response_bytes, body_read = 0, False
        # Never done: the end of a client cancels this task, and is not told to the application as a message.
        disconnected = asyncio.get_running_loop().create_future()

        async def receive() -> Message:
            nonlocal body_read
            if body_read:
                await disconnected
            body_read = True
            return {"type": "http.request", "body": work.statement, "more_body": False}

        async def send(message: Message) -> None:
            nonlocal response_bytes
            response_bytes += len(message.get("body", b""))
            if response_bytes > self._max_response_bytes:
                raise ResponseTooLargeError("response")
            response.append(message)

        await self._app(dict(work.scope) | {ENGINE_SCOPE_KEY: attempt.engine_id}, receive, send)
        return response

    def _call_ended(self, attempt: Attempt, task: asyncio.Task[list[Message]]) -> None:
        if task.cancelled():
            return attempt.end(Outcome.CONNECTION_RESET)
        if (error := task.exception()) is not None:
            logger.opt(exception=error).warning("application failed for engine {}", attempt.engine_id)
            return attempt.end(Outcome.ERROR)
        response, work = task.result(), attempt.request.incoming
        if not is_complete(response) or response[0].get("status", FIRST_SERVER_ERROR) >= FIRST_SERVER_ERROR:
            return attempt.end(Outcome.ERROR)
        assert isinstance(work, AsgiWork)
        if not attempt.request.answered:
            work.response = response
        record = self._encode_response(response) if self._encode_response is not None and work.idempotency_key else b""
        attempt.end(Outcome.SUCCESS, record)
