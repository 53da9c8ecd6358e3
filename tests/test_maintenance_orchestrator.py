"""Members that carry out a plan together, on a simulated network that loses datagrams."""

from decklb.maintenance.errors import MaintenanceError
from decklb.maintenance.fleet_observer import manager_machine
from decklb.maintenance.plan import Plan, Stage
from tests.maintenance_fleet import Fleet, request, stages


def carry_out(fleet, kill_driver):
    """Each machine that is out goes down and comes back; the driver dies once in the middle, if asked to."""
    went = []

    def watch():
        plan = max((fleet.nodes[n].plan for n in fleet.names if n not in fleet.dead), key=lambda p: p.step_count)
        out = [x for j in plan.jobs for x in j.machines if x.stage is Stage.OUT]
        fleet.down = {x.name for x in out if not x.seen_down}
        went.extend(x.name for x in out if x.name not in went)
        if kill_driver and out and not fleet.dead and len(went) == 2:
            name = fleet.nodes["m0"].driver
            fleet.dead.add(name)
            kill_driver.clear()

    return went, watch


def test_a_plan_is_carried_out_once_through_the_loss_of_its_driver():
    for seed in range(8):
        fleet, results = Fleet(seed), []
        fleet.run(1500)
        fleet.nodes["m1"].request_maintenance(request("j", "a", "b0", reason="why"), fleet.now + 5000, results.append)
        went, watch = carry_out(fleet, [True])
        fleet.run(20_000, watch)
        assert len(fleet.dead) == 1
        alive = [fleet.nodes[n] for n in fleet.names if n not in fleet.dead]
        assert [set(stages(member.plan).values()) for member in alive] == [{"done"}] * 2, seed
        assert (went, alive[0].plan.step_count) == (["a0", "a1", "b0"], 12)
        assert isinstance(results[0], Plan)


def test_of_two_overlapping_requests_at_once_one_is_rejected():
    fleet, results = Fleet(3), {}
    fleet.run(1500)
    for name, targets in (("m0", ["a"]), ("m2", ["a1", "b"])):
        fleet.nodes[name].request_maintenance(
            request(name, *targets), fleet.now + 5000, lambda x, n=name: results.setdefault(n, x)
        )
    fleet.run(3000)
    assert sorted(isinstance(x, MaintenanceError) for x in results.values()) == [False, True]
    assert len(fleet.nodes["m1"].plan.jobs) == 1


def test_a_machine_drains_until_no_member_has_work_in_flight_there():
    fleet = Fleet(4)
    fleet.run(1500)
    fleet.busy = {"a0": 2}
    fleet.nodes["m0"].request_maintenance(request("j", "a0"), fleet.now + 5000, lambda _plan: None)
    fleet.run(1500)
    assert stages(fleet.nodes["m1"].plan) == {"a0": "draining"}
    assert fleet.nodes["m2"].unavailable_machines() == {"a0"}
    fleet.busy = {}
    fleet.run(800)
    assert stages(fleet.nodes["m1"].plan) == {"a0": "out"}


def test_a_machine_down_for_a_moment_while_the_driver_recovered_has_returned():
    """Its driver had just restarted, and waited for the plan to stand out for good."""
    fleet = Fleet(6)
    fleet.run(1500)
    fleet.nodes["m0"].request_maintenance(request("j", "a0"), fleet.now + 5000, lambda _plan: None)
    while {stages(member.plan).get("a0") for member in fleet.nodes.values()} != {"out"}:
        assert fleet.now < 9000.0
        fleet.run(50)
    driver = fleet.nodes["m0"].driver
    fleet.nodes[driver] = fleet.make(driver)  # forgets, and acts on nothing for a while
    fleet.down = {"a0"}
    fleet.run(150)
    fleet.down = set()
    fleet.run(3000)
    assert {stages(member.plan)["a0"] for member in fleet.nodes.values()} == {"done"}


def test_after_a_members_restart_work_in_flight_is_uncertain_for_a_drain_timeout():
    fleet = Fleet(8)
    fleet.run(4000)

    def clear(name):
        node = fleet.nodes[name]
        return node.fleet_status(fleet.now, 0.0, node.plan).in_flight_certain

    assert clear("m0")
    fleet.nodes["m2"] = fleet.make("m2")
    fleet.run(1500)
    assert (clear("m0"), clear("m2")) == (False, False)
    fleet.run(2000)
    assert (clear("m0"), clear("m2")) == (True, True)


def test_a_machine_is_reachable_or_seen_down_only_by_reports_of_a_majority():
    """One that hears nobody for a moment sees no engine down, and must not take that for a return."""
    fleet = Fleet(7)
    fleet.run(1500)
    node = fleet.nodes["m0"]
    assert node.fleet_status(fleet.now, 0.0, node.plan).machines["a0"].reachable
    alone = node.fleet_status(fleet.now + 2000.0, 0.0, node.plan).machines["a0"]
    assert (alone.reachable, alone.seen_down) == (False, False)


def test_a_manager_restarts_once_at_its_turn():
    fleet, left = Fleet(5), []
    fleet.run(1500)
    fleet.nodes["m0"].request_maintenance(request("j", manager_machine("m1")), fleet.now + 5000, lambda _plan: None)

    def watch():
        if fleet.nodes["m1"].claim_restart():
            left.append(fleet.now)
            fleet.nodes["m1"] = fleet.make("m1")

    fleet.run(6000, watch)
    assert (len(left), stages(fleet.nodes["m2"].plan)) == (1, {manager_machine("m1"): "done"})
