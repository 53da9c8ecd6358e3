"""Requests and their attempts, from arrival until the last attempt has ended.

Records without decisions: the gateway makes them, the mechanisms read and mark them. Times are ms on the
gateway's monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from decklb.interface import Arrival, ClassSpec, Outcome
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.constants import LONG_AGO

if TYPE_CHECKING:
    from decklb.policy.engines import Engine
    from decklb.policy.queueing import Tenant

NEVER_EXECUTED = (Outcome.FULL, Outcome.NOCONN, Outcome.NOP)
UNCERTAIN = (Outcome.LATE, Outcome.RST, Outcome.CXL)  # the engine may still be at work on the attempt
MIN_RELATIVE_SIZE = 0.1  # times the usual of its class: estimates scatter, so they count within bounds
MAX_RELATIVE_SIZE = 10.0  # likewise


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of a request to an engine."""

    request: Request
    number: int  # 0 for the first
    engine: Engine
    sent_at: float
    size_step: float = 1.0  # relative size of its request, rounded to a power of two
    outcome: Outcome | None = None  # None while in flight
    presumed_lost: bool = False
    last_progress_at: float = LONG_AGO
    confirmed: bool = False  # the engine itself vouches for the outcome

    @property
    def is_uncertain(self) -> bool:
        """Whether its engine may still be at work on it, for all that is known here."""
        return self.outcome in UNCERTAIN or not self.confirmed


@dataclass(slots=True, eq=False)
class Request:
    """An accepted request until its last attempt has ended."""

    arrival: Arrival
    spec: ClassSpec
    statistics: ClassStatistics
    tenant: Tenant
    arrived_at: float
    sequence: int  # order of arrival
    over_quota: bool = False
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False  # answered, or its client has gone
    queued: bool = False
    streaming: bool = False  # its answer has begun
    order_offset: float = 0.0  # 0 to 1: where in the order of engines it starts, by chance
    awaits_reports_since: float = 0.0  # 0 while it does not
    allowed_zones: Collection[str] | None = None  # those of its class and of its arrival; None for any

    def __post_init__(self) -> None:
        own, class_zones = self.arrival.zones, self.spec.zones
        if own is None or class_zones is None:
            self.allowed_zones = class_zones if own is None else own
        else:
            self.allowed_zones = [zone for zone in class_zones if zone in own]

    def is_in_flight(self) -> bool:
        """Whether an attempt still lacks its outcome."""
        return any(attempt.outcome is None for attempt in self.attempts)

    def first_executed(self) -> Attempt | None:
        """The first attempt that is in flight or may have been executed."""
        return next((attempt for attempt in self.attempts if attempt.outcome not in NEVER_EXECUTED), None)

    def relative_size(self) -> float:
        """Its estimated cost over the mean of its class, within bounds; 1 where there is no estimate."""
        if self.arrival.cost <= 0:
            return 1.0
        return min(
            MAX_RELATIVE_SIZE, max(MIN_RELATIVE_SIZE, self.statistics.relative_size(self.arrival.cost))
        )

    def size_step(self) -> float:
        """The relative size, rounded to a power of two."""
        return 2.0 ** round(math.log2(self.relative_size()))

    def expected_run_ms(self) -> float:
        """How long an attempt usually runs."""
        run_ms = self.statistics.run_ms
        return run_ms * self.relative_size() if self.arrival.cost > 0 else run_ms

    def expected_work_ms(self) -> float:
        """How much work on one thread it usually takes."""
        return self.statistics.work_ms * self.relative_size()

    def latency_objective_ms(self) -> float:
        """The class's latency objective, longer for larger queries where the class says so."""
        return self.spec.aim + self.spec.stretch * self.expected_work_ms() / self.spec.threads
