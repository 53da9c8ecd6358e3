"""The state machine of a BGP session, on a simulated clock."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock

from decklb.bgp import messages as bgp
from decklb.bgp.errors import BgpError
from decklb.bgp.messages import Message, MessageType
from decklb.bgp.session import Session, State
from decklb.bgp.settings import BgpSettings, PeerSettings
from decklb.bgp.speaker import Speaker
from decklb.wire.clock import ReactorClock
from tests.bgp_peer import RecordingTransport

PEER_OPEN = Message(MessageType.OPEN, bgp.pack_open(64513, 30, "127.0.0.2")[bgp.HEADER_SIZE :])
KEEPALIVE = Message(MessageType.KEEPALIVE, b"")
PEER = PeerSettings(("", 1), 64513)
SETTINGS = BgpSettings(64512, "127.0.0.1", "127.0.0.1", ["10.9.8.7/32"], 90, [PEER])


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def transport():
    return RecordingTransport()


@pytest.fixture
def session(clock, transport):
    session = Session(SETTINGS, PEER, ReactorClock(clock), should_announce=False, on_established=lambda: None)
    session.start(transport)
    transport.take_messages()
    return session


def test_the_session_passes_through_the_states_up_to_established(session):
    assert session.state is State.OPEN_SENT
    session.receive(PEER_OPEN)
    assert session.state is State.OPEN_CONFIRM
    session.receive(KEEPALIVE)
    assert session.state is State.ESTABLISHED


def test_the_lower_hold_time_applies_and_its_expiry_is_notified(session, clock, transport):
    session.receive(PEER_OPEN)
    session.receive(KEEPALIVE)
    transport.take_messages()
    for _ in range(5):  # received in time: only keepalives, sent every third of the hold time
        clock.advance(10)
        session.receive(KEEPALIVE)
        assert transport.take_messages() == [KEEPALIVE]
    for _ in range(3):
        clock.advance(10)
    assert transport.take_messages()[-1] == (MessageType.NOTIFICATION, b"\4\0")
    assert transport.closed
    assert session.state is State.IDLE


def test_a_message_not_allowed_in_the_state_is_a_finite_state_machine_error(session):
    with pytest.raises(BgpError) as caught:
        session.receive(KEEPALIVE)
    assert (caught.value.code, caught.value.subcode) == (5, 0)


def test_a_connection_sends_a_notification_for_an_unexpected_message(clock, transport):
    connection = Speaker(None, ReactorClock(clock), SETTINGS).peers[0].new_connection()
    connection.transport = transport
    connection.connectionMade()
    connection.dataReceived(bgp.pack(MessageType.KEEPALIVE))
    assert transport.take_messages()[-1] == (MessageType.NOTIFICATION, b"\5\0")
