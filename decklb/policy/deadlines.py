"""Deadlines: whether a request can still be answered in time for its answer to have any value.

Stateless. The gateway calls this on arrival and at each scan, the retry budget before each retry.
"""

from __future__ import annotations

from decklb.policy.constants import SCAN_TICKS
from decklb.policy.records import Request


def is_too_late(request: Request, now: float, tick_ms: float) -> bool:
    """Return whether the deadline is too near, or the objective has passed and late answers have no value."""
    elapsed_ms = now - request.arrived_at
    min_remaining_ms = max(SCAN_TICKS * tick_ms * 1.5, request.expected_run_ms() / 2)
    return (
        request.arrival.time_left_ms - elapsed_ms <= min_remaining_ms
        or request.spec.late_priority_weight <= 0
        and elapsed_ms > request.spec.latency_objective_ms
    )
