"""Golden tests of the BGP speaker: the bytes of messages (RFC 4271) and of sessions with a peer do not change."""

from __future__ import annotations

import json

import pytest
from twisted.internet.task import Clock

from decklb.bgp import messages as bgp
from decklb.bgp.errors import BgpError
from decklb.bgp.messages import MessageType
from decklb.bgp.settings import BgpSettings, PeerSettings
from decklb.bgp.speaker import Peer, Speaker
from decklb.wire.clock import ReactorClock
from tests.standins import ROOT

GOLDEN = json.loads((ROOT / "tests" / "golden" / "bgp.json").read_text())
SHORT_ASN, LONG_ASN = 64512, 4_200_000_001
PREFIXES = ["10.9.8.7/32", "10.0.0.0/9", "0.0.0.0/0"]


def build_messages():
    """Every message that the speaker encodes, by its name in RFC 4271."""
    return {
        "OPEN": bgp.pack_open(SHORT_ASN, 90, "127.0.0.1"),
        "OPEN with a four-octet AS number": bgp.pack_open(LONG_ASN, 0, "1.2.3.4"),
        "KEEPALIVE": bgp.pack(MessageType.KEEPALIVE),
        "NOTIFICATION": bgp.pack_notification(BgpError(6, 2, text="shutdown")),
        "NOTIFICATION with data": bgp.pack_notification(BgpError(2, 1, b"\0\4")),
        "UPDATE announcing to an internal peer": bgp.pack_announcement(PREFIXES, "1.2.3.4", LONG_ASN, True, True),
        "UPDATE announcing to an external peer": bgp.pack_announcement(PREFIXES, "1.2.3.4", LONG_ASN, False, True),
        "UPDATE announcing a short AS number to an external peer of two octets": bgp.pack_announcement(
            PREFIXES[:1], "1.2.3.4", SHORT_ASN, False, False
        ),
        "UPDATE announcing a long AS number to an external peer of two octets": bgp.pack_announcement(
            PREFIXES[:1], "1.2.3.4", LONG_ASN, False, False
        ),
        "UPDATE withdrawing": bgp.pack_withdrawal(PREFIXES),
    }


def error_fields(error):
    return {"code": error.code, "subcode": error.subcode, "data": error.data.hex(), "text": str(error)}


def read_stream(raw, chunk_size):
    """The messages of a byte stream that arrives in chunks, and the error that ends it."""
    reader, messages = bgp.MessageReader(), []
    try:
        for start in range(0, len(raw), chunk_size):
            messages += [[kind, body.hex()] for kind, body in reader.feed(raw[start : start + chunk_size])]
    except BgpError as error:
        return {"error": error_fields(error)}
    return {"messages": messages, "rest": reader.buffer.hex()}


def read_open(body):
    try:
        peer_open = bgp.read_open(body)
    except BgpError as error:
        return {"error": error_fields(error)}
    return {
        "asn": peer_open.asn,
        "hold_time_s": peer_open.hold_time_s,
        "bgp_identifier": peer_open.bgp_identifier,
        "four_octet_asn": peer_open.four_octet_asn,
    }


class FakeTransport:
    """Records the calls of a connection in order."""

    def __init__(self, events):
        self.events = events

    def write(self, data):
        self.events.append(["write", data.hex()])

    def loseConnection(self):
        self.events.append(["loseConnection"])


class FakeReactor(Clock):
    """A simulated reactor that records attempts to connect; the test establishes connections itself."""

    def __init__(self, events):
        super().__init__()
        self.events = events

    def connectTCP(self, host, port, factory, timeout, bindAddress):
        self.events.append(["connect", host, port, timeout])


def run_script(script):
    """Run a scripted session; return what the speaker writes and does to its transport in each step."""
    events = []
    reactor = FakeReactor(events)
    peer_settings = PeerSettings(("127.0.0.2", 179), 64513)
    settings = BgpSettings(SHORT_ASN, "127.0.0.1", "127.0.0.1", PREFIXES[:1], 90, [peer_settings])
    speaker = Speaker(reactor, ReactorClock(reactor), settings)
    peer: Peer = speaker.peers[0]
    recorded = []
    for step, *arguments in script:
        if step == "connect":
            peer.connection = peer.new_connection()
            peer.connection.transport = FakeTransport(events)
            peer.connection.connectionMade()
        elif step == "start":
            speaker.start()
        elif step == "receive":
            peer.connection.dataReceived(bytes.fromhex(arguments[0]))
        elif step == "announce":
            speaker.announce(arguments[0])
        elif step == "advance-s":
            reactor.advance(arguments[0])
        elif step == "connection-lost":
            peer.connection.connectionLost()
        elif step == "close":
            speaker.close()
        else:
            raise AssertionError(step)
        recorded.append([step, events[:]])
        events.clear()
    return recorded


@pytest.mark.parametrize("name", GOLDEN["built"])
def test_built_messages_keep_their_bytes(name):
    assert build_messages()[name].hex() == GOLDEN["built"][name]


def test_every_built_message_is_recorded():
    assert set(build_messages()) == set(GOLDEN["built"])


@pytest.mark.parametrize("case", GOLDEN["streams"], ids=lambda case: case["name"])
@pytest.mark.parametrize("chunk_size", [1, 7, 5000])
def test_streams_are_split_into_the_recorded_messages(case, chunk_size):
    assert read_stream(bytes.fromhex(case["raw"]), chunk_size) == case["expected"]


@pytest.mark.parametrize("case", GOLDEN["opens"], ids=lambda case: case["name"])
def test_opens_are_read_as_the_recorded_fields(case):
    assert read_open(bytes.fromhex(case["body"])) == case["expected"]


@pytest.mark.parametrize("case", GOLDEN["sessions"], ids=lambda case: case["name"])
def test_sessions_write_and_end_as_recorded(case):
    assert run_script(case["script"]) == case["expected"]
