"""State machine of one BGP connection (RFC 4271, section 8), without I/O.

`decklb.bgp.connection` passes it messages; it sends through its `Transport`. It owns the state of the session, the
hold timer, the keepalive timer and whether the routes are announced to the peer.

The RFC's state Connect is implemented by `decklb.bgp.speaker.Peer`, which opens connections. The state Active does not
exist, since the speaker never listens for peers.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
from typing import Protocol

from decklb.bgp import messages as bgp
from decklb.bgp.errors import UNSPECIFIC, BgpError, CeaseSubcode, ErrorCode, OpenSubcode
from decklb.bgp.messages import Message, MessageType
from decklb.bgp.settings import BgpSettings, PeerSettings
from decklb.core.ports import Clock, Timer

OPEN_HOLD_TIME_MS = 240_000.0  # the peer must send its OPEN within this time: four minutes (RFC 4271, section 8.2.2)
KEEPALIVES_PER_HOLD_TIME = 3  # RFC 4271, section 4.4
MS_PER_S = 1000.0


class State(Enum):
    """States of the session (RFC 4271, section 8.2.2). IDLE: not started, or ended with its connection closing."""

    IDLE = auto()
    OPEN_SENT = auto()
    OPEN_CONFIRM = auto()
    ESTABLISHED = auto()


class Transport(Protocol):
    """The methods of Twisted's transports that the session uses."""

    def write(self, data: bytes, /) -> None:
        """Send data."""

    def loseConnection(self) -> None:
        """Close the connection after all data has been sent."""


class Session:
    """A session with a peer, from our OPEN to the end of the connection."""

    def __init__(
        self,
        settings: BgpSettings,
        peer: PeerSettings,
        clock: Clock,
        should_announce: bool,
        on_established: Callable[[], None],
    ) -> None:
        """`on_established` is called when the session is established, before the routes are announced."""
        self.settings, self.peer, self.clock = settings, peer, clock
        self.should_announce = should_announce  # whether our routes should be announced to the peer
        self.routes_announced = False  # whether they are announced
        self.on_established = on_established
        self.state = State.IDLE
        self.end_reason = "peer-closed"  # as logged
        self.peer_open: bgp.Open | None = None
        self.hold_time_ms = OPEN_HOLD_TIME_MS  # 0: no hold timer
        self._transport: Transport | None = None
        self._hold_timer: Timer | None = None
        self._keepalive_timer: Timer | None = None

    def start(self, transport: Transport) -> None:
        """The connection is established: send our OPEN."""
        self._transport = transport
        self.state = State.OPEN_SENT
        self._send(bgp.pack_open(self.settings.asn, self.settings.hold_time_s, self.settings.bgp_identifier))
        self._restart_hold_timer()

    @property
    def open(self) -> bool:
        """Whether the session has started and not ended."""
        return self.state is not State.IDLE

    def receive(self, message: Message) -> None:
        """Handle a message of the peer. Raises BgpError if it is not allowed in this state."""
        match message.type, self.state:
            case (MessageType.NOTIFICATION, _):
                self._end(f"notification-{message.body[0]}/{message.body[1]}")
            case (MessageType.OPEN, State.OPEN_SENT):
                self._receive_open(bgp.read_open(message.body))
            case (MessageType.KEEPALIVE, State.OPEN_CONFIRM):
                self._restart_hold_timer()
                self.state = State.ESTABLISHED
                self.on_established()
                self._update_routes()
            case (MessageType.KEEPALIVE | MessageType.UPDATE, State.ESTABLISHED):
                self._restart_hold_timer()  # routes of the peer are ignored
            case _:
                raise BgpError(ErrorCode.FINITE_STATE_MACHINE, UNSPECIFIC, text="message out of turn")

    def _receive_open(self, peer_open: bgp.Open) -> None:
        if peer_open.asn != self.peer.asn:
            raise BgpError(ErrorCode.OPEN_MESSAGE, OpenSubcode.BAD_PEER_AS, text="AS number")
        if peer_open.bgp_identifier == self.settings.bgp_identifier and peer_open.asn == self.settings.asn:
            raise BgpError(ErrorCode.OPEN_MESSAGE, OpenSubcode.BAD_BGP_IDENTIFIER, text="router id")
        self.peer_open = peer_open
        self.hold_time_ms = MS_PER_S * min(self.settings.hold_time_s, peer_open.hold_time_s)
        self.state = State.OPEN_CONFIRM
        self._restart_hold_timer()
        self._send_keepalive()

    def set_announcement(self, enabled: bool) -> None:
        """Announce or withdraw the routes, now or as soon as the session is established."""
        self.should_announce = enabled
        self._update_routes()

    def _update_routes(self) -> None:
        if self.state is not State.ESTABLISHED or self.routes_announced == self.should_announce:
            return
        self.routes_announced = self.should_announce
        self._send(self._announcement() if self.should_announce else bgp.pack_withdrawal(self.settings.prefixes))

    def _announcement(self) -> bytes:
        assert self.peer_open is not None
        settings = self.settings
        internal = self.peer_open.asn == settings.asn
        return bgp.pack_announcement(
            settings.prefixes, settings.next_hop, settings.asn, internal, self.peer_open.four_octet_asn
        )

    def _send_keepalive(self) -> None:
        self._keepalive_timer = None
        if not self.open:  # nothing follows a NOTIFICATION
            return
        self._send(bgp.pack(MessageType.KEEPALIVE))
        if self.hold_time_ms:
            interval_ms = self.hold_time_ms / KEEPALIVES_PER_HOLD_TIME
            self._keepalive_timer = self.clock.call_later(interval_ms, self._send_keepalive)

    def _restart_hold_timer(self) -> None:
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None
        if self.hold_time_ms:
            self._hold_timer = self.clock.call_later(self.hold_time_ms, self._hold_timer_expired)

    def _hold_timer_expired(self) -> None:
        self._hold_timer = None
        self.fail(BgpError(ErrorCode.HOLD_TIMER_EXPIRED, UNSPECIFIC, text="hold timer"))

    def shut_down(self) -> None:
        """End the session with a Cease for administrative shutdown (RFC 4486)."""
        self.fail(BgpError(ErrorCode.CEASE, CeaseSubcode.ADMINISTRATIVE_SHUTDOWN, text="shutdown"))

    def fail(self, error: BgpError) -> None:
        """Send a NOTIFICATION of this error and end the session."""
        self._send(bgp.pack_notification(error))
        self._end(f"{error.code}/{error.subcode} {error}")

    def _end(self, reason: str) -> None:
        """End the session; the timers keep running until the connection has ended."""
        assert self._transport is not None
        self.state, self.end_reason = State.IDLE, reason
        self._transport.loseConnection()

    def connection_ended(self) -> None:
        """The connection has ended: stop the timers."""
        self.state = State.IDLE
        for timer in (self._hold_timer, self._keepalive_timer):
            if timer is not None:
                timer.cancel()
        self._hold_timer = self._keepalive_timer = None

    def _send(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.write(data)
