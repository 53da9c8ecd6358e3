"""A TCP proxy that strikes a connection at a chosen byte of what one side says."""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass
from enum import Enum

DELAY = 0.05  # seconds that a delayed byte is late


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
    """One action at one byte of the next connection's, or the present ones', answers."""

    at: int  # bytes that still pass in that direction
    action: Action


class Proxy:
    """Stands before one server. A strike set with `arm` hits the first connection that gets so far."""

    def __init__(self, port: int) -> None:
        """`port`: of the server, on loopback."""
        self.port, self.listens = port, 0
        self.struck: float | None = None  # when, on the monotonic clock in seconds
        self._strike: Strike | None = None
        self._passed = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a port of its own."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.listens = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def arm(self, strike: Strike | None) -> None:
        """Strike once, counted from the server's next byte on; None: not any more."""
        self._strike, self._passed, self.struck = strike, 0, None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return writer.close()
        both = {writer, up_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                self._pump(reader, up_writer, writer, False), self._pump(up_reader, writer, up_writer, True)
            )
        finally:
            self._writers -= both
            for one in both:
                one.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, other: asyncio.StreamWriter, answers: bool
    ) -> None:
        split = False
        try:
            while data := await reader.read(65536):
                if answers and (strike := self._due(len(data))) is not None:
                    rest = strike.at - (self._passed - len(data))
                    writer.write(data[:rest])
                    if not await self._act(strike.action, writer, other):
                        return
                    split = strike.action is Action.SPLIT
                    data = data[rest:]
                if writer in self._silent or other in self._silent:
                    continue
                await self._pass_on(writer, data, split)
            writer.write_eof()
        except (OSError, RuntimeError):
            pass
        finally:
            if writer not in self._silent and other not in self._silent and not answers:
                writer.close()

    def _due(self, size: int) -> Strike | None:
        strike = self._strike
        if strike is None:
            return None
        self._passed += size
        if self._passed < strike.at:
            return None
        self._strike, self.struck = None, time.monotonic()
        return strike

    async def _act(self, action: Action, writer: asyncio.StreamWriter, other: asyncio.StreamWriter) -> bool:
        """Whether the direction goes on."""
        if action is Action.RESET:
            _reset(writer)
            _reset(other)
        elif action is Action.CLOSE:
            writer.close()
            other.close()
        elif action is Action.HALF_CLOSE:
            writer.write_eof()
        elif action is Action.SILENCE:
            self._silent |= {writer, other}
        else:
            if action is Action.DELAY:
                await asyncio.sleep(DELAY)
            return True
        return action is Action.SILENCE

    async def _pass_on(self, writer: asyncio.StreamWriter, data: bytes, split: bool) -> None:
        if not split:
            writer.write(data)
        for at in range(len(data)) if split else ():
            writer.write(data[at : at + 1])
            await asyncio.sleep(0)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
