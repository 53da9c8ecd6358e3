"""Input that arrives at the moment at which a client connection is closed."""

from __future__ import annotations

import errno
import socket
import unittest

from test_dispatcher import SETTINGS, TestClock
from twisted.internet.testing import StringTransport

from decklb.core.dispatcher import Dispatcher
from decklb.core.memory_account import MemoryAccount
from decklb.net import frames
from decklb.net.client_connection import ClientConnection
from decklb.net.listener import FrameListener
from decklb.settings import parse_settings
from decklb.wire.client_timeouts import LINGERING_CLOSE_TIMEOUT_MS
from tests.frame_standins import request


class ClientTransport(StringTransport):
    """A client connection's transport on a socket pair; written bytes count as sent when the test calls `flush`."""

    def __init__(self):
        super().__init__()
        self.server_side, self.client_side = socket.socketpair()
        self.server_side.setblocking(False)
        self.client_side.settimeout(20)
        self.aborted = self.closed = False

    def getHandle(self):
        return self.server_side

    def setTcpNoDelay(self, enabled):
        pass

    def flush(self):
        self.clear()
        self.producer.resumeProducing()

    def loseConnection(self):
        self.closed = True

    def abortConnection(self):
        self.aborted = True

    def half_closed(self):
        self.client_side.setblocking(False)
        try:
            return self.client_side.recv(1) == b""
        except BlockingIOError:
            return False


class ClientConnectionClose(unittest.TestCase):
    """Requests are neither lost nor left without an answer when their connection is closed."""

    def setUp(self):
        self.clock = TestClock()
        self.attempts = []
        dispatcher = Dispatcher(parse_settings(SETTINGS), 1, self.clock, self)
        self.listener = FrameListener(dispatcher, lambda: True, 1, 4, MemoryAccount(1 << 20))

    def start(self, attempt):
        self.attempts.append(attempt)

    def abandon(self, attempt, on_released):
        on_released()

    def connect_client(self):
        client, transport = ClientConnection(self.listener), ClientTransport()
        client.makeConnection(transport)
        self.addCleanup(transport.server_side.close)
        self.addCleanup(transport.client_side.close)
        return client, transport

    def connect_idle_client(self):
        client, transport = self.connect_client()
        client.dataReceived(frames.pack(frames.READINESS_QUERY, 1, b"\0"))
        transport.flush()
        return client, transport

    def test_an_idle_connection_is_evicted_at_once_with_nothing_read_in_between(self):
        client, transport = self.connect_idle_client()
        self.connect_idle_client()  # another client has sent a message, and only one may stay
        self.assertTrue(client.closing and transport.half_closed())
        client.dataReceived(request(1, b"rows 1"))  # sent before the client saw the close: it retries elsewhere
        self.assertEqual((self.attempts, client.requests), ([], {}))

    def test_a_connection_with_unread_bytes_is_not_evicted(self):
        client, transport = self.connect_idle_client()
        transport.client_side.sendall(request(1, b"rows 1"))
        self.connect_idle_client()  # another client has sent a message, and only one may stay
        self.assertFalse(client.closing or transport.half_closed())

    def test_a_connection_whose_unread_bytes_are_unknown_is_not_evicted(self):
        client, transport = self.connect_idle_client()

        class SocketOutOfMemory:
            def recv(self, size, flags):
                raise OSError(errno.ENOMEM, "no memory")

        transport.getHandle = SocketOutOfMemory
        self.connect_idle_client()  # another client has sent a message, and only one may stay
        self.assertFalse(client.closing or transport.half_closed())

    def test_the_last_answer_is_sent_before_the_connection_closes(self):
        client, transport = self.connect_idle_client()
        self.listener.drain()
        client.dataReceived(request(1, b"rows 1"))
        self.assertIn(b"backoff", transport.value())
        self.assertFalse(transport.half_closed())
        transport.flush()
        self.assertTrue(transport.half_closed())

    def test_requests_that_come_before_the_close_are_answered(self):
        client, transport = self.connect_idle_client()
        transport.client_side.sendall(b"x")  # unread input
        self.listener.drain()
        transport.flush()
        self.assertFalse(client.closing)
        transport.server_side.recv(1)
        message = request(1, b"rows 1")
        client.dataReceived(message[:-1])  # a partial message
        transport.flush()
        self.assertTrue(self.listener.has_pending_clients and not client.closing)
        client.dataReceived(message[-1:])
        transport.flush()
        self.assertTrue(client.closing and not self.listener.has_pending_clients)

    def test_a_lingering_close_ends_without_a_reset_if_the_client_does_not_close(self):
        client, transport = self.connect_idle_client()
        self.listener.drain()
        transport.flush()
        self.clock.advance(LINGERING_CLOSE_TIMEOUT_MS + 200)
        self.assertEqual((transport.closed, transport.aborted), (True, False))

    def test_a_client_that_reads_nothing_after_an_error_is_aborted(self):
        client, transport = self.connect_idle_client()
        client.dataReceived(b"\xff" * 9)
        self.clock.advance(LINGERING_CLOSE_TIMEOUT_MS + 200)
        self.assertTrue(transport.aborted)
