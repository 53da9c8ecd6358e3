"""The format of the control socket: one JSON object a line, a request and its response.

A request is `{"decklb":1,"ask":"members"}`, with further keys for commands that take arguments. The response has
`decklb` (the version), `ok`, and `answer` or `error`. Used by the server and the client; keeps no state.
"""

from __future__ import annotations

from typing import Any

import ujson

VERSION = 1  # of the format; a request of another version is rejected
VERSION_KEY = "decklb"
NAME_KEY = "ask"  # of a request: the query or command
OK_KEY = "ok"
RESULT_KEY = "answer"
ERROR_KEY = "error"


def encode_request(name: str, arguments: dict[str, Any]) -> bytes:
    """The line that sends a query or command."""
    return encode_line({VERSION_KEY: VERSION, NAME_KEY: name} | arguments)


def encode_line(message: dict[str, Any]) -> bytes:
    """A request or response as its line."""
    return ujson.dumps(message).encode() + b"\n"


def success(result: Any) -> dict[str, Any]:
    """The response to a request that was carried out."""
    return {VERSION_KEY: VERSION, OK_KEY: True, RESULT_KEY: result}


def failure(error: str) -> dict[str, Any]:
    """The response to a request that was rejected or failed; `error` says why."""
    return {VERSION_KEY: VERSION, OK_KEY: False, ERROR_KEY: error}
