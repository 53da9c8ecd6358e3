"""Tunes Python's garbage collector so that full collections run while no request is open.

Full collections traversed all imported modules, for up to 60 ms at a time under load, and answers due in that time were
late. Therefore the objects that exist at the start are frozen, and afterwards full collections are started here: while
no request is open, or at the latest after MAX_COLLECTION_INTERVAL_MS. Finished requests leave no reference cycles, so
full collections find little.
"""

from __future__ import annotations

import gc
from collections.abc import Callable

from decklb.core.ports import Clock

# Collection thresholds of the three generations: allocations for the first, collections of the generation below for the
# others. The last is so high that the interpreter starts no full collection itself.
GC_THRESHOLDS = (5000, 10, 1_000_000)
# ms between two checks whether no request is open.
IDLE_CHECK_INTERVAL_MS = 30_000.0
# ms since the last full collection after which another one runs even if requests are open.
MAX_COLLECTION_INTERVAL_MS = 900_000.0


class IdleGarbageCollector:
    """Runs full collections while the process is idle, or after a maximum interval."""

    def __init__(self, clock: Clock, is_idle: Callable[[], bool]) -> None:
        self._clock, self._is_idle = clock, is_idle
        self._last_collection_ms = clock.now()

    def start(self) -> None:
        """Freeze the existing objects and start the periodic check."""
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        self._collect_if_idle()

    def _collect_if_idle(self) -> None:
        now = self._clock.now()
        if self._is_idle() or now - self._last_collection_ms >= MAX_COLLECTION_INTERVAL_MS:
            gc.collect()
            self._last_collection_ms = now
        self._clock.call_later(IDLE_CHECK_INTERVAL_MS, self._collect_if_idle)
