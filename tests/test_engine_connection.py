"""Attempts on connections to RESP engines that are established, block or break when the test specifies it."""

from __future__ import annotations

import unittest
from functools import partial

from test_dispatcher import Sink, TestClock
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from decklb.core.attempts import Attempt, Request
from decklb.core.ports import IncomingRequest
from decklb.core.timers import STALL_THRESHOLD_MS
from decklb.interface import Outcome
from decklb.net import resp
from decklb.net.engine_connection import CANCEL_SETTLE_MS, WRITE_BLOCKED_LIMIT_MS
from decklb.net.engines import RespEngines
from decklb.wire.recent_answers import RETRYABLE_ANSWER_DELAY_MS


class GatedTransport(StringTransport):
    """A transport that sends when the test calls `flush`, as the kernel does when the peer's window opens."""

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        producer.resumeProducing()

    def setTcpNoDelay(self, enabled):
        pass

    def flush(self):
        commands = resp.RespReader().feed(self.value())
        self.clear()
        self.producer.resumeProducing()
        return commands


class EngineConnections(unittest.TestCase):
    """The outcome of attempts when their connection is established, blocks or breaks."""

    def setUp(self):
        self.reactor, self.clock = MemoryReactorClock(), TestClock()
        self.engines = RespEngines(self.reactor, self.clock, {"streams_per_conn": 100})
        self.engines.update_endpoints({"e1": ("127.0.0.1", 1)})
        self.ended, self.uncertain = [], []
        self.count = 0

    def attempt_ended(self, attempt, outcome, result):
        self.ended.append((attempt, outcome))

    def attempt_uncertain(self, attempt):
        self.uncertain.append(attempt)

    def attempt_progressed(self, attempt, kind, level):
        pass

    def start(self):
        self.count += 1
        request = Request(
            f"r{self.count}", IncomingRequest(f"{self.count:016x}", "read", "cusco", 5000.0, b"x"), Sink(), 5000.0
        )
        attempt = Attempt(self, request, "e1", self.clock.now(), 5000.0)
        request.attempts.append(attempt)
        self.engines.start(attempt)
        return attempt

    def connect(self, same_pass=lambda: None):
        """Establish the oldest pending connection; `same_pass` acts on input that is read in the same pass."""
        factory = self.reactor.tcpClients.pop(0)[2]
        connection, transport = factory.buildProtocol(None), GatedTransport()
        connection.makeConnection(transport)
        same_pass()
        self.clock.advance(1)
        return connection._wrappedProtocol, transport

    def abandon(self, attempt):
        attempt.abandoned = True
        self.engines.abandon(attempt, lambda: None)

    def test_a_request_cancelled_while_its_connection_is_established_is_never_sent(self):
        a, b, c = self.start(), self.start(), self.start()
        self.abandon(a)
        _, transport = self.connect(same_pass=lambda: self.abandon(b))
        self.assertEqual([p[:2] for p in transport.flush()], [[b"do", c.request.incoming.client_request_id.encode()]])

    def test_an_attempt_that_waited_too_long_for_its_connection_is_never_sent(self):
        a, b = self.start(), self.start()
        a.start_deadline_ms = 100.0
        self.clock.advance(150)
        _, transport = self.connect()
        self.assertEqual([p[1] for p in transport.flush()], [b.request.incoming.client_request_id.encode()])
        self.assertEqual(self.ended, [(a, Outcome.NEVER_SENT)])

    def test_an_attempt_that_waits_for_a_removed_engine_ends_at_once_and_its_dial_is_cancelled(self):
        a = self.start()
        self.engines.update_endpoints({"e2": ("127.0.0.1", 1)})
        self.assertEqual(self.ended, [(a, Outcome.UNREACHABLE)])
        self.assertTrue(self.reactor.connectors[0].stoppedConnecting)

    def test_no_attempt_is_sent_behind_bytes_that_the_engine_does_not_read(self):
        first = self.start()
        connection, transport = self.connect()
        self.clock.advance(WRITE_BLOCKED_LIMIT_MS + 1)
        cancelled, waiting = self.start(), self.start()
        self.abandon(cancelled)
        self.assertEqual([p[1] for p in transport.flush()], [first.request.incoming.client_request_id.encode()])
        self.assertEqual(
            [p[:2] for p in transport.flush()], [[b"do", waiting.request.incoming.client_request_id.encode()]]
        )

    def test_what_was_not_sent_to_an_engine_is_not_sent_to_the_one_that_took_its_address(self):
        for connected_before_the_list in (True, False):
            with self.subTest(connected_before_the_list=connected_before_the_list):
                self.setUp()
                sent = self.start()
                if connected_before_the_list:
                    connection, transport = self.connect()
                    self.clock.advance(WRITE_BLOCKED_LIMIT_MS + 1)
                    waiting = self.start()
                else:
                    waiting = sent
                self.engines.update_endpoints({"e2": ("127.0.0.1", 1)})
                self.clock.advance(1)
                self.assertEqual([attempt for attempt, _ in self.ended], [waiting])
                self.assertNotIn(self.ended[0][1], (Outcome.SUCCESS, Outcome.CONNECTION_RESET))
                if connected_before_the_list:
                    self.assertEqual(
                        [p[1] for p in transport.flush()], [sent.request.incoming.client_request_id.encode()]
                    )
                    self.assertEqual(transport.flush(), [])

    def test_a_reset_ends_attempts_that_were_not_sent_as_unreachable(self):
        sent = self.start()
        connection, _ = self.connect()
        self.clock.advance(WRITE_BLOCKED_LIMIT_MS + 1)
        waiting = self.start()
        connection.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(self.ended, [(sent, Outcome.CONNECTION_RESET), (waiting, Outcome.UNREACHABLE)])

    def test_an_attempt_on_a_connection_that_we_abort_ends_once_its_engine_has_noticed(self):
        """Another attempt of its request at another engine could overtake our reset."""
        sent = self.start()
        connection, _ = self.connect()
        connection.dataReceived(b"rubbish\r\n")
        self.clock.advance(CANCEL_SETTLE_MS - 2)
        self.assertEqual(self.ended, [])
        self.clock.advance(3)
        self.assertEqual(self.ended, [(sent, Outcome.CONNECTION_RESET)])

    def test_a_reset_before_during_and_after_a_request(self):
        a = self.start()
        self.reactor.tcpClients[0][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        b = self.start()
        self.reactor.tcpClients.pop(0)
        self.connect()[0].connectionLost(Failure(ConnectionLost()))
        c = self.start()
        connection, _ = self.connect()
        connection.dataReceived(resp.pack(c.request.incoming.client_request_id.encode(), b"data", b"-", b"a\tb\tc\n"))
        connection.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(self.ended, [(a, Outcome.UNREACHABLE), (b, Outcome.CONNECTION_RESET), (c, Outcome.SUCCESS)])
        self.assertEqual(self.uncertain, [c])

    def answer(self, attempt, connection, reply_type=b"data", body=b"a\tb\tc\n"):
        connection.dataReceived(
            resp.pack(
                attempt.request.incoming.client_request_id.encode(),
                reply_type,
                b"-",
                body if reply_type == b"data" else b"",
            )
        )

    def test_a_retryable_answer_counts_as_a_reset_if_a_reset_follows_at_once(self):
        """Holds for a reset in the same read pass and, after a stall, in the pass in which the answer's delay ends."""
        for reply_type, outcome in (
            (b"failed", Outcome.ERROR),
            (b"full", Outcome.OVERLOADED),
            (b"moot", Outcome.NEVER_SENT),
        ):
            for event in ("reset", "nothing", "stall"):
                self.setUp()
                a = self.start()
                connection, _ = self.connect()
                self.answer(a, connection, reply_type)
                lost = partial(connection.connectionLost, Failure(ConnectionLost()))
                if event == "stall":
                    self.clock.call_later(RETRYABLE_ANSWER_DELAY_MS + STALL_THRESHOLD_MS + 1, lost)
                    self.clock.clock.advance((RETRYABLE_ANSWER_DELAY_MS + STALL_THRESHOLD_MS + 1) / 1000)
                elif event == "reset":
                    lost()
                self.clock.advance(RETRYABLE_ANSWER_DELAY_MS - 1)
                self.assertEqual(
                    self.ended, [] if event == "nothing" else [(a, Outcome.CONNECTION_RESET)], (reply_type, event)
                )
                self.clock.advance(2)
                self.assertEqual(self.ended, [(a, outcome if event == "nothing" else Outcome.CONNECTION_RESET)])

    def test_our_own_orderly_close_makes_no_answer_uncertain(self):
        a = self.start()
        connection, transport = self.connect()
        self.answer(a, connection)
        self.engines.update_endpoints({})  # its engine was removed: unused connections close at once
        self.clock.advance(1)
        connection.connectionLost(Failure(ConnectionDone()))
        self.assertEqual((self.ended, self.uncertain), ([(a, Outcome.SUCCESS)], []))

    def test_a_connection_that_we_abort_makes_its_earlier_answers_uncertain(self):
        a, b = self.start(), self.start()
        connection, _ = self.connect()
        self.answer(a, connection)
        self.answer(b, connection, b"failed")
        connection.dataReceived(b"rubbish\r\n")
        self.clock.advance(CANCEL_SETTLE_MS + 1)
        self.assertEqual((self.ended, self.uncertain), ([(a, Outcome.SUCCESS), (b, Outcome.CONNECTION_RESET)], [a]))

    def test_a_late_answer_is_ignored_and_its_request_id_is_not_used_again_on_that_connection(self):
        a = self.start()
        connection, _ = self.connect()
        self.abandon(a)
        request_id = a.request.incoming.client_request_id.encode()
        connection.dataReceived(resp.pack(request_id, b"data", b"-", b"a\tb\tc\n") * 2)
        self.assertEqual((self.ended, connection.accepts(request_id), connection.accepts(b"0" * 16)), ([], False, True))

    def test_an_answer_to_an_attempt_that_was_not_sent_is_ignored(self):
        self.start()
        connection, _ = self.connect()
        self.clock.advance(WRITE_BLOCKED_LIMIT_MS + 1)
        waiting = self.start()
        connection.dataReceived(
            resp.pack(waiting.request.incoming.client_request_id.encode(), b"data", b"-", b"a\tb\tc\n")
        )
        self.assertEqual(self.ended, [])

    def test_after_signs_of_execution_an_engine_cannot_report_that_a_request_did_not_run(self):
        signs_of_execution = (
            resp.pack(b"ID", b"data", b"parts=2", b"a\tb\tc\n"),
            *[
                resp.pack(b"ID", b"news", b"detail=" + progress_fields, b"")
                for progress_fields in (b"p,value=0.2", b"s,value=40")
            ],
        )
        waiting = resp.pack(b"ID", b"news", b"detail=w,value=1", b"")
        for preceding, reply_type, outcome in [(sign, b"full", Outcome.ERROR) for sign in signs_of_execution] + [
            (signs_of_execution[0], b"moot", Outcome.ERROR),
            (waiting, b"full", Outcome.OVERLOADED),
            (b"", b"moot", Outcome.NEVER_SENT),
        ]:
            self.setUp()
            a = self.start()
            connection, _ = self.connect()
            replies = preceding + resp.pack(b"ID", reply_type, b"-", b"")
            connection.dataReceived(
                replies.replace(b"$2\r\nID", b"$16\r\n" + a.request.incoming.client_request_id.encode())
            )
            self.clock.advance(RETRYABLE_ANSWER_DELAY_MS + 1)
            self.assertEqual(self.ended, [(a, outcome)], (preceding, reply_type))
