"""Logs what was rejected or paused because memory is short, at most one line a second of each kind.

Under a flood the next line that is written says how many were left out. Owned by a listener.
"""

from __future__ import annotations

from loguru import logger

from decklb.core.memory_account import Holder
from decklb.core.ports import Clock

MIN_INTERVAL_MS = 1000.0  # between two lines of one kind


class LineInterval:
    """Admits at most one line in MIN_INTERVAL_MS."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._written_at = -MIN_INTERVAL_MS  # time of the last line in ms
        self._suppressed = 0  # lines left out since then

    def admit(self) -> int | None:
        """Return how many lines were left out since the last one, or None if this one is left out."""
        now = self._clock.now()
        if now - self._written_at < MIN_INTERVAL_MS:
            self._suppressed += 1
            return None
        self._written_at = now
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed


class MemoryLog:
    """Writes the lines."""

    def __init__(self, clock: Clock) -> None:
        self._rejections, self._pauses = LineInterval(clock), LineInterval(clock)

    def request_rejected(self, holder: Holder) -> None:
        """A request was rejected because there is no memory for it."""
        suppressed = self._rejections.admit()
        if suppressed is not None:
            logger.info(
                "request rejected: no memory for it connection={connection} held={held} suppressed={suppressed}",
                event="rejected-for-memory",
                connection=holder.name,
                held=holder.total,
                suppressed=suppressed,
            )

    def reading_paused(self, holder: Holder) -> None:
        """A client is not read any more until it reads its answers, or its messages have been handled."""
        suppressed = self._pauses.admit()
        if suppressed is not None:
            logger.info(
                "reading paused: memory is short connection={connection} held={held} suppressed={suppressed}",
                event="reading-paused",
                connection=holder.name,
                held=holder.total,
                suppressed=suppressed,
            )
