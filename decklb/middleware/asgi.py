"""The ASGI interface as it is used here: its types, and reading requests and sending responses.

Source: ASGI specification, "HTTP & WebSocket ASGI Message Format". Knows nothing of the dispatcher.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

Message = MutableMapping[str, Any]
Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """The request's body; if it is over the bound, only as much as was read then. None if the client has left."""
    body = b""
    while len(body) <= max_bytes:
        message = await receive()
        if message["type"] == "http.disconnect":
            return None
        body += message.get("body", b"")
        if not message.get("more_body", False):
            break
    return body


async def wait_for_disconnect(receive: Receive) -> None:
    """Return once the client has left."""
    while (await receive())["type"] != "http.disconnect":
        pass


async def send_empty_response(send: Send, status: int, retry_after_s: int | None = None) -> None:
    """A response without a body, with Retry-After where that is given."""
    headers = [(b"content-length", b"0")]
    if retry_after_s is not None:
        headers.append((b"retry-after", str(retry_after_s).encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


def is_complete(response: list[Message]) -> bool:
    """Whether these messages are a response from its start to its last part."""
    return len(response) > 1 and not response[-1].get("more_body", False)
