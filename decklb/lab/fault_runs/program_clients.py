"""Clients of one serving process in the fault runs, with one request at a time on a connection.

`PlatformConnection` uses the platform's frames, `PgConnection` PostgreSQL's protocol 3.0 with simple queries. Each
owns its socket. `program_process.ProgramProcess.connect` opens them.
"""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Awaitable
from enum import StrEnum

from decklb.net import frames
from decklb.pg import messages as pg

REQUEST_BUDGET_S = 3.0  # budget of a request; also the timeout of connecting and of the handshake
RESPONSE_GRACE_S = 1.0  # after the budget, in which the program may still report that it is exhausted
TABLE_GROUPS = 50  # schemas; each platform request reads one, and the program prefers engines by schema
FRAME_HEADER = struct.Struct(">IBI")  # size, frame type, stream
HEADER_BYTES_IN_SIZE = 5  # a frame's size includes its type and stream, but not the size field itself


class RequestOutcome(StrEnum):
    """Outcome of a request. The values are those of the reports."""

    SERVED = "served"
    REJECTED = "refused"  # by admission control
    FAILED = "failed"
    CONNECTION_ENDED = "ended"  # the connection ended without a response
    NO_RESPONSE = "silent"  # no response within the budget and the grace period
    NOT_CONNECTED = "not connected"  # the request was never sent


class ClientConnection:
    """A client's connection, which carries one request at a time.

    Attributes:
        is_closed: Whether the connection is unusable: closed by the client, ended by the program, or left without a
            response.
        request_class: Class of its requests, `read` or `load`.
        key: Ordering key of its requests, empty for none.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request_class: str, key: str
    ) -> None:
        self._reader, self._writer = reader, writer
        self.is_closed = False
        self.request_class, self.key = request_class, key

    def close(self) -> None:
        """Close the socket."""
        self.is_closed = True
        self._writer.close()

    async def handshake(self) -> None:
        """Perform the protocol's handshake before the first request; nothing by default.

        Raises:
            OSError: The connection was lost.
            EOFError: The program closed it.
        """

    async def request(self, name: str) -> RequestOutcome:
        """Send a request and wait for its response.

        Args:
            name: Hexadecimal number that identifies the request.
        """
        try:
            return await asyncio.wait_for(self._exchange(name), REQUEST_BUDGET_S + RESPONSE_GRACE_S)
        except TimeoutError:
            self.is_closed = True
            return RequestOutcome.NO_RESPONSE
        except (OSError, EOFError):
            self.is_closed = True
            return RequestOutcome.CONNECTION_ENDED

    def _exchange(self, name: str) -> Awaitable[RequestOutcome]:
        """Send a request and read its response."""
        raise NotImplementedError


class PlatformConnection(ClientConnection):
    """A connection with the platform's frames; each request has its own stream."""

    _stream = 0

    async def _exchange(self, name: str) -> RequestOutcome:
        self._stream += 1
        statement = b"select 1 from schema_%d.t" % (int(name, 16) % TABLE_GROUPS)
        fields = {
            "method": self.request_class,
            "rid": name,
            "budget": str(int(REQUEST_BUDGET_S * 1000)),
            "acct": "t",
        }
        if self.key:
            fields["obj"] = self.key
        self._writer.write(frames.pack(frames.REQUEST, self._stream, frames.pack_fields(fields) + statement))
        while True:
            size, frame_type, stream = FRAME_HEADER.unpack(await self._reader.readexactly(FRAME_HEADER.size))
            payload = await self._reader.readexactly(size - HEADER_BYTES_IN_SIZE)
            if frame_type == frames.ANSWER and stream == self._stream:
                return _outcome_of_status(payload[0])


def _outcome_of_status(status: int) -> RequestOutcome:
    if status == frames.SERVED:
        return RequestOutcome.SERVED
    if status == frames.REJECTED:
        return RequestOutcome.REJECTED
    return RequestOutcome.FAILED


class PgConnection(ClientConnection):
    """A connection with PostgreSQL's protocol 3.0, simple queries only."""

    async def handshake(self) -> None:
        """Send the startup message and wait until the session is ready."""
        options = f"-c decklb.class={self.request_class}" + (f" -c decklb.key={self.key}" if self.key else "")
        self._writer.write(pg.pack_startup({"user": "u", "options": options}))
        await self._read_until_ready()

    async def _exchange(self, name: str) -> RequestOutcome:
        self._writer.write(pg.pack(b"Q", f"select '{name}'".encode() + b"\0"))
        message_types = await self._read_until_ready()
        is_complete = "C" in message_types  # CommandComplete
        return RequestOutcome.SERVED if is_complete else RequestOutcome.FAILED

    async def _read_until_ready(self) -> str:
        """Read up to ReadyForQuery and return the types of all messages, one letter each."""
        message_types = ""
        while not message_types.endswith("Z"):
            message_type = await self._reader.readexactly(1)
            size = int.from_bytes(await self._reader.readexactly(4), "big")
            await self._reader.readexactly(size - 4)
            message_types += message_type.decode()
        return message_types
