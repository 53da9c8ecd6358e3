"""Client of the control socket, for the command line and the laboratory, which run outside the server's process.

It is blocking and uses no reactor. Each call opens its own connection.
"""

from __future__ import annotations

import socket
from typing import Any

import ujson

from decklb.management import control_protocol as protocol

TIMEOUT_S = 10.0  # for connecting and for each read; a command is answered only after the members have agreed
READ_BYTES = 65536  # maximum size of one read


class ControlError(Exception):
    """The process can't be reached through its control socket, or it has rejected the request."""


def query(path: str, name: str, **arguments: Any) -> Any:
    """Send a query or command to the process that listens on the Unix socket `path` and return its result.

    Raises:
        ControlError: No process listens there, the response was incomplete, or the process has rejected the request.
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
        raise ControlError(f"{path}: the response is not valid JSON") from error
    if not response.get(protocol.OK_KEY):
        raise ControlError(f"{path}: {response.get(protocol.ERROR_KEY, 'rejected without a reason')}")
    return response[protocol.RESULT_KEY]


def _read_line(connection: socket.socket) -> bytes:
    line = b""
    while not line.endswith(b"\n"):
        chunk = connection.recv(READ_BYTES)
        if not chunk:
            break
        line += chunk
    return line
