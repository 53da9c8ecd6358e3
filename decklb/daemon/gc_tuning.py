"""Tuning of Python's garbage collector: full collections at moments when no request waits for them.

A full collection went through all that was imported, up to 60 ms at a time under load, and answers due then were late.
What exists at the start is set apart; after that full collections are made here, when no request is open, or after a
long time without such a moment. Requests leave no reference cycles behind, so little is left to them.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

from decklb.core.ports import Clock

# Allocations, then collections of the generation below, that start a collection of each generation. The last keeps
# the interpreter from full collections of its own.
GC_THRESHOLDS = (5000, 10, 1_000_000)
# ms between looks whether no request is open.
IDLE_CHECK_INTERVAL_MS = 30_000.0
# ms after which a full collection is made although requests are open.
MAX_COLLECTION_INTERVAL_MS = 900_000.0


class Collector:
    """Makes full collections while the process is idle, and at long last without."""

    def __init__(self, clock: Clock, idle: Callable[[], bool]) -> None:
        self._clock, self._idle = clock, idle
        self._last_collection_ms = clock.now()

    def start(self) -> None:
        """Set apart what exists now, and look from time to time."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._collect_if_idle()

    def _collect_if_idle(self) -> None:
        now = self._clock.now()
        if self._idle() or now - self._last_collection_ms >= MAX_COLLECTION_INTERVAL_MS:
            gc.collect()
            self._last_collection_ms = now
        self._clock.call_later(IDLE_CHECK_INTERVAL_MS, self._collect_if_idle)
