"""Garbage collection at moments of our choosing."""

from __future__ import annotations

import gc
from collections.abc import Callable

from decklb.core.ports import Clock

# A full garbage collection went through all that was imported, up to 60 ms at a time under load, and answers due
# then were late. What exists at the start is set apart; after that full collections are made here, when no request
# is open, or after a long time without such a moment. Requests leave no circles behind, so little is left to them.
COLLECT = (5000, 10, 1_000_000)
IDLE_COLLECT, FORCED_COLLECT = 30_000.0, 900_000.0  # ms between looks; at the latest


class Collector:
    """Full collections while `idle()` holds, and at long last without."""

    def __init__(self, clock: Clock, idle: Callable[[], bool]) -> None:
        self.clock, self.idle = clock, idle
        self.last = clock.now()

    def start(self) -> None:
        """Set apart what exists now, and look from time to time."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(*COLLECT)
        self._look()

    def _look(self) -> None:
        now = self.clock.now()
        if self.idle() or now - self.last >= FORCED_COLLECT:
            gc.collect()
            self.last = now
        self.clock.call_later(IDLE_COLLECT, self._look)
