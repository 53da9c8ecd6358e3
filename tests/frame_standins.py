"""Stand-ins for both peers of the program: an engine that speaks RESP and a client that speaks the frame protocol."""

from __future__ import annotations

import asyncio
import itertools
import socket
import unittest

from decklb.net import frames, resp
from tests.standins import DEADLINE, Loop, Program

RID = "9b1f03aa5c7e2d41"
_rids = itertools.count()


class RespEngine:
    """An engine whose reply depends on the statement.

    'rows N' gets a result of N pages, 'hang' no reply, 'die' a reset, and 'full', 'failed' or 'moot' that reply. Faulty
    replies: 'lose N' and 'mute N' get only the first of N pages, then an error or nothing; the statements in
    INVALID_REPLIES get the bytes listed there; 'more N' gets an additional reply with an unknown id and a repeated one.
    """

    INVALID_REPLIES = {
        b"rubbish": b"HTTP/1.1 400\r\n\r\n",
        b"half": b"*4\r\n$16\r\n0123",
        b"huge": b"*4\r\n$3000000000\r\n",
        b"noise": b"*4\r\n$16\r\n%b\r\n$4\r\ndata\r\n$7\r\nparts=1\r\n$3\r\n\xff\x01\n\r\n",
        b"mark": b"*4\r\n$16\r\n%b\r\n$4\r\ndxta\r\n$7\r\nparts=1\r\n$0\r\n\r\n",
    }

    def __init__(self, loop):
        self.log, self.connections = [], 0  # received commands, number of connections
        self.server = loop.run(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.port = self.server.sockets[0].getsockname()[1]
        self.loop = loop

    def close(self):
        self.loop.loop.call_soon_threadsafe(self.server.close)

    def received(self, name):
        """Return the received commands with this name."""
        return [command for command in list(self.log) if command[0] == name]

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            await self._answer_commands(reader, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer_commands(self, reader, writer):
        parser, statements = resp.RespReader(), {}
        while data := await reader.read(65536):
            for command in parser.feed(data):
                self.log.append(command)
                name, request_id = command[:2]
                if name == b"do":
                    statements[request_id] = command[3].split()
                    self._do(writer, request_id, statements[request_id])
                elif name == b"page" and statements[request_id][0] in (b"rows", b"more"):
                    writer.write(resp.pack(request_id, b"page", b"part_no=" + command[2], b"page%b\t\t\n" % command[2]))
                elif name == b"page" and statements[request_id][0] == b"lose":
                    writer.write(resp.pack(request_id, b"failed", b"-", b""))

    def _do(self, writer, request_id, words):
        if words[0] in (b"rows", b"lose", b"mute", b"more"):
            first_page = resp.pack(request_id, b"data", b"parts=" + words[1], b"page0\t\t\n")
            writer.write(resp.pack(request_id, b"news", b"detail=p,value=0.5", b""))
            if words[0] == b"more":  # a reply with an unknown id, and a repeated one
                writer.write(resp.pack(b"f" * 16, b"data", b"-", b"\xff") + first_page)
            writer.write(first_page)
        elif words[0] in (b"full", b"failed", b"moot"):
            writer.write(resp.pack(request_id, words[0], b"-", b""))
        elif words[0] == b"die":
            writer.transport.abort()
        elif words[0] in self.INVALID_REPLIES:
            writer.write(self.INVALID_REPLIES[words[0]].replace(b"%b", request_id))


class Client:
    """A client that sends exactly the bytes that a test passes."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), DEADLINE)
        self.reader, self.unread_frames = frames.FrameReader(), []

    def send(self, *data):
        self.socket.sendall(b"".join(data))

    def next(self):
        while not self.unread_frames:
            data = self.socket.recv(65536)
            if not data:
                return None
            self.unread_frames += self.reader.feed(data)
        return self.unread_frames.pop(0)

    def answer(self):
        """Return stream, code, fields and body of the next answer."""
        frame = self.next()
        fields, body = frames.read_fields(frame.payload[1:])
        return frame.stream, frame.payload[0], fields, body


def request(stream, statement, **fields):
    all_fields = {"method": "read", "rid": f"{next(_rids):016x}", "budget": "5000", "acct": "cusco"} | fields
    return frames.pack(frames.REQUEST, stream, frames.pack_fields(all_fields) + statement)


class OneEngineTest(unittest.TestCase):
    """Base of tests that start their own program, beside one engine stand-in."""

    def setUp(self):
        self.loop = Loop()
        self.addCleanup(self.loop.stop)
        self.engine = RespEngine(self.loop)
        self.addCleanup(self.engine.close)

    def program(self, **config):
        program = Program(config)
        self.addCleanup(program.stop)
        return program
