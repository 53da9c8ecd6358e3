"""The world that measurements and examples start from: three classes, two tenants, engines of 8 cores that differ."""

from __future__ import annotations

from decklb.lab.emulation.emulated_world import World
from decklb.lab.emulation.workload import Class, Tenant, Workload

CLASSES = (
    Class("consulta", 0.8, 100.0, 1000.0, 5000.0, yields=True),
    Class(
        "informe",
        0.15,
        800.0,
        2500.0,
        8000.0,
        worth=4.0,
        late_worth=0.4,
        threads=4,
        io=0.4,
        memory=400.0,
        runaway=0.01,
        yields=True,
    ),
    Class(
        "carga",
        0.05,
        400.0,
        3000.0,
        8000.0,
        worth=3.0,
        late_worth=0.5,
        threads=2,
        effect="at_most_once",
        serial=True,
        keys=200,
        holds=True,
    ),
)
TENANTS = (Tenant("cusco", 0.7), Tenant("ayacucho", 0.3))


def world(managers: int, engines: int, rate: float, span: float, policy: str = "decklb") -> World:
    """At 25 requests a second an engine, engines are about two thirds busy."""
    return World(Workload(rate, CLASSES, TENANTS, retries=1), managers, engines, span=span, uneven=0.2, policy=policy)
