"""Logs resident memory, what connections hold and how input is handled.

Owned by the service. One line a minute, and at most one line a second when the account of held memory passes a mark.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from loguru import logger

from decklb.core.memory_account import HeldKind, MemoryAccount
from decklb.core.ports import Clock
from decklb.wire.input_turns import InputTurns
from decklb.wire.memory_log import LineInterval

INTERVAL_MS = 60_000.0  # between two lines
LISTED_HOLDERS = 3  # largest holders that a line names
BYTES_PER_MB = 1 << 20
STATM_RESIDENT_FIELD = 1  # of /proc/self/statm, in pages; proc(5)


def resident_mb() -> float:
    """Return the resident memory of this process in MB; 0 if the system does not say."""
    try:
        with open("/proc/self/statm") as file:
            pages = int(file.read().split()[STATM_RESIDENT_FIELD])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB


class ResourceMonitor:
    """Writes the lines."""

    def __init__(
        self,
        clock: Clock,
        account: MemoryAccount,
        turns: InputTurns,
        resident: Callable[[], float] = resident_mb,
    ) -> None:
        """`resident` returns the resident memory in MB."""
        self._clock, self._account, self._turns, self._resident = clock, account, turns, resident
        self._marks = LineInterval(clock)

    def start(self) -> None:
        """Begin to report."""
        self._account.on_mark = self._mark_passed
        self._clock.call_later(INTERVAL_MS, self._report)

    def _report(self) -> None:
        logger.info(
            "resources: resident={resident_mb}MB held={held} limit={limit} most_held={most_held} "
            "cut_short={cut_short} longest_pass={longest_pass_ms}ms",
            event="resources",
            resident_mb=round(self._resident(), 1),
            held=self._account.total,
            limit=self._account.limit_bytes,
            most_held=self._account.peak,
            cut_short=self._turns.cut_short,
            longest_pass_ms=round(self._turns.longest_pass_ms, 1),
        )
        self._account.peak = self._account.total
        self._turns.cut_short, self._turns.longest_pass_ms = 0, 0.0
        self._clock.call_later(INTERVAL_MS, self._report)

    def _mark_passed(self, share: float) -> None:
        suppressed = self._marks.admit()
        if suppressed is None:
            return
        by_kind = ",".join(f"{kind.name.lower()}:{self._account.by_kind[kind]}" for kind in HeldKind)
        largest = ",".join(f"{holder.name}:{holder.total}" for holder in self._account.largest(LISTED_HOLDERS))
        logger.warning(
            "memory: connections hold {percent}% of what they may: held={held} limit={limit} by_kind={by_kind} "
            "largest={largest} resident={resident_mb}MB suppressed={suppressed}",
            event="memory-account",
            percent=round(100 * share),
            held=self._account.total,
            limit=self._account.limit_bytes,
            by_kind=by_kind,
            largest=largest,
            resident_mb=round(self._resident(), 1),
            suppressed=suppressed,
        )
