"""The TCP connection of a BGP session: passes messages to the session and reports the end of the connection.

Created by `decklb.bgp.speaker.Peer` for each attempt to connect. `decklb.bgp.session.Session` makes all decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from decklb.bgp.errors import BgpError
from decklb.bgp.messages import MessageReader
from decklb.bgp.session import Session


class PeerConnection(Protocol):
    """A connection to a peer."""

    transport: Any  # the type checker can't read zope's interfaces

    def __init__(self, session: Session, on_ended: Callable[[str], None]) -> None:
        """`on_ended` is called with the reason when the connection has ended."""
        self.session = session
        self._on_ended = on_ended
        self._reader = MessageReader()

    def connectionMade(self) -> None:
        """Start the session."""
        self.session.start(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Handle a chunk of the byte stream. Messages after the end of the session are discarded."""
        try:
            for message in self._reader.feed(data):
                if self.session.open:
                    self.session.receive(message)
        except BgpError as error:
            self.session.fail(error)

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Stop the session's timers and report the end."""
        self.session.connection_ended()
        self._on_ended(self.session.end_reason)
