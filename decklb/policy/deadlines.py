"""Deadlines: when a request can no longer be served in time to earn anything.

No state; asked by the gateway at arrival and at each scan, and by the retry budget.
"""

from __future__ import annotations

from decklb.policy.constants import SCAN_TICKS
from decklb.policy.records import Request


def is_hopeless(request: Request, now: float, tick_ms: float) -> bool:
    """Whether its deadline is too near, or its objective is past and late answers earn nothing."""
    spent = now - request.arrived_at
    needed = max(SCAN_TICKS * tick_ms * 1.5, request.expected_run_ms() / 2)
    return (
        request.arrival.time_left_ms - spent <= needed
        or request.spec.late_priority_weight <= 0
        and spent > request.spec.latency_objective_ms
    )
