"""The changes of the plan to the endpoint list."""

from decklb.interface import Endpoint, Phase
from decklb.maintenance.endpoint_overlay import EndpointOverlay
from decklb.maintenance.plan import Job, Machine, Plan, Stage


def plan_with(**stages):
    return Plan((Job("j", "", 0, tuple(Machine(name, "z", stage) for name, stage in stages.items())),))


def endpoint(name, phase=Phase.UP, started_at=0):
    return Endpoint(name, "z", "k", 0, phase, started_at_ms=started_at)


def test_unavailable_engines_drain_and_returned_ones_slow_start_from_when_they_were_seen_warming():
    overlay, plan = EndpointOverlay(), plan_with(e0=Stage.OUT, e1=Stage.WARMING)
    assert overlay.update_plan(1000.0, plan, plan.unavailable_machines())
    assert not overlay.update_plan(2000.0, plan, plan.unavailable_machines())  # no change
    endpoints = [endpoint("e0"), endpoint("e1"), endpoint("e2")]
    assert overlay.apply(endpoints, plan.unavailable_machines()) == [
        endpoint("e0", Phase.DRAINING),
        endpoint("e1", started_at=1000.0),
        endpoint("e2"),
    ]
    done = plan_with(e0=Stage.DONE, e1=Stage.DONE)
    assert overlay.update_plan(3000.0, done, frozenset())
    assert overlay.apply(endpoints, frozenset()) == endpoints
