"""The client of the control socket, for commands and the laboratory, which run in other processes than the server.

Blocking, without a reactor; each call opens a connection of its own and keeps no state.
"""

from __future__ import annotations

import socket
from typing import Any

import ujson

from decklb.management import control_protocol as protocol

TIMEOUT_S = 10.0  # for connecting and for each read; a command may wait until the members have agreed
READ_BYTES = 65536  # at most in one read


class ControlError(Exception):
    """A running process can't be reached over its control socket, or has rejected the request."""


def query(path: str, name: str, **arguments: Any) -> Any:
    """Send a query or command to the process that listens at a Unix socket and return its result.

    Raises:
        ControlError: Nobody listens there, no whole response came, or the process has rejected the request.
    """
    try:
        with socket.socket(socket.AF_UNIX) as connection:
            connection.settimeout(TIMEOUT_S)
            connection.connect(path)
            connection.sendall(protocol.encode_request(name, arguments))
            line = _read_line(connection)
    except OSError as error:
        raise ControlError(f"{path}: {error}") from error
    try:
        response = ujson.loads(line)
    except ValueError as error:
        raise ControlError(f"{path}: the answer is not JSON") from error
    if not response.get(protocol.OK_KEY):
        raise ControlError(f"{path}: {response.get(protocol.ERROR_KEY, 'no answer')}")
    return response[protocol.RESULT_KEY]


def _read_line(connection: socket.socket) -> bytes:
    line = b""
    while not line.endswith(b"\n"):
        part = connection.recv(READ_BYTES)
        if not part:
            break
        line += part
    return line
