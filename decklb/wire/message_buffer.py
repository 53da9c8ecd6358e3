"""Splits a byte stream into messages that state their length, and can discard one as it arrives. No I/O.

The fronts' readers say where a message ends (`net.frames`, `pg.messages`).
"""

from __future__ import annotations

from typing import Generic, TypeVar

MessageT = TypeVar("MessageT")

# An incomplete message of which this many bytes were received is larger than what usually comes at once.
RECEIVED_AT_ONCE_BYTES = 8192


class MessageBuffer(Generic[MessageT]):
    """Received bytes that belong to no returned message.

    Attributes:
        buffer: The bytes.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self._discarding: MessageT | None = None  # the message whose bytes are not kept
        self._bytes_to_discard = 0  # of it that are still to come

    def partial_size(self) -> int:
        """Return the size in bytes of the message that begins the buffer; 0 while it is not known.

        Raises the reader's error if it is out of bounds.
        """
        raise NotImplementedError

    def without_bytes(self) -> MessageT:
        """Return the message that begins the buffer, and whose size is known, as a discarded one."""
        raise NotImplementedError

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        if self._bytes_to_discard:
            discarded = min(self._bytes_to_discard, len(data))
            self._bytes_to_discard -= discarded
            data = data[discarded:]
        self.buffer += data

    def discard_partial(self) -> None:
        """Drop the incomplete message, whose size is known, and what is still to come of it.

        It is returned without its bytes when its last byte has arrived.
        """
        self._discarding = self.without_bytes()
        self._bytes_to_discard = self.partial_size() - len(self.buffer)
        self.buffer = bytearray()

    def take_discarded(self) -> MessageT | None:
        """Return the discarded message, once its last byte has arrived."""
        if self._bytes_to_discard:
            return None
        message, self._discarding = self._discarding, None
        return message

    @property
    def is_discarding(self) -> bool:
        """Whether a message is discarded that was not returned yet."""
        return self._discarding is not None

    @property
    def has_partial(self) -> bool:
        """Whether a message has begun that was not returned yet."""
        return bool(self.buffer) or self.is_discarding

    @property
    def is_receiving_large(self) -> bool:
        """Whether the message that begins the buffer is incomplete, and larger than what is received at once."""
        if self.is_discarding:
            return self._bytes_to_discard > 0
        return len(self.buffer) >= RECEIVED_AT_ONCE_BYTES and len(self.buffer) < self.partial_size()
