"""The endpoint list under the plan."""

from decklb.interface import Endpoint, Phase
from decklb.maintenance.endpoint_overlay import EndpointOverlay
from decklb.maintenance.plan import Job, Machine, Plan, Stage


def plan_with(**stages):
    return Plan((Job("j", "", 0, tuple(Machine(name, "z", stage) for name, stage in stages.items())),))


def entry(name, phase=Phase.UP, ready_at=0):
    return Endpoint(name, "z", "k", 0, phase, started_at_ms=ready_at)


def test_unavailable_engines_drain_and_returned_ones_start_slowly_from_when_they_were_seen():
    overlay, plan = EndpointOverlay(), plan_with(e0=Stage.OUT, e1=Stage.WARMING)
    assert overlay.follow(1000.0, plan, plan.unavailable_machines())
    assert not overlay.follow(2000.0, plan, plan.unavailable_machines())  # nothing new
    entries = [entry("e0"), entry("e1"), entry("e2")]
    assert overlay.apply(entries, plan.unavailable_machines()) == [
        entry("e0", Phase.DRAINING),
        entry("e1", ready_at=1000.0),
        entry("e2"),
    ]
    done = plan_with(e0=Stage.DONE, e1=Stage.DONE)
    assert overlay.follow(3000.0, done, frozenset())
    assert overlay.apply(entries, frozenset()) == entries
