"""The BGP speaker: maintains a connection to each configured peer and announces the same routes to all of them.

The routes are announced while the program is ready and withdrawn when it drains. Owns the list of peers and whether
the routes should be announced. `decklb.daemon.service` starts it, notifies it of readiness changes and closes it.
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
        self.connection: PeerConnection | None = None  # also while it is being established

    def connect(self) -> None:
        """Open a connection: the transition from Idle to Connect (RFC 4271, section 8.2.2)."""
        if self.speaker.closed:
            return
        connection = self.connection = self.new_connection()
        factory: Any = Factory.forProtocol(lambda: connection)
        factory.noisy = False
        host, port = self.settings.address
        endpoint = TCP4ClientEndpoint(self.speaker.reactor, host, port, CONNECT_TIMEOUT_S)
        endpoint.connect(factory).addErrback(self._connect_failed)

    def new_connection(self) -> PeerConnection:
        """Return a connection that has not been opened yet."""
        speaker = self.speaker
        session = Session(
            speaker.settings, self.settings, speaker.clock, speaker.should_announce, self._session_established
        )
        return PeerConnection(session, self._connection_ended)

    def set_announcement(self, enabled: bool) -> None:
        """Announce or withdraw the routes in the current session, if any; later sessions read `should_announce`."""
        if self.connection is not None:
            self.connection.session.set_announcement(enabled)

    def shut_down(self) -> None:
        """End the current session, if any."""
        if self.connection is not None and self.connection.session.open:
            self.connection.session.shut_down()

    def _connect_failed(self, reason: Failure) -> None:
        self._connection_ended("no-connection")

    def _session_established(self) -> None:
        logger.info("bgp peer {peer} established", event="bgp-established", peer=self._address())

    def _connection_ended(self, reason: str) -> None:
        """Return to Idle and schedule the next attempt to connect."""
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
    """All peers, and whether the routes should be announced now."""

    def __init__(self, reactor: Any, clock: Clock, settings: BgpSettings) -> None:
        self.reactor, self.clock, self.settings = reactor, clock, settings
        self.should_announce = False
        self.closed = False
        self.peers = [Peer(self, peer_settings) for peer_settings in settings.peers]

    def start(self) -> None:
        """Connect to every peer."""
        for peer in self.peers:
            peer.connect()

    def announce(self, enabled: bool) -> None:
        """Announce or withdraw the routes at all peers."""
        self.should_announce = enabled
        for peer in self.peers:
            peer.set_announcement(enabled)

    def close(self) -> None:
        """Withdraw the routes, end all sessions and open no new ones."""
        self.announce(False)
        self.closed = True
        for peer in self.peers:
            peer.shut_down()
