"""A TCP proxy on loopback that injects a fault into a connection at a chosen byte of the server's answers.

`ConnectionProxy` forwards connections to one server. It is owned by a fault run, which arms one fault at a time.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from dataclasses import dataclass
from enum import Enum

DELAY_S = 0.05  # by which `Action.DELAY` delays the bytes after it
CHUNK_BYTES = 65536
LINGER_NONE = struct.pack("ii", 1, 0)  # value of SO_LINGER with which closing a connection resets it


class Action(Enum):
    """What the proxy does to a connection after the chosen number of bytes."""

    RESET = "reset"  # both connections are reset
    CLOSE = "close"  # both connections are closed in an orderly way
    HALF_CLOSE = "half-close"  # the server's direction is closed, the other continues
    SILENCE = "silence"  # nothing more passes in either direction, but both connections stay open
    DELAY = "delay"  # the bytes that follow are delayed
    SPLIT = "split"  # the bytes that follow are sent one at a time


@dataclass(frozen=True, slots=True)
class ConnectionFault:
    """One action at one byte of the server's answers.

    Attributes:
        after_bytes: Number of answer bytes, over all connections, that are forwarded before the action.
        action: What happens then.
    """

    after_bytes: int
    action: Action


class ConnectionProxy:
    """Proxy of one server. A fault armed with `arm` is injected into the connection that carries the chosen byte.

    Attributes:
        server_port: Port of the server.
        listen_port: Port of the proxy; 0 before the start.
        injected_at_s: Time on the monotonic clock at which the armed fault was injected; None before.
    """

    def __init__(self, server_port: int) -> None:
        self.server_port, self.listen_port = server_port, 0
        self.injected_at_s: float | None = None
        self._fault: ConnectionFault | None = None
        self._forwarded_bytes = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._silenced: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port, which is then `listen_port`."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.listen_port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the proxy and all its connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    def arm(self, fault: ConnectionFault | None) -> None:
        """Inject a fault once, counting from the server's next byte on; None disarms the proxy."""
        self._fault, self._forwarded_bytes, self.injected_at_s = fault, 0, None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.server_port)
        except OSError:
            return writer.close()
        writers = {writer, server_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._forward(reader, server_writer, writer, False),
                self._forward(server_reader, writer, server_writer, True),
            )
        finally:
            self._writers -= writers
            for each_writer in writers:
                each_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        opposite_writer: asyncio.StreamWriter,
        is_from_server: bool,
    ) -> None:
        """Forward one direction of a connection until its end.

        Args:
            reader: Source of the bytes.
            writer: Destination of the bytes.
            opposite_writer: Destination of the opposite direction.
            is_from_server: Whether the bytes are the server's answers, into which faults are injected.
        """
        split = False
        try:
            while data := await reader.read(CHUNK_BYTES):
                if is_from_server and (fault := self._fault_due(len(data))) is not None:
                    size_before = fault.after_bytes - (self._forwarded_bytes - len(data))
                    writer.write(data[:size_before])
                    if not await self._perform(fault.action, writer, opposite_writer):
                        return
                    split = fault.action is Action.SPLIT
                    data = data[size_before:]
                if writer in self._silenced or opposite_writer in self._silenced:
                    continue
                await self._write(writer, data, split)
            writer.write_eof()
        except (OSError, RuntimeError):
            pass
        finally:
            if writer not in self._silenced and opposite_writer not in self._silenced and not is_from_server:
                writer.close()

    def _fault_due(self, size: int) -> ConnectionFault | None:
        """Count answer bytes, and return the armed fault if its byte is among them."""
        fault = self._fault
        if fault is None:
            return None
        self._forwarded_bytes += size
        if self._forwarded_bytes < fault.after_bytes:
            return None
        self._fault, self.injected_at_s = None, time.monotonic()
        return fault

    async def _perform(
        self, action: Action, writer: asyncio.StreamWriter, opposite_writer: asyncio.StreamWriter
    ) -> bool:
        """Perform an action and return whether this direction is still read."""
        match action:
            case Action.RESET:
                _reset(writer)
                _reset(opposite_writer)
                return False
            case Action.CLOSE:
                writer.close()
                opposite_writer.close()
                return False
            case Action.HALF_CLOSE:
                writer.write_eof()
                return False
            case Action.SILENCE:
                self._silenced |= {writer, opposite_writer}
            case Action.DELAY:
                await asyncio.sleep(DELAY_S)
            case Action.SPLIT:
                pass
        return True

    async def _write(self, writer: asyncio.StreamWriter, data: bytes, split: bool) -> None:
        if not split:
            writer.write(data)
        for i in range(len(data)) if split else ():
            writer.write(data[i : i + 1])
            await asyncio.sleep(0)
        await writer.drain()


def _reset(writer: asyncio.StreamWriter) -> None:
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
    writer.transport.abort()
