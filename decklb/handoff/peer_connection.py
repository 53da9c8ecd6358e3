"""A TCP connection to another member: greetings, sealed frames and replay protection.

Each side sends a greeting with its own nonce as soon as the connection is open. Every later frame carries the
receiver's nonce and the next sequence number. The first of these frames, which may be empty, proves that its sender
read the greeting, and establishes the connection. `HandoffService` owns the connections and handles what they receive.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.protocol import Factory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from decklb.cluster.errors import WireError
from decklb.handoff import messages
from decklb.handoff.errors import FrameError

if TYPE_CHECKING:
    from decklb.handoff.runtime import HandoffService

NONCE_BYTES = 16
MAX_MEMORY_AGE_MS = 1e12  # largest value that a greeting can carry


class PeerConnection(Int32StringReceiver):
    """One connection, opened by this member or accepted."""

    MAX_LENGTH = messages.MAX_FRAME_BYTES
    transport: Any

    def __init__(self, service: HandoffService, expected_peer: str = "") -> None:
        """`expected_peer` is the member that this member connects to; "" for an accepted connection."""
        self.service = service
        self.peer = expected_peer  # the expected peer, then the member named in the greeting
        self.established = False
        self.last_received_ms = service.clock.now()
        self._nonce = os.urandom(NONCE_BYTES)
        self._greeting: messages.Greeting | None = None  # the peer's greeting
        self._closed = False
        self._write_paused = False
        self._sent_sequence = 0
        self._received_sequence = 0
        self._end_reason = "peer-closed"

    @property
    def greeting(self) -> messages.Greeting:
        """The peer's greeting; available once it was received."""
        assert self._greeting is not None
        return self._greeting

    @property
    def unsent_bytes(self) -> int:
        """Number of buffered bytes that the peer is too slow to read."""
        return len(self.transport.dataBuffer) if self._write_paused else 0

    def connectionMade(self) -> None:
        """Twisted: the connection is up."""
        self.service.connections.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        coordinator = self.service.coordinator
        memory_age_ms = self.service.clock.now() - coordinator.memory.since_ms
        greeting = messages.Greeting(
            messages.PROTOCOL_VERSION,
            coordinator.member,
            coordinator.incarnation,
            coordinator.memory.memory_id,
            min(MAX_MEMORY_AGE_MS, memory_age_ms),
            self._nonce,
        )
        self._send_frame(messages.encode_message(greeting))

    def pauseProducing(self) -> None:
        """Twisted: the peer reads too slowly."""
        self._write_paused = True

    def resumeProducing(self) -> None:
        """Twisted: all buffered bytes have been written."""
        self._write_paused = False

    def stopProducing(self) -> None:
        """Twisted: the connection is ending."""

    def _send_frame(self, plain: bytes) -> None:
        self.sendString(self.service.sealer.seal(plain))  # type: ignore[no-untyped-call]

    def send_messages(self, encoded: list[bytes]) -> None:
        """Send encoded messages in order; for an empty list send one empty frame."""
        for start in range(0, max(1, len(encoded)), messages.MAX_MESSAGES):
            self._sent_sequence += 1
            chunk = encoded[start : start + messages.MAX_MESSAGES]
            self._send_frame(messages.encode_envelope(self.greeting.nonce, self._sent_sequence, chunk))

    def stringReceived(self, data: bytes) -> None:
        """Twisted: a complete frame was received."""
        if self._closed:
            return
        try:
            plain = self.service.sealer.open(data)
            if self._greeting is None:
                self._on_greeting(messages.decode_greeting(plain))
                return
            envelope = self._check_replay(messages.decode_envelope(plain))
        except (FrameError, WireError) as error:
            self.abort(f"bad-frame: {error}")
            return
        self.last_received_ms = self.service.clock.now()
        if not self.established:
            self.established = True
            self.service.on_established(self)
        self.service.on_messages(self, envelope.messages)

    def _check_replay(self, envelope: messages.Envelope) -> messages.Envelope:
        self._received_sequence += 1
        if envelope.nonce != self._nonce or envelope.sequence != self._received_sequence:
            raise FrameError("replay")
        return envelope

    def _on_greeting(self, greeting: messages.Greeting) -> None:
        is_self = greeting.member == self.service.coordinator.member
        if is_self or (self.peer and greeting.member != self.peer):
            self.abort(f"other-member: {greeting.member}")
            return
        self._greeting, self.peer = greeting, greeting.member
        self.send_messages([])  # proves that this side read the greeting; a greeting alone could be a replay

    def lengthLimitExceeded(self, length: int) -> None:
        """Twisted: a frame exceeds the size limit."""
        self.abort("too-long")

    def abort(self, reason: str) -> None:
        """Abort the connection; `reason` is for the log."""
        if not self._closed:
            self._closed, self._end_reason = True, reason
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Twisted: the connection has ended."""
        self._closed = True
        self.service.on_closed(self)
        logger.info(
            "handoff connection ended: {reason} member={member}",
            event="handoff-connection-ended",
            reason=self._end_reason,
            member=self.peer or "?",
        )


class PeerConnectionFactory(Factory):
    """Creates a `PeerConnection` for each accepted connection."""

    noisy = False

    def __init__(self, service: HandoffService) -> None:
        self.service = service

    def buildProtocol(self, addr: Any) -> PeerConnection:
        """Twisted: a connection was accepted."""
        return PeerConnection(self.service)
