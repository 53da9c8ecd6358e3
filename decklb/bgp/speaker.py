"""The BGP speaker: keeps a connection to each configured peer and announces one set of routes to all of them.

The routes are announced while the program is ready and withdrawn when it drains. Owns the list of peers and whether
the routes are wanted. `decklb.daemon.service` starts it, tells it of readiness and closes it.
"""

from __future__ import annotations

from typing import Any

from loguru import logger
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from decklb.bgp.connection import PeerConnection
from decklb.bgp.session import Session
from decklb.bgp.settings import BgpSettings, PeerSettings
from decklb.core.ports import Clock

CONNECT_RETRY_MS = 5000.0  # from the end of a connection to the next attempt (ConnectRetryTimer, RFC 4271, section 8)
CONNECT_TIMEOUT_S = 10.0


class Peer:
    """A configured peer: connected, connecting, or waiting for the next attempt."""

    def __init__(self, speaker: Speaker, settings: PeerSettings) -> None:
        self.speaker, self.settings = speaker, settings
        self.connection: PeerConnection | None = None  # also while it is being opened

    def connect(self) -> None:
        """Open a connection: from Idle to Connect (RFC 4271, section 8.2.2)."""
        if self.speaker.closed:
            return
        connection = self.connection = self.new_connection()
        factory: Any = Factory.forProtocol(lambda: connection)
        factory.noisy = False
        host, port = self.settings.address
        endpoint = TCP4ClientEndpoint(self.speaker.reactor, host, port, CONNECT_TIMEOUT_S)
        endpoint.connect(factory).addErrback(self._connect_failed)

    def new_connection(self) -> PeerConnection:
        """A connection that is yet to be opened."""
        speaker = self.speaker
        session = Session(
            speaker.settings, self.settings, speaker.clock, speaker.routes_wanted, self._session_established
        )
        return PeerConnection(session, self._connection_ended)

    def want_routes(self, wanted: bool) -> None:
        """Announce the routes to the peer, or withdraw them, if it is connected; a later session asks the speaker."""
        if self.connection is not None:
            self.connection.session.want_routes(wanted)

    def shut_down(self) -> None:
        """End the session, if there is one."""
        if self.connection is not None and self.connection.session.open:
            self.connection.session.shut_down()

    def _connect_failed(self, reason: Failure) -> None:
        self._connection_ended("no-connection")

    def _session_established(self) -> None:
        logger.info("bgp peer {peer} established", event="bgp-established", peer=self._address())

    def _connection_ended(self, reason: str) -> None:
        """Back to Idle; connect again after a while."""
        logger.info(
            "bgp connection ended: {reason} peer={peer}",
            event="bgp-connection-ended",
            reason=reason,
            peer=self._address(),
        )
        self.connection = None
        if not self.speaker.closed:
            self.speaker.clock.call_later(CONNECT_RETRY_MS, self.connect)

    def _address(self) -> str:
        host, port = self.settings.address
        return f"{host}:{port}"


class Speaker:
    """All peers, and whether the routes are wanted now."""

    def __init__(self, reactor: Any, clock: Clock, settings: BgpSettings) -> None:
        self.reactor, self.clock, self.settings = reactor, clock, settings
        self.routes_wanted = False
        self.closed = False
        self.peers = [Peer(self, peer_settings) for peer_settings in settings.peers]

    def start(self) -> None:
        """Connect to every peer."""
        for peer in self.peers:
            peer.connect()

    def announce(self, wanted: bool) -> None:
        """Announce the routes, or withdraw them."""
        self.routes_wanted = wanted
        for peer in self.peers:
            peer.want_routes(wanted)

    def close(self) -> None:
        """Withdraw the routes and end every session; none is opened any more."""
        self.announce(False)
        self.closed = True
        for peer in self.peers:
            peer.shut_down()
