"""What comes in the moment in which a client's connection closes."""

from __future__ import annotations

import errno
import socket
import unittest

from test_dispatcher import SETTINGS, TestClock
from twisted.internet.testing import StringTransport

from decklb.core.dispatcher import Dispatcher
from decklb.net import frames
from decklb.net.client_connection import ClientConnection
from decklb.net.listener import FrameListener
from decklb.settings import parse_settings
from decklb.wire.client_timeouts import LINGERING_CLOSE_TIMEOUT_MS
from tests.frame_standins import request


class ClientTransport(StringTransport):
    """A client's side is a real socket pair; what is written leaves when the test says so."""

    def __init__(self):
        super().__init__()
        self.ours, self.theirs = socket.socketpair()
        self.ours.setblocking(False)
        self.theirs.settimeout(20)
        self.aborted = self.closed = False

    def getHandle(self):
        return self.ours

    def setTcpNoDelay(self, on):
        pass

    def flush(self):
        self.clear()
        self.producer.resumeProducing()

    def loseConnection(self):
        self.closed = True

    def abortConnection(self):
        self.aborted = True

    def half_closed(self):
        self.theirs.setblocking(False)
        try:
            return self.theirs.recv(1) == b""
        except BlockingIOError:
            return False


class ClientConnectionClose(unittest.TestCase):
    """What comes in the moment in which a connection closes."""

    def setUp(self):
        self.clock = TestClock()
        self.taken = []
        core = Dispatcher(parse_settings(SETTINGS), 1, self.clock, self)
        self.front = FrameListener(core, lambda: True, 1, 4, 1 << 20)

    def start(self, attempt):
        self.taken.append(attempt)

    def abandon(self, attempt, freed):
        freed()

    def connect(self):
        client, transport = ClientConnection(self.front), ClientTransport()
        client.makeConnection(transport)
        self.addCleanup(transport.ours.close)
        self.addCleanup(transport.theirs.close)
        return client, transport

    def idle(self):
        client, transport = self.connect()
        client.dataReceived(frames.pack(frames.READINESS_QUERY, 1, b"\0"))
        transport.flush()
        return client, transport

    def test_an_idle_connection_is_evicted_at_once_with_nothing_read_in_between(self):
        client, transport = self.idle()
        self.idle()  # another has spoken, and there is one place
        self.assertTrue(client.closing and transport.half_closed())
        client.dataReceived(request(1, b"rows 1"))  # it crossed: its client sends it once more elsewhere
        self.assertEqual((self.taken, client.requests), ([], {}))

    def test_a_connection_with_unread_bytes_is_not_evicted(self):
        client, transport = self.idle()
        transport.theirs.sendall(request(1, b"rows 1"))
        self.idle()  # another has spoken, and there is one place
        self.assertFalse(client.closing or transport.half_closed())

    def test_a_connection_whose_unread_bytes_are_unknown_is_not_evicted(self):
        client, transport = self.idle()

        class Short:
            def recv(self, size, flags):
                raise OSError(errno.ENOMEM, "no memory")

        transport.getHandle = Short
        self.idle()  # another has spoken, and there is one place
        self.assertFalse(client.closing or transport.half_closed())

    def test_the_last_answer_is_sent_before_the_connection_closes(self):
        client, transport = self.idle()
        self.front.drain()
        client.dataReceived(request(1, b"rows 1"))
        self.assertIn(b"backoff", transport.value())
        self.assertFalse(transport.half_closed())
        transport.flush()
        self.assertTrue(transport.half_closed())

    def test_requests_that_come_before_the_close_are_answered(self):
        client, transport = self.idle()
        transport.theirs.sendall(b"x")  # something lies unread
        self.front.drain()
        transport.flush()
        self.assertFalse(client.closing)
        transport.ours.recv(1)
        whole = request(1, b"rows 1")
        client.dataReceived(whole[:-1])  # in the middle of a message
        transport.flush()
        self.assertTrue(self.front.has_pending_clients and not client.closing)
        client.dataReceived(whole[-1:])
        transport.flush()
        self.assertTrue(client.closing and not self.front.has_pending_clients)

    def test_a_lingering_close_ends_without_a_reset_where_the_client_does_not_close(self):
        client, transport = self.idle()
        self.front.drain()
        transport.flush()
        self.clock.go(LINGERING_CLOSE_TIMEOUT_MS + 200)
        self.assertEqual((transport.closed, transport.aborted), (True, False))

    def test_a_client_that_reads_nothing_after_an_error_is_aborted(self):
        client, transport = self.idle()
        client.dataReceived(b"\xff" * 9)
        self.clock.go(LINGERING_CLOSE_TIMEOUT_MS + 200)
        self.assertTrue(transport.aborted)
