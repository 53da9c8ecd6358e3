"""Where the program gets its endpoint list from, and when it is ready."""

from __future__ import annotations

import signal
import socket

from decklb.net import frames
from tests.dns_answers import reply
from tests.frame_standins import Client, OneEngineTest, request
from tests.standins import DEADLINE, endpoint_list, wait_for


class ProgramDirectory(OneEngineTest):
    def resolver(self):
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.settimeout(DEADLINE)
        server.bind(("127.0.0.1", 0))
        return server, f"127.0.0.1:{server.getsockname()[1]}"

    def test_sighup_changes_the_resolver_and_keeps_list_requests_and_connections(self):
        """Guards against the default action of SIGHUP, which ended the process with all open requests (032f0109)."""
        (old, first), (new, second) = self.resolver(), self.resolver()
        config = {"known": endpoint_list(self.engine.port, index=7)}
        program = self.program(**config, resolver=first)
        old.recvfrom(4096)
        client = Client(program.port)
        client.send(request(1, b"hang", budget="1500"))
        wait_for(lambda: self.engine.received(b"do"), "do")
        program.path.write_text('{"resolver": ')  # an incomplete file
        program.process.send_signal(signal.SIGHUP)
        wait_for(lambda: program.logged("configuration kept"), "the log line")
        program.reload(config | {"resolver": second})
        new.recvfrom(4096)
        wait_for(lambda: "list 7," in program.logged("configuration read"), "the log line")
        client.send(request(2, b"rows 1"))
        self.assertEqual([client.answer()[:2] for _ in range(2)], [(2, frames.SERVED), (1, frames.REJECTED)])

    def test_sighup_loads_a_newer_list_where_no_directory_is_polled(self):
        program = self.program(known=endpoint_list())
        program.reload({"known": endpoint_list(self.engine.port, index=2)})
        wait_for(lambda: program.logged("configuration read"), "the log line")
        client = Client(program.port)
        client.send(request(1, b"rows 1"))
        self.assertEqual(client.answer()[1], frames.SERVED)

    def test_a_directory_that_is_down_at_the_start_delays_readiness_for_a_while_only(self):
        _, resolver = self.resolver()
        client = Client(self.program(known=endpoint_list(self.engine.port), resolver=resolver).port)

        def ready():
            client.send(frames.pack(frames.READINESS_QUERY, 1, b"\0"))
            return client.next().payload[0]

        self.assertEqual(ready(), 0)
        wait_for(ready, "readiness")
        client.send(request(1, b"rows 1"))
        self.assertEqual(client.answer()[1], frames.SERVED)

    def test_without_engines_the_program_is_not_ready(self):
        client = Client(self.program(known=endpoint_list()).port)
        client.send(frames.pack(frames.READINESS_QUERY, 1, b"\0"))
        self.assertEqual(client.next().payload[0], 0)

    def test_engines_come_from_complete_answers_to_the_pending_query(self):
        server, resolver = self.resolver()
        program = self.program(known=endpoint_list(), resolver=resolver)
        client, query_ids = Client(program.port), set()

        def ready():
            client.send(frames.pack(frames.READINESS_QUERY, 1, b"\0"))
            return client.next().payload[0]

        for complete in (False, False, True):
            data, peer = server.recvfrom(4096)
            query_id = int.from_bytes(data[:2], "big")
            query_ids.add(query_id)
            answer = reply(query_id=query_id, port=self.engine.port, priority=0)
            if not complete:  # an answer to another query and a truncated one
                server.sendto(reply(query_id=query_id ^ 1, port=self.engine.port, priority=0), peer)
                server.sendto(answer[:-30], peer)
                self.assertEqual(ready(), 0)
            else:
                server.sendto(answer, peer)
        wait_for(ready, "readiness")
        self.assertGreater(len(query_ids), 1)  # a new id for each query
        client.send(request(1, b"rows 1"))
        self.assertEqual(client.answer()[1], frames.SERVED)
