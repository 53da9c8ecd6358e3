"""A TCP proxy on loopback that strikes a connection at a chosen byte of what the server says.

`ConnectionProxy` stands before one server and is owned by a fault run, which arms one strike at a time.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass
from enum import Enum

DELAY_S = 0.05  # by which bytes after an `Action.DELAY` are late
CHUNK_BYTES = 65536
LINGER_NONE = struct.pack("ii", 1, 0)  # SO_LINGER that makes closing a connection reset it


class Action(Enum):
    """What happens once so many bytes have passed."""

    RESET = "reset"  # both connections are reset
    CLOSE = "close"  # both are closed in order
    HALF_CLOSE = "half-close"  # the direction of the bytes ends, the other goes on
    SILENCE = "silence"  # nothing more passes, in either direction, and nothing says so
    DELAY = "delay"  # what follows comes late
    SPLIT = "split"  # what follows comes a byte at a time


@dataclass(frozen=True, slots=True)
class Strike:
    """One action at one byte of the server's answers.

    Attributes:
        at: Bytes that still pass in that direction, over all connections.
        action: What happens then.
    """

    at: int
    action: Action


class ConnectionProxy:
    """Stands before one server. A strike set with `arm` hits the first connection that gets so far.

    Attributes:
        server_port: Of the server.
        listen_port: Its own, once started.
        struck_at_s: When the armed strike hit, on the monotonic clock; None before.
    """

    def __init__(self, server_port: int) -> None:
        self.server_port, self.listen_port = server_port, 0
        self.struck_at_s: float | None = None
        self._strike: Strike | None = None
        self._passed_bytes = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port of its own."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.listen_port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def arm(self, strike: Strike | None) -> None:
        """Strike once, counted from the server's next byte on; with None, strike no more."""
        self._strike, self._passed_bytes, self.struck_at_s = strike, 0, None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.server_port)
        except OSError:
            return writer.close()
        both = {writer, server_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._carry(reader, server_writer, writer, False),
                self._carry(server_reader, writer, server_writer, True),
            )
        finally:
            self._writers -= both
            for end in both:
                end.close()

    async def _carry(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, other: asyncio.StreamWriter, answers: bool
    ) -> None:
        """Carry one direction; `other` writes the opposite one, `answers` says whether it is the server's."""
        split = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                if answers and (strike := self._strike_due(len(data))) is not None:
                    before = strike.at - (self._passed_bytes - len(data))
                    writer.write(data[:before])
                    if not await self._act(strike.action, writer, other):
                        return
                    split = strike.action is Action.SPLIT
                    data = data[before:]
                if writer in self._silent or other in self._silent:
                    continue
                await self._pass_on(writer, data, split)
            writer.write_eof()
        except (OSError, RuntimeError):
            pass
        finally:
            if writer not in self._silent and other not in self._silent and not answers:
                writer.close()

    def _strike_due(self, size: int) -> Strike | None:
        """Count bytes that passed, and return the strike that falls within them."""
        strike = self._strike
        if strike is None:
            return None
        self._passed_bytes += size
        if self._passed_bytes < strike.at:
            return None
        self._strike, self.struck_at_s = None, time.monotonic()
        return strike

    async def _act(self, action: Action, writer: asyncio.StreamWriter, other: asyncio.StreamWriter) -> bool:
        """Carry an action out; return whether the direction goes on."""
        match action:
            case Action.RESET:
                _reset(writer)
                _reset(other)
                return False
            case Action.CLOSE:
                writer.close()
                other.close()
                return False
            case Action.HALF_CLOSE:
                writer.write_eof()
                return False
            case Action.SILENCE:
                self._silent |= {writer, other}
            case Action.DELAY:
                await asyncio.sleep(DELAY_S)
            case Action.SPLIT:
                pass
        return True

    async def _pass_on(self, writer: asyncio.StreamWriter, data: bytes, split: bool) -> None:
        if not split:
            writer.write(data)
        for at in range(len(data)) if split else ():
            writer.write(data[at : at + 1])
            await asyncio.sleep(0)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    writer.transport.abort()
