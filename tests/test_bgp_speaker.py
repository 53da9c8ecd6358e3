"""The BGP speaker in the running program, with a stand-in peer on a real socket."""

from __future__ import annotations

import contextlib
import socket

import pytest

from decklb.bgp import messages as bgp
from decklb.bgp.messages import MessageType
from tests.bgp_peer import PeerStandin
from tests.standins import DEADLINE, Program, endpoint_list, wait_for

BGP = {"asn": 64512, "router": "127.0.0.1", "prefixes": ["10.9.8.7/32"], "hold": 9}


@pytest.fixture
def peer():
    with contextlib.closing(PeerStandin()) as standin:
        yield standin


@pytest.fixture
def engine_port():
    """A port that accepts connections, which suffices for the program to become ready."""
    with socket.create_server(("127.0.0.1", 0)) as engine:
        yield engine.getsockname()[1]


@pytest.fixture
def start_program(peer):
    """A function that starts the program with engines on the given ports and the peer configured."""
    with contextlib.ExitStack() as started:

        def start(*engine_ports):
            section = BGP | {"peers": [{"address": f"127.0.0.1:{peer.port}", "asn": 64513}]}
            program = Program({"known": endpoint_list(*engine_ports), "bgp": section})
            started.callback(program.stop)
            return program

        yield start


def test_routes_are_announced_while_ready_and_withdrawn_on_drain(peer, engine_port, start_program):
    program = start_program(engine_port)
    speaker_open = peer.establish()
    assert (speaker_open.asn, speaker_open.hold_time_s) == (64512, 9)
    update = peer.next_message(MessageType.KEEPALIVE)
    assert update.body.endswith(bgp.pack_prefix("10.9.8.7/32"))
    program.process.terminate()
    withdrawal = bgp.pack_withdrawal(["10.9.8.7/32"])[bgp.HEADER_SIZE :]
    assert peer.next_message(MessageType.KEEPALIVE) == (MessageType.UPDATE, withdrawal)
    assert peer.next_message(MessageType.KEEPALIVE) == (MessageType.NOTIFICATION, b"\6\2")
    assert program.process.wait(DEADLINE) == 0


def test_routes_are_not_announced_while_not_ready(peer, start_program):
    program = start_program()
    peer.establish()
    wait_for(lambda: program.logged("established"), "establishment of the session")
    program.process.terminate()
    assert peer.next_message(MessageType.KEEPALIVE) == (MessageType.NOTIFICATION, b"\6\2")


def test_a_peer_with_an_unexpected_as_number_is_notified_and_disconnected(peer, engine_port, start_program):
    program = start_program(engine_port)
    peer.establish(asn=65000)
    assert peer.next_message(MessageType.KEEPALIVE) == (MessageType.NOTIFICATION, b"\2\2")
    assert peer.next_message() is None
    wait_for(lambda: program.logged("bgp connection ended: 2/2"), "log line of the connection")
