"""Stand-ins for BGP tests: a peer on a real socket, and a transport that records what is written."""

from __future__ import annotations

import socket

from decklb.bgp import messages as bgp
from decklb.bgp.messages import MessageType
from tests.standins import DEADLINE


class PeerStandin:
    """A peer that accepts one connection and is controlled by the test."""

    def __init__(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.settimeout(DEADLINE)
        self.port = self.server.getsockname()[1]
        self.socket = None

    def accept(self):
        self.socket, _ = self.server.accept()
        self.socket.settimeout(DEADLINE)
        self.reader, self.received = bgp.MessageReader(), []

    def next_message(self, *ignored_types):
        """Return the next message that is not of these types; None if the connection has ended."""
        while True:
            while not self.received:
                data = self.socket.recv(4096)
                if not data:
                    return None
                self.received += self.reader.feed(data)
            message = self.received.pop(0)
            if message.type not in ignored_types:
                return message

    def establish(self, asn=64513, hold_time_s=30):
        """Open the session as the peer and return the speaker's OPEN."""
        self.accept()
        message = self.next_message()
        assert message.type is MessageType.OPEN
        self.socket.sendall(bgp.pack_open(asn, hold_time_s, "127.0.0.2") + bgp.pack(MessageType.KEEPALIVE))
        return bgp.read_open(message.body)

    def close(self):
        self.server.close()
        if self.socket is not None:
            self.socket.close()


class RecordingTransport:
    """Records written data and whether the connection was closed."""

    def __init__(self):
        self.data, self.closed = b"", False

    def write(self, data):
        self.data += data

    def loseConnection(self):
        self.closed = True

    def take_messages(self):
        """Return the messages written since the last call."""
        data, self.data = self.data, b""
        return bgp.MessageReader().feed(data)
