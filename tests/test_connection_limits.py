"""Which client connections are evicted, and which requests rejected, when there are too many connections."""

from __future__ import annotations

from decklb.net import frames
from tests.frame_standins import Client, OneEngineTest, request
from tests.standins import endpoint_list, wait_for


class ConnectionLimits(OneEngineTest):
    def start_program_with_few_connections(self, sockets=25):  # (25 - 16) // 2 = 4 connections and one spare
        return self.program(known=endpoint_list(self.engine.port), limits={"sockets": sockets})

    def test_the_longest_idle_connection_is_evicted_for_a_new_one(self):
        """Guards against idle connections that keep all places: new ones were closed with their requests (21e68ef7)."""
        program = self.start_program_with_few_connections()
        clients = [Client(program.port) for _ in range(4)]
        for client in clients:
            client.send(request(1, b"rows 1"))
            self.assertEqual(client.answer()[1], frames.SERVED)
        clients[0].send(request(2, b"rows 1"))  # now the second client is the longest idle
        self.assertEqual(clients[0].answer()[1], frames.SERVED)
        new = Client(program.port)
        new.send(request(1, b"rows 1"))
        self.assertEqual(new.answer()[1], frames.SERVED)
        self.assertIsNone(clients[1].next())
        wait_for(lambda: program.logged("evicted-idle"), "the log line")
        for client in (clients[0], *clients[2:]):
            client.send(request(3, b"rows 1"))
            self.assertEqual(client.answer()[1], frames.SERVED)

    def test_silent_connections_are_evicted_before_idle_ones(self):
        program = self.start_program_with_few_connections()
        idle = Client(program.port)
        idle.send(request(1, b"rows 1"))
        self.assertEqual(idle.answer()[1], frames.SERVED)
        silent = [Client(program.port) for _ in range(12)]  # more than may stay
        new = Client(program.port)
        new.send(request(1, b"rows 1"))
        self.assertEqual(new.answer()[1], frames.SERVED)
        self.assertIsNone(silent[0].next())
        idle.send(request(2, b"rows 1"))
        self.assertEqual(idle.answer()[1], frames.SERVED)
        self.assertFalse(program.logged("evicted-idle"))

    def test_new_requests_are_rejected_if_every_connection_has_an_open_request(self):
        program = self.start_program_with_few_connections()
        busy = [Client(program.port) for _ in range(6)]
        for client in busy:
            client.send(request(1, b"hang"))
        wait_for(lambda: len(self.engine.received(b"do")) >= 5, "do")
        new = Client(program.port)
        new.send(request(1, b"rows 1"))
        _, code, fields, _ = new.answer()
        self.assertEqual((code, fields), (frames.REJECTED, {"backoff": "500"}))
