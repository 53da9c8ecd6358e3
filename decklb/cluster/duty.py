"""One periodic duty as an instance holds it, the run of one, and the phase at which it is due."""

from __future__ import annotations

import math
from dataclasses import dataclass

import xxhash

from decklb.cluster.timers import Timer

HASH_RANGE = 4294967296.0  # 2^32


def phase_of(kind: str, subject: str) -> float:
    """The moment in its period at which a duty is due, from 0 to 1, the same whoever owns it."""
    return xxhash.xxh32_intdigest(f"{kind}/{subject}".encode()) / HASH_RANGE


@dataclass(frozen=True, slots=True)
class DutyRun:
    """A run of a duty that is to be started now."""

    kind: str
    subject: str
    term: int


@dataclass(slots=True, eq=False)
class Duty:
    """One duty that this instance owns, or that still runs here. Times are local monotonic ms.

    Attributes:
        subject: what it is about; an engine's id for health checks.
        phase: share of the period at which it is due, 0 to 1.
        term: results of this ownership carry it; the higher of two wins.
        is_owned: false while a run is finished for another owner.
        is_second_opinion: whether it came here because another member declined it.
        is_running: whether a run is under way.
        timer: of the next run.
        last_started: when it was last started.
        consecutive_failures: runs failed in a row.
        last_ok: how the last run ended; None before the first.
        last_ended: when the last run ended.
        failure_reported: when its failing was last reported to the members.
    """

    subject: str
    phase: float
    term: int = 0
    is_owned: bool = False
    is_second_opinion: bool = False
    is_running: bool = False
    timer: Timer | None = None
    last_started: float = -math.inf
    consecutive_failures: int = 0
    last_ok: bool | None = None
    last_ended: float = 0.0
    failure_reported: float = -math.inf


@dataclass(slots=True)
class DutyCounters:
    """Counts since the start.

    Attributes:
        started: runs.
        failed: runs that failed.
        overruns: runs left out because the one before was still under way.
        gained: duties that came to be owned.
        lost: duties that ceased to be owned.
        declined: duties that this instance declined.
    """

    started: int = 0
    failed: int = 0
    overruns: int = 0
    gained: int = 0
    lost: int = 0
    declined: int = 0
