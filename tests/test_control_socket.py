"""The control socket: its responses, and who may have its path."""

from __future__ import annotations

import socket
import tempfile
import unittest
from pathlib import Path

import pytest
import ujson

from decklb.management import control_client, control_server


@pytest.mark.parametrize(
    ("line", "words"),
    [
        (b"", "not JSON"),
        (b"{", "not JSON"),
        (b"\xff", "not JSON"),
        (b"[]", "version 1"),
        (b'{"ask":"x"}', "version 1"),
        (b'{"decklb":2,"ask":"x"}', "version 1"),
        (b'{"decklb":1}', "ask one of x"),
        (b'{"decklb":1,"ask":["x"]}', "ask one of x"),
    ],
)
def test_a_malformed_request_is_answered_with_an_error(line, words):
    said = control_server.ControlServer({"x": lambda: 1}).respond(line)
    assert (said["decklb"], said["ok"]) == (1, False) and words in said["error"]


class SocketPath(unittest.TestCase):
    def test_a_path_that_answers_is_not_taken_over_one_left_behind_is(self):
        class Reactor:
            def listenUNIX(self, path, factory, mode):
                return path, mode

        with tempfile.TemporaryDirectory() as folder:
            path = str(Path(folder) / "s")
            with socket.socket(socket.AF_UNIX) as other:
                other.bind(path)
                other.listen()
                with self.assertRaisesRegex(OSError, "another process"):
                    control_server.listen(Reactor(), path, {})
            self.assertEqual(control_server.listen(Reactor(), path, {}), (path, 0o600))

    def test_a_query_is_answered_with_its_result(self):
        said = control_server.ControlServer({"x": lambda: [1]}).respond(b'{"decklb":1,"ask":"x"}')
        self.assertEqual(said, {"decklb": 1, "ok": True, "answer": [1]})
        self.assertEqual(ujson.loads(ujson.dumps(said)), said)
        with self.assertRaisesRegex(control_client.ControlError, "No such file"):
            control_client.query("/nowhere/at/all", "members")
