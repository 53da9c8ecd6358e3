"""Format of the control socket: requests and responses, each one JSON object on a line.

A request is `{"decklb":1,"ask":"members"}`; commands with arguments have further keys. A response has the keys `decklb`
(the version), `ok`, and `answer` or `error`. Server and client share this module.
"""

from __future__ import annotations

from typing import Any

import ujson

VERSION = 1  # version of the format; requests of another version are rejected
VERSION_KEY = "decklb"
NAME_KEY = "ask"  # key of a request: name of the query or command
OK_KEY = "ok"
RESULT_KEY = "answer"
ERROR_KEY = "error"


def encode_request(name: str, arguments: dict[str, Any]) -> bytes:
    """Return the line that requests a query or command."""
    return encode_line({VERSION_KEY: VERSION, NAME_KEY: name} | arguments)


def encode_line(message: dict[str, Any]) -> bytes:
    """Return a request or response as a line."""
    return ujson.dumps(message).encode() + b"\n"


def success(result: Any) -> dict[str, Any]:
    """Return the response to a successful request."""
    return {VERSION_KEY: VERSION, OK_KEY: True, RESULT_KEY: result}


def failure(error: str) -> dict[str, Any]:
    """Return the response to a request that was rejected or failed; `error` is the reason."""
    return {VERSION_KEY: VERSION, OK_KEY: False, ERROR_KEY: error}
