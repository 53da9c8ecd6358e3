"""The control socket: its responses, and which process may listen at its path."""

from __future__ import annotations

import socket

import pytest
import ujson
from loguru import logger
from twisted.internet import defer

from decklb.management import control_client, control_protocol, control_server


@pytest.mark.parametrize(
    ("line", "error"),
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
def test_a_malformed_request_is_answered_with_an_error(line, error):
    response = control_server.ControlServer({"x": lambda: 1}).respond(line)
    assert (response["decklb"], response["ok"]) == (1, False) and error in response["error"]


class Reactor:
    def listenUNIX(self, path, factory, mode):
        return path, mode


def test_a_socket_in_use_is_not_replaced_but_a_stale_one_is(tmp_path):
    path = str(tmp_path / "s")
    with socket.socket(socket.AF_UNIX) as other:
        other.bind(path)
        other.listen()
        with pytest.raises(OSError, match="another process"):
            control_server.listen(Reactor(), path, {})
    assert control_server.listen(Reactor(), path, {}) == (path, 0o600)


def test_a_query_is_answered_with_its_result():
    response = control_server.ControlServer({"x": lambda: [1]}).respond(b'{"decklb":1,"ask":"x"}')
    assert response == {"decklb": 1, "ok": True, "answer": [1]}
    assert ujson.loads(ujson.dumps(response)) == response
    with pytest.raises(control_client.ControlError, match="No such file"):
        control_client.query("/nowhere/at/all", "members")


def test_requests_and_responses_have_the_documented_format():
    assert control_protocol.encode_request("plan-back", {"machine": "e1"}) == (
        b'{"decklb":1,"ask":"plan-back","machine":"e1"}\n'
    )
    server = control_server.ControlServer(
        {"x": lambda: {"a": 1}}, {"order": lambda request: defer.succeed(request["n"])}
    )
    lines = [control_protocol.encode_line(server.respond(line)) for line in (b'{"decklb":1,"ask":"x"}', b"?")]
    assert lines == [b'{"decklb":1,"ok":true,"answer":{"a":1}}\n', b'{"decklb":1,"ok":false,"error":"not JSON"}\n']
    responses = []
    server.respond(b'{"decklb":1,"ask":"order","n":5}').addCallback(responses.append)
    assert control_protocol.encode_line(responses[0]) == b'{"decklb":1,"ok":true,"answer":5}\n'


@pytest.mark.parametrize(("error", "logged_count"), [(ValueError("no such job"), 0), (KeyError("bug"), 1)])
def test_a_command_that_fails_is_answered_and_only_a_bug_is_logged(error, logged_count):
    events, responses = [], []
    log_handler = logger.add(lambda message: events.append(message.record["extra"]["event"]), level="ERROR")
    try:
        server = control_server.ControlServer({}, {"order": lambda request: defer.fail(error)})
        server.respond(b'{"decklb":1,"ask":"order"}').addCallback(responses.append)
    finally:
        logger.remove(log_handler)
    assert responses == [{"decklb": 1, "ok": False, "error": str(error)}]
    assert events == ["control-command-failed"] * logged_count
