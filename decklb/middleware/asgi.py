"""Types of the ASGI interface, and functions that read requests and send responses.

Source: ASGI specification, "HTTP & WebSocket ASGI Message Format". Independent of the dispatcher.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


class NoMemoryError(Exception):
    """There is no memory for the body of a request."""


async def read_body(receive: Receive, max_bytes: int, may_hold: Callable[[int], bool]) -> bytes | None:
    """Read the body of a request. Returns None if the client has disconnected.

    Reading stops when the body exceeds `max_bytes`; the result is then longer than that.

    Args:
        receive: Of the ASGI call.
        max_bytes: See above.
        may_hold: Is told how many bytes are held, and returns whether they may be.

    Raises:
        NoMemoryError: `may_hold` returned false.
    """
    body = bytearray()
    while len(body) <= max_bytes:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if not may_hold(len(body)):
            raise NoMemoryError
        if not message.get("more_body", False):
            break
    return bytes(body)


async def wait_for_disconnect(receive: Receive) -> None:
    """Return when the client has disconnected."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_empty_response(send: Send, status: int, retry_after_s: int | None = None) -> None:
    """Send a response without a body, with Retry-After unless `retry_after_s` is None."""
    headers = [(b"content-length", b"0")]
    if retry_after_s is not None:
        headers.append((b"retry-after", str(retry_after_s).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


def is_complete(response: list[Message]) -> bool:
    """Whether these messages form a complete response."""
    return len(response) > 1 and not response[-1].get("more_body", False)
