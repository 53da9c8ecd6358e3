"""Stand-ins of both sides of the platform's wires: an engine that speaks RESP and a client that speaks frames."""

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
    """Answers by the statement: 'rows N' in N pages, 'hang' never, 'die' by a reset, a word of the protocol by it.

    Spoilt: 'lose N' and 'mute N' without their pages, those in SPOILT with what stands there. 'more' brings too much.
    """

    SPOILT = {
        b"rubbish": b"HTTP/1.1 400\r\n\r\n",
        b"half": b"*4\r\n$16\r\n0123",
        b"huge": b"*4\r\n$3000000000\r\n",
        b"noise": b"*4\r\n$16\r\n%b\r\n$4\r\ndata\r\n$7\r\nparts=1\r\n$3\r\n\xff\x01\n\r\n",
        b"mark": b"*4\r\n$16\r\n%b\r\n$4\r\ndxta\r\n$7\r\nparts=1\r\n$0\r\n\r\n",
    }

    def __init__(self, loop):
        self.log, self.connections = [], 0
        self.server = loop.run(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.port = self.server.sockets[0].getsockname()[1]
        self.loop = loop

    def close(self):
        self.loop.loop.call_soon_threadsafe(self.server.close)

    def said(self, word):
        return [parts for parts in list(self.log) if parts[0] == word]

    async def _serve(self, reader, writer):
        self.connections += 1
        parser, statements = resp.RespReader(), {}
        while data := await reader.read(65536):
            for parts in parser.feed(data):
                self.log.append(parts)
                word, ident = parts[:2]
                if word == b"do":
                    statements[ident] = parts[3].split()
                    self._do(writer, ident, statements[ident])
                elif word == b"page" and statements[ident][0] in (b"rows", b"more"):
                    writer.write(resp.pack(ident, b"page", b"part_no=" + parts[2], b"page%b\t\t\n" % parts[2]))
                elif word == b"page" and statements[ident][0] == b"lose":
                    writer.write(resp.pack(ident, b"failed", b"-", b""))

    def _do(self, writer, ident, words):
        if words[0] in (b"rows", b"lose", b"mute", b"more"):
            whole = resp.pack(ident, b"data", b"parts=" + words[1], b"page0\t\t\n")
            writer.write(resp.pack(ident, b"news", b"detail=p,value=0.5", b""))
            if words[0] == b"more":  # under an id that nobody has given, and a second copy
                writer.write(resp.pack(b"f" * 16, b"data", b"-", b"\xff") + whole)
            writer.write(whole)
        elif words[0] in (b"full", b"failed", b"moot"):
            writer.write(resp.pack(ident, words[0], b"-", b""))
        elif words[0] == b"die":
            writer.transport.abort()
        elif words[0] in self.SPOILT:
            writer.write(self.SPOILT[words[0]].replace(b"%b", ident))


class Client:
    """A client of the platform that says exactly what a test wants it to say."""

    def __init__(self, port):
        self.socket = socket.create_connection(("127.0.0.1", port), DEADLINE)
        self.reader, self.found = frames.FrameReader(), []

    def send(self, *data):
        self.socket.sendall(b"".join(data))

    def next(self):
        while not self.found:
            data = self.socket.recv(65536)
            if not data:
                return None
            self.found += self.reader.feed(data)
        return self.found.pop(0)

    def answer(self):
        """(stream, code, fields, body) of the next answer."""
        frame = self.next()
        fields, body = frames.read_fields(frame.payload[1:])
        return frame.stream, frame.payload[0], fields, body


def request(stream, statement, **fields):
    given = {"method": "read", "rid": f"{next(_rids):016x}", "budget": "5000", "acct": "cusco"} | fields
    return frames.pack(frames.REQUEST, stream, frames.pack_fields(given) + statement)


class OneEngineTest(unittest.TestCase):
    """Programs of their own beside one engine: those that end, and those without engines."""

    def setUp(self):
        self.loop = Loop()
        self.addCleanup(self.loop.stop)
        self.engine = RespEngine(self.loop)
        self.addCleanup(self.engine.close)

    def program(self, **config):
        program = Program(config)
        self.addCleanup(program.stop)
        return program
