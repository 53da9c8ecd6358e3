"""The program as a process that speaks the platform's own protocols over real sockets; one test per rule."""

from __future__ import annotations

import socket
import unittest

from decklb.net import frames, resp
from decklb.net.client_connection import MAX_INVALID_FRAMES
from tests.frame_standins import RID, Client, OneEngineTest, RespEngine, request
from tests.standins import Loop, Program, endpoint_list, wait_for


class ClientProtocol(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.loop = Loop()
        cls.engines = [RespEngine(cls.loop), RespEngine(cls.loop)]
        cls.program = Program({"known": endpoint_list(*[e.port for e in cls.engines])})

    @classmethod
    def tearDownClass(cls):
        cls.program.stop()
        for engine in cls.engines:
            engine.close()
        cls.loop.stop()

    def setUp(self):
        for engine in self.engines:
            engine.log.clear()
        self.client = Client(self.program.port)

    def tearDown(self):
        self.client.socket.close()
        self.assertEqual(self.program.logged("Traceback"), "")

    def received(self, name):
        return [command for engine in self.engines for command in engine.received(name)]

    def wait_until_both_engines_serve(self):
        """Send requests until each engine has served one: an engine that failed gets no requests for a while."""
        for engine in self.engines:
            engine.log.clear()
        while not all(e.received(b"do") for e in self.engines):
            self.client.send(*[request(n, b"rows 1") for n in range(1, 9)])
            self.assertEqual({self.client.answer()[1] for _ in range(8)}, {frames.SERVED})
        for engine in self.engines:
            engine.log.clear()

    def test_all_pages_arrive_in_order_and_are_released(self):
        self.client.send(request(1, b"rows 4", token="t1", rid=RID))
        self.assertEqual(self.client.answer(), (1, frames.SERVED, {}, b"".join(b"page%d\t\t\n" % n for n in range(4))))
        wait_for(lambda: self.received(b"forget"), "forget")
        _, request_id, fields, body = self.received(b"do")[0]
        start_fields = resp.read_fields(fields)
        self.assertEqual(
            (request_id.decode(), body, start_fields["queue"], start_fields["uniq"]), (RID, b"rows 4", "read", "t1")
        )
        self.assertTrue(0 < int(start_fields["budget"]) <= 5000)

    def test_a_frame_may_come_byte_by_byte(self):
        for byte in request(1, b"rows 1"):
            self.client.send(bytes([byte]))
        self.assertEqual(self.client.answer()[1], frames.SERVED)

    def test_answers_are_sent_on_the_streams_of_their_requests(self):
        self.client.send(*[request(n, b"rows %d" % n, rid=f"{n:016x}") for n in (1, 2, 3)])
        answers = {stream: body.count(b"\n") for stream, _, _, body in (self.client.answer() for _ in range(3))}
        self.assertEqual(answers, {1: 1, 2: 2, 3: 3})

    def test_failed_attempts_are_retried_elsewhere_and_end_in_a_rejection_with_backoff(self):
        """Invalid, truncated or missing replies end their connection long before the request's deadline."""
        for statement in (b"failed", b"die", b"lose 3", b"mute 3", *RespEngine.INVALID_REPLIES):
            self.wait_until_both_engines_serve()
            self.client.send(request(1, statement))
            _, code, fields, _ = self.client.answer()
            self.assertEqual(code, frames.REJECTED, statement)
            self.assertGreater(int(fields["backoff"]), 0)
            self.assertTrue(all(e.received(b"do") for e in self.engines), statement)

    def test_replies_with_unknown_ids_and_repeated_replies_are_ignored(self):
        for stream in (1, 2):
            self.client.send(request(stream, b"more 2"))
            self.assertEqual(self.client.answer(), (stream, frames.SERVED, {}, b"page0\t\t\npage1\t\t\n"))

    def test_a_malformed_reply_fails_the_other_open_requests_of_its_connection(self):
        self.client.send(*[request(n, b"hang", method="load") for n in range(1, 5)])
        wait_for(lambda: len(self.received(b"do")) == 4, "do")
        self.client.send(*[request(n, b"huge", method="load") for n in range(5, 9)])
        answers = {self.client.answer()[:2] for _ in range(8)}
        self.assertEqual(answers, {(n, frames.FAILED) for n in range(1, 9)})

    def test_a_reset_fails_a_request_that_may_not_be_retried(self):
        self.client.send(request(1, b"die", method="load"))
        self.assertEqual(self.client.answer()[1], frames.FAILED)
        self.assertEqual(len(self.received(b"do")), 1)

    def test_a_timed_out_request_is_cancelled_at_the_engine_and_answered(self):
        self.client.send(request(1, b"hang", budget="1500"))
        self.assertEqual(self.client.answer()[1], frames.REJECTED)
        self.assertEqual(len(self.received(b"undo")), 1)

    def test_a_cancelled_request_is_cancelled_at_the_engine(self):
        self.client.send(request(1, b"hang"))
        wait_for(lambda: self.received(b"do"), "do")
        self.client.send(frames.pack(frames.CANCEL, 1), request(2, b"rows 1"))
        self.assertEqual(self.client.answer()[:2], (2, frames.SERVED))
        wait_for(lambda: self.received(b"undo"), "undo")

    def test_requests_of_a_client_that_disconnects_are_cancelled_at_the_engine(self):
        self.client.send(request(1, b"hang"))
        wait_for(lambda: self.received(b"do"), "do")
        self.client.socket.close()
        wait_for(lambda: self.received(b"undo"), "undo")
        wait_for(lambda: self.program.logged("abandoned=1"), "the log line")

    def test_invalid_requests_get_an_error_and_the_connection_continues(self):
        self.client.send(request(1, b"rows 1", budget="soon"), frames.pack(1, 2, b"\xff"), request(3, b"rows 1"))
        answers = {stream: code for stream, code, _, _ in (self.client.answer() for _ in range(3))}
        self.assertEqual(answers, {1: frames.FAILED, 2: frames.FAILED, 3: frames.SERVED})

    def test_broken_framing_ends_the_connection_with_a_reason(self):
        for raw, reason in (
            (b"\xff\xff\xff\xff", "bad-length"),
            (b"\0\0\0\4\1\0\0\0", "bad-length"),
            (frames.pack(9, 1) * (MAX_INVALID_FRAMES + 1), "unknown-type"),
        ):
            client = Client(self.program.port)
            client.send(raw)
            while (frame := client.next()) is not None:
                fields, _ = frames.read_fields(frame.payload[1:])
                self.assertEqual((frame.stream, fields), (0, {"reason": reason}))
            wait_for(lambda reason=reason: self.program.logged("client connection ended: " + reason), reason)

    def test_an_invalid_frame_is_ignored_and_open_requests_continue(self):
        """Guards against an invalid frame that ended the connection and failed all requests open on it."""
        for raw, reason in (
            (frames.pack(9, 1), "unknown-type"),
            (request(0, b"x"), "stream-in-use"),
            (request(1, b"rows 2"), "stream-in-use"),
        ):
            client = Client(self.program.port)
            client.send(request(1, b"hang", budget="1500"), raw, request(2, b"rows 1"))
            answers = [client.answer() for _ in range(3)]
            self.assertEqual(answers[0][::2], (0, {"reason": reason}))
            self.assertEqual([a[:2] for a in answers[1:]], [(2, frames.SERVED), (1, frames.REJECTED)])
            client.socket.close()

    def test_a_connection_without_a_whole_message_is_timed_out_with_a_reason(self):
        partial = Client(self.program.port)
        partial.send(request(1, b"rows 1"), request(2, b"hang")[:-1])
        self.assertEqual(partial.answer()[:2], (1, frames.SERVED))
        silent, half_sent = Client(self.program.port), Client(self.program.port)
        half_sent.send(request(1, b"rows 1")[:-1])
        for client, reason in ((silent, "no-message"), (half_sent, "no-message"), (partial, "half-message")):
            self.assertEqual(client.answer()[::2], (0, {"reason": reason}))
            self.assertIsNone(client.next())

    def test_an_oversized_frame_is_rejected_at_its_header_and_the_error_arrives(self):
        self.client.send((60 << 20).to_bytes(4, "big") + b"\1\0\0\0\1")
        for _ in range(60):  # everything is sent before the answer is read; a reset would fail the sending
            self.client.send(bytes(1 << 20))
        self.assertEqual(self.client.answer()[::2], (0, {"reason": "bad-length"}))
        self.assertIsNone(self.client.next())

    def test_open_requests_are_answered_before_an_error_ends_the_connection(self):
        """Guards against requests that get no answer, or fail at once, if an invalid frame follows in the same read."""
        self.client.send(request(1, b"hang", budget="1500") + request(2, b"rows 3") + b"\xff\xff\xff\xff")
        self.assertEqual(self.client.answer()[::2], (0, {"reason": "bad-length"}))
        self.assertEqual([self.client.answer()[:2] for _ in range(2)], [(2, frames.SERVED), (1, frames.REJECTED)])
        self.assertIsNone(self.client.next())

    def test_only_the_second_of_two_requests_with_one_id_and_different_statements_fails(self):
        self.client.send(request(1, b"hang", rid=RID), request(2, b"rows 1", rid=RID), request(3, b"rows 1"))
        answers = {stream: (code, fields) for stream, code, fields, _ in (self.client.answer() for _ in range(2))}
        self.assertEqual(
            answers, {2: (frames.FAILED, {"reason": "rid is open with another statement"}), 3: (frames.SERVED, {})}
        )
        self.client.send(frames.pack(frames.CANCEL, 1), request(4, b"rows 1", rid=RID))  # the id is free again
        self.assertEqual(self.client.answer()[:2], (4, frames.SERVED))

    def test_more_than_32_streams_are_rejected(self):
        self.client.send(*[request(n, b"hang") for n in range(1, 34)])
        self.assertEqual(self.client.answer()[:2], (33, frames.REJECTED))

    def test_readiness_is_answered(self):
        self.client.send(frames.pack(frames.READINESS_QUERY, 5, b"\0"))
        frame = self.client.next()
        self.assertEqual((frame.type, frame.stream, frame.payload[0]), (frames.READINESS, 5, 1))


class EngineConnections(OneEngineTest):
    """Connections of the program as seen by an engine."""

    def test_an_engine_connection_is_quarantined_after_a_time_out(self):
        client = Client(self.program(known=endpoint_list(self.engine.port)).port)
        for stream, statement, code in ((1, b"hang", frames.REJECTED), (2, b"rows 1", frames.SERVED)):
            client.send(request(stream, statement, budget="800"))
            self.assertEqual(client.answer()[:2], (stream, code))
        self.assertEqual(self.engine.connections, 2)

    def test_a_refused_engine_connection_proves_that_nothing_ran(self):
        free = socket.create_server(("127.0.0.1", 0))
        port = free.getsockname()[1]
        free.close()
        client = Client(self.program(known=endpoint_list(port)).port)
        client.send(request(1, b"rows 1", method="load", budget="1500"))
        self.assertEqual(client.answer()[1], frames.REJECTED)
