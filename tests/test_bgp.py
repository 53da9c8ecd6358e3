"""The BGP speaker against a stand-in peer on a real socket, in the program and by itself."""

from __future__ import annotations

import socket
import unittest

from twisted.internet.task import Clock

from decklb.bgp import messages as bgp
from decklb.bgp.messages import MessageType
from decklb.bgp.settings import BgpSettings, PeerSettings
from decklb.bgp.speaker import Speaker
from decklb.wire.clock import ReactorClock
from tests.standins import DEADLINE, Program, known, wait_for

SECTION = {"asn": 64512, "router": "127.0.0.1", "prefixes": ["10.9.8.7/32"], "hold": 9}


class PeerStandin:
    """Accepts one connection and speaks BGP as a test says."""

    def __init__(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(DEADLINE)
        self.port = self.server.getsockname()[1]

    def accept(self):
        self.socket, _ = self.server.accept()
        self.socket.settimeout(DEADLINE)
        self.reader, self.found = bgp.MessageReader(), []

    def next(self, *but):
        """The next message that is not of these types."""
        while True:
            while not self.found:
                data = self.socket.recv(4096)
                if not data:
                    return None
                self.found += self.reader.feed(data)
            kind, body = self.found.pop(0)
            if kind not in but:
                return kind, body

    def establish(self, asn=64513, hold=30):
        self.accept()
        kind, body = self.next()
        said = bgp.read_open(body)
        self.socket.sendall(bgp.pack_open(asn, hold, "127.0.0.2") + bgp.pack(MessageType.KEEPALIVE))
        return kind, said


class InProgram(unittest.TestCase):
    def setUp(self):
        self.peer = PeerStandin()
        self.addCleanup(self.peer.server.close)
        self.free = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.free.close)

    def program(self, *ports):
        section = SECTION | {"peers": [{"address": f"127.0.0.1:{self.peer.port}", "asn": 64513}]}
        program = Program({"known": known(*ports), "bgp": section})
        self.addCleanup(program.stop)
        return program

    def test_announced_while_ready_and_withdrawn_on_drain(self):
        program = self.program(self.free.getsockname()[1])
        kind, said = self.peer.establish()
        self.assertEqual((kind, said.asn, said.hold_time_s), (MessageType.OPEN, 64512, 9))
        _, update = self.peer.next(MessageType.KEEPALIVE)
        self.assertTrue(update.endswith(bgp.pack_prefix("10.9.8.7/32")))
        program.process.terminate()
        self.assertEqual(
            self.peer.next(MessageType.KEEPALIVE), (MessageType.UPDATE, bgp.pack_withdrawal(["10.9.8.7/32"])[19:])
        )
        self.assertEqual(self.peer.next(MessageType.KEEPALIVE), (MessageType.NOTIFICATION, b"\6\2"))
        self.assertEqual(program.process.wait(DEADLINE), 0)

    def test_not_announced_while_not_ready(self):
        program = self.program()
        self.peer.establish()
        wait_for(lambda: program.logged("established"), "established")
        program.process.terminate()
        self.assertEqual(self.peer.next(MessageType.KEEPALIVE), (MessageType.NOTIFICATION, b"\6\2"))

    def test_a_wrong_as_is_told_and_the_connection_ended(self):
        program = self.program(self.free.getsockname()[1])
        self.peer.establish(asn=65000)
        self.assertEqual(self.peer.next(MessageType.KEEPALIVE), (MessageType.NOTIFICATION, b"\2\2"))
        self.assertIsNone(self.peer.next())
        wait_for(lambda: program.logged("bgp connection ended: 2/2"), "the log line")


class Transport:
    def __init__(self):
        self.data, self.closed = b"", False

    def write(self, data):
        self.data += data

    def loseConnection(self):
        self.closed = True


class Timers(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        settings = BgpSettings(64512, "127.0.0.1", "127.0.0.1", ["10.9.8.7/32"], 90, [PeerSettings(("", 1), 64513)])
        speaker = Speaker(None, ReactorClock(self.clock), settings)
        self.connection = speaker.peers[0].new_connection()
        self.connection.transport = Transport()
        self.connection.connectionMade()

    def said(self):
        data, self.connection.transport.data = self.connection.transport.data, b""
        return bgp.MessageReader().feed(data)

    def test_hold_timer_is_the_lesser_and_its_end_is_told(self):
        self.connection.dataReceived(bgp.pack_open(64513, 30, "127.0.0.2") + bgp.pack(MessageType.KEEPALIVE))
        self.said()
        for _ in range(5):  # heard in time: nothing but keepalives, each third of it
            self.clock.advance(10)
            self.connection.dataReceived(bgp.pack(MessageType.KEEPALIVE))
            self.assertEqual(self.said(), [(MessageType.KEEPALIVE, b"")])
        for _ in range(3):
            self.clock.advance(10)
        self.assertEqual(self.said()[-1], (MessageType.NOTIFICATION, b"\4\0"))
        self.assertTrue(self.connection.transport.closed)

    def test_messages_out_of_turn(self):
        self.connection.dataReceived(bgp.pack(MessageType.KEEPALIVE))
        self.assertEqual(self.said()[-1], (MessageType.NOTIFICATION, b"\5\0"))


if __name__ == "__main__":
    unittest.main()
