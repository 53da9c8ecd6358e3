"""Pauses and resumes reading of a connection for several reasons at a time."""

from __future__ import annotations

from enum import Enum
from typing import Any


class PauseReason(Enum):
    """Why a connection is not read."""

    TURN = "turn"  # its input waits for a turn
    MEMORY = "memory"  # memory is short


class ReadingSwitch:
    """Reading goes on while there is no reason to pause it."""

    def __init__(self) -> None:
        self._reasons: set[PauseReason] = set()

    @property
    def is_paused(self) -> bool:
        """Whether the connection is not read."""
        return bool(self._reasons)

    def pause(self, transport: Any, reason: PauseReason) -> bool:
        """Pause reading for a reason; returns whether the reason is new."""
        if reason in self._reasons:
            return False
        if not self._reasons:
            transport.pauseProducing()
        self._reasons.add(reason)
        return True

    def resume(self, transport: Any, reason: PauseReason) -> None:
        """The reason has gone."""
        if reason in self._reasons:
            self._reasons.discard(reason)
            if not self._reasons:
                transport.resumeProducing()
