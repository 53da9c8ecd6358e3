"""The default emulated world, which measurements, examples and tests start from.

It has three request classes (short queries, reports and data loads), two tenants, and engines with 8 cores and
different speeds.
"""

from __future__ import annotations

from decklb.interface import Effect
from decklb.lab.emulation.emulated_world import EmulatedWorld
from decklb.lab.emulation.workload import RequestClass, Tenant, Workload

SPEED_SIGMA = 0.2  # sigma of the lognormal distribution of engine speeds

SHORT_QUERY = RequestClass(
    "consulta",
    arrival_share=0.8,
    mean_work_ms=100.0,
    latency_objective_ms=1000.0,
    deadline_ms=5000.0,
    waits_for_loads=True,
)
REPORT = RequestClass(
    "informe",
    arrival_share=0.15,
    mean_work_ms=800.0,
    latency_objective_ms=2500.0,
    deadline_ms=8000.0,
    priority_weight=4.0,
    late_priority_weight=0.4,
    threads=4,
    io_share=0.4,
    memory_mb=400.0,
    bad_plan_share=0.01,
    waits_for_loads=True,
)
LOAD = RequestClass(
    "carga",
    arrival_share=0.05,
    mean_work_ms=400.0,
    latency_objective_ms=3000.0,
    deadline_ms=8000.0,
    priority_weight=3.0,
    late_priority_weight=0.5,
    threads=2,
    effect=Effect.UNSAFE,
    ordered_by_key=True,
    distinct_keys=200,
    locks_tables=True,
)
CLASSES = (SHORT_QUERY, REPORT, LOAD)
TENANTS = (Tenant("cusco", 0.7), Tenant("ayacucho", 0.3))


def world(
    managers: int, engines: int, requests_per_second: float, duration_ms: float, policy: str = "decklb"
) -> EmulatedWorld:
    """Return the default world in the given size.

    At 25 requests per second for each engine, the utilization of the engines is about two thirds.
    """
    return EmulatedWorld(
        Workload(requests_per_second, CLASSES, TENANTS, client_retries=1),
        managers,
        engines,
        duration_ms=duration_ms,
        speed_sigma=SPEED_SIGMA,
        policy=policy,
    )
