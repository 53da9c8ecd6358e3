"""Members that carry out a plan together on a simulated network that loses datagrams."""

from decklb.maintenance.errors import MaintenanceError
from decklb.maintenance.fleet_observer import manager_machine
from decklb.maintenance.plan import Plan, Stage
from tests.maintenance_fleet import Fleet, request, stages


def simulate_maintenance(fleet, kill_driver):
    """Return the list of machines taken out so far, and a function for `Fleet.run` that simulates the maintenance work.

    Each machine that is out goes down and returns. If `kill_driver` is not empty, the driver ends once, when the second
    machine is out.
    """
    taken_out = []

    def on_step():
        plan = max((fleet.members[n].plan for n in fleet.names if n not in fleet.dead), key=lambda p: p.step_count)
        out = [m for j in plan.jobs for m in j.machines if m.stage is Stage.OUT]
        fleet.unreachable = {m.name for m in out if not m.seen_down}
        taken_out.extend(m.name for m in out if m.name not in taken_out)
        if kill_driver and out and not fleet.dead and len(taken_out) == 2:
            name = fleet.members["m0"].driver
            fleet.dead.add(name)
            kill_driver.clear()

    return taken_out, on_step


def test_each_machine_is_taken_out_once_although_the_driver_is_lost():
    for seed in range(8):
        fleet, results = Fleet(seed), []
        fleet.run(1500)
        fleet.members["m1"].request_maintenance(request("j", "a", "b0", reason="why"), fleet.now + 5000, results.append)
        taken_out, on_step = simulate_maintenance(fleet, [True])
        fleet.run(20_000, on_step)
        assert len(fleet.dead) == 1
        alive = [fleet.members[n] for n in fleet.names if n not in fleet.dead]
        assert [set(stages(member.plan).values()) for member in alive] == [{"done"}] * 2, seed
        assert (taken_out, alive[0].plan.step_count) == (["a0", "a1", "b0"], 12)
        assert isinstance(results[0], Plan)


def test_of_two_simultaneous_overlapping_requests_one_is_rejected():
    fleet, results = Fleet(3), {}
    fleet.run(1500)
    for name, targets in (("m0", ["a"]), ("m2", ["a1", "b"])):
        fleet.members[name].request_maintenance(
            request(name, *targets), fleet.now + 5000, lambda result, n=name: results.setdefault(n, result)
        )
    fleet.run(3000)
    assert sorted(isinstance(result, MaintenanceError) for result in results.values()) == [False, True]
    assert len(fleet.members["m1"].plan.jobs) == 1


def test_a_machine_drains_until_no_member_has_work_in_flight_there():
    fleet = Fleet(4)
    fleet.run(1500)
    fleet.in_flight = {"a0": 2}
    fleet.members["m0"].request_maintenance(request("j", "a0"), fleet.now + 5000, lambda _plan: None)
    fleet.run(1500)
    assert stages(fleet.members["m1"].plan) == {"a0": "draining"}
    assert fleet.members["m2"].unavailable_machines() == {"a0"}
    fleet.in_flight = {}
    fleet.run(800)
    assert stages(fleet.members["m1"].plan) == {"a0": "out"}


def test_a_machine_has_returned_if_it_was_down_only_while_the_driver_was_recovering():
    """A driver that has just restarted does no steps while it recovers, so it must learn of the outage from reports."""
    fleet = Fleet(6)
    fleet.run(1500)
    fleet.members["m0"].request_maintenance(request("j", "a0"), fleet.now + 5000, lambda _plan: None)
    while {stages(member.plan).get("a0") for member in fleet.members.values()} != {"out"}:
        assert fleet.now < 9000.0
        fleet.run(50)
    driver = fleet.members["m0"].driver
    fleet.members[driver] = fleet.start_member(driver)  # the new process does no steps until it has recovered
    fleet.unreachable = {"a0"}
    fleet.run(150)
    fleet.unreachable = set()
    fleet.run(3000)
    assert {stages(member.plan)["a0"] for member in fleet.members.values()} == {"done"}


def test_after_a_members_restart_work_in_flight_is_uncertain_for_the_drain_timeout():
    fleet = Fleet(8)
    fleet.run(4000)

    def in_flight_certain(name):
        member = fleet.members[name]
        return member.fleet_status(fleet.now, 0.0, member.plan).in_flight_certain

    assert in_flight_certain("m0")
    fleet.members["m2"] = fleet.start_member("m2")
    fleet.run(1500)
    assert (in_flight_certain("m0"), in_flight_certain("m2")) == (False, False)
    fleet.run(2000)
    assert (in_flight_certain("m0"), in_flight_certain("m2")) == (True, True)


def test_a_machine_is_reachable_or_seen_down_only_by_reports_of_a_majority():
    """A member that receives no reports for a moment sees no engine down, and must not take that for a return."""
    fleet = Fleet(7)
    fleet.run(1500)
    member = fleet.members["m0"]
    assert member.fleet_status(fleet.now, 0.0, member.plan).machines["a0"].reachable
    without_reports = member.fleet_status(fleet.now + 2000.0, 0.0, member.plan).machines["a0"]
    assert (without_reports.reachable, without_reports.seen_down) == (False, False)


def test_a_manager_restarts_once_when_the_plan_requires_it():
    fleet, restarts = Fleet(5), []
    fleet.run(1500)
    fleet.members["m0"].request_maintenance(request("j", manager_machine("m1")), fleet.now + 5000, lambda _plan: None)

    def on_step():
        if fleet.members["m1"].claim_restart():
            restarts.append(fleet.now)
            fleet.members["m1"] = fleet.start_member("m1")

    fleet.run(6000, on_step)
    assert (len(restarts), stages(fleet.members["m2"].plan)) == (1, {manager_machine("m1"): "done"})
