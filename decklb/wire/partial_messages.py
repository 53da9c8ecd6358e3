"""Which of the large messages that are not complete yet is given up when memory is short. No I/O.

A message that is given up is read to its end and discarded, so that the client gets an answer to it. Owned by a
listener; its connections report the progress of their messages.
"""

from __future__ import annotations

from typing import Protocol

from decklb.core.memory_account import MemoryAccount

# ms without progress after which a message is given up before others. A message that arrives at full speed makes
# progress in each pass of the reactor.
STALLED_AFTER_MS = 250.0


class PartialMessage(Protocol):
    """A connection in the middle of a message."""

    def discard_partial(self) -> None:
        """Free what was received of the message, and discard its rest as it arrives."""


class PartialMessages:
    """The large messages in progress of one listener."""

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self._progress_at: dict[PartialMessage, float] = {}  # times in ms, oldest first

    def progressed(self, message: PartialMessage, now: float) -> None:
        """More of a message was received and charged.

        While the account has no room for large messages, those that made no progress for longest are given up, or this
        one if all others are in progress.
        """
        self._progress_at.pop(message, None)
        self._progress_at[message] = now
        while self._account.under_pressure and message in self._progress_at:
            oldest, progress_at = next(iter(self._progress_at.items()))
            given_up = oldest if now - progress_at > STALLED_AFTER_MS else message
            del self._progress_at[given_up]
            given_up.discard_partial()

    def remove(self, message: PartialMessage) -> None:
        """The message is complete, or its connection has ended."""
        self._progress_at.pop(message, None)
