"""The TCP connection of a BGP session: feeds the session with messages, and reports its end to the peer's owner.

Made by `decklb.bgp.speaker.Peer` for each attempt to connect. All decisions are `decklb.bgp.session.Session`'s.
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
    """One connection to a peer."""

    transport: Any  # Zope's interfaces say nothing to the type checker

    def __init__(self, session: Session, on_ended: Callable[[str], None]) -> None:
        """`on_ended` is called with the reason once the connection has ended."""
        self.session = session
        self._on_ended = on_ended
        self._reader = MessageReader()

    def connectionMade(self) -> None:
        """Start the session."""
        self.session.start(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Messages, split anywhere. What comes after the end of the session is discarded."""
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
