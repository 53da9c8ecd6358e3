"""The state of one periodic duty at an instance, a run of a duty, and the phase at which a duty is due."""

from __future__ import annotations

import math
from dataclasses import dataclass

import xxhash

from decklb.cluster.timers import Timer

HASH_RANGE = 4294967296.0  # 2^32


def phase_of(kind: str, subject: str) -> float:
    """Return when in its period a duty is due, as a fraction from 0 to 1 that does not depend on the owner."""
    return xxhash.xxh32_intdigest(f"{kind}/{subject}".encode()) / HASH_RANGE


@dataclass(frozen=True, slots=True)
class DutyRun:
    """A request to run a duty now."""

    kind: str
    subject: str
    term: int


@dataclass(slots=True, eq=False)
class Duty:
    """One duty that this instance owns, or that still runs here. Times are local monotonic ms.

    Attributes:
        subject: what the duty is performed on; for health checks the id of an engine.
        phase: fraction of the period at which the duty is due, 0 to 1.
        term: carried by the results of this ownership; of two results the one with the higher term wins.
        is_owned: False while a run is in progress that started before ownership was lost.
        is_second_opinion: whether this instance owns the duty because another member declined it.
        is_running: whether a run is in progress.
        timer: fires when the next run is due.
        last_started: start of the last run.
        consecutive_failures: number of failed runs since the last success.
        last_ok: whether the last run succeeded; None before the first run.
        last_ended: end of the last run.
        last_reported: when a status was last reported to the members.
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
    last_reported: float = -math.inf


@dataclass(slots=True)
class DutyCounters:
    """Counts since the start of the instance.

    Attributes:
        started: runs started.
        failed: runs that failed.
        overruns: runs skipped because the previous one was still in progress.
        gained: duties acquired.
        lost: duties released.
        declined: declines by this instance.
    """

    started: int = 0
    failed: int = 0
    overruns: int = 0
    gained: int = 0
    lost: int = 0
    declined: int = 0
