"""The plan: operators' requests, the disruption budget and the steps."""

import pytest
from msgspec.structs import replace

from decklb.maintenance.errors import (
    InvalidRequestError,
    MachineAlreadyPlannedError,
    MachineNotOutError,
    UnknownJobError,
    UnknownMachineError,
)
from decklb.maintenance.fleet_observer import manager_machine
from decklb.maintenance.fleet_status import FleetStatus, MachineStatus
from decklb.maintenance.operator_requests import (
    MaintenanceRequest,
    add_job,
    cancel_job,
    mark_returned,
    resolve_machines,
)
from decklb.maintenance.plan import Plan, overdue_machines
from decklb.maintenance.scheduling import advance
from decklb.maintenance.settings import MaintenanceSettings
from tests.maintenance_fleet import ENGINES, stages

SETTINGS = MaintenanceSettings(
    member_count=3,
    max_unavailable=2,
    max_unavailable_per_zone=1,
    max_unavailable_zone_fraction=0.5,
    warm_up_ms=1000.0,
    drain_timeout_ms=500.0,
    default_window_ms=5000.0,
)


def fleet_status(unix_ms=0, load=None, plan_known_to_all=True, unhealthy=(), **engines):
    changed = {n: replace(ENGINES[n], **c) for n, c in engines.items()}
    return FleetStatus(unix_ms, ENGINES | changed, load or {}, frozenset(unhealthy), plan_known_to_all)


@pytest.fixture
def requested():
    """Return a plan with the job j for the machines of zone a."""
    return add_job(Plan(), "j", ["a"], "", 5000, ENGINES, SETTINGS.retained_jobs)


def test_a_request_is_parsed_from_its_fields_and_a_malformed_one_is_rejected():
    parsed = MaintenanceRequest.parse({"job": "j", "machines": ["a", "b*"], "reason": "r" * 300, "window": 5})
    assert parsed == MaintenanceRequest("j", ("a", "b*"), "r" * 200, 5)
    assert MaintenanceRequest.parse({"job": "j", "machines": ["a"]}) == MaintenanceRequest("j", ("a",), "", 0)
    for fields in (
        {"machines": ["a"]},
        {"job": "j" * 65, "machines": ["a"]},
        {"job": "j", "machines": []},
        {"job": "j", "machines": "a"},
        {"job": "j", "machines": ["a"], "window": -1},
        {"job": "j", "machines": ["a"], "window": "1h"},
    ):
        with pytest.raises(InvalidRequestError):
            MaintenanceRequest.parse(fields)


def test_targets_are_resolved_by_id_zone_or_pattern_once_each():
    assert [e.name for e in resolve_machines(["a1", "a", "b*"], ENGINES)] == ["a0", "a1", "b0", "b1"]
    with pytest.raises(UnknownMachineError):
        resolve_machines(["a0", "c"], ENGINES)


def test_a_repeated_request_is_the_same_job_and_an_overlapping_one_is_rejected(requested):
    assert add_job(requested, "j", ["a"], "", 5000, ENGINES, SETTINGS.retained_jobs) is requested
    with pytest.raises(MachineAlreadyPlannedError, match="a1 is in job j already"):
        add_job(requested, "k", ["a1", "b"], "", 5000, ENGINES, SETTINGS.retained_jobs)


def test_a_machine_passes_its_stages_in_order_and_the_next_waits_until_it_is_done(requested):
    plan, seen = requested, []
    down = {"reachable": False, "seen_down": True}
    for unix_ms, a0_changes in (
        (0, {}),
        (100, {"in_flight": 1}),
        (200, {}),
        (300, {}),
        (400, down),
        (500, down),
        (600, {}),
        (700, {}),
        (1700, {}),
        (1800, {}),
    ):
        plan = advance(plan, fleet_status(unix_ms, a0=a0_changes), SETTINGS)
        seen.append((stages(plan)["a0"], stages(plan)["a1"]))
    assert [a0 for a0, _ in seen] == ["draining"] * 2 + ["out"] * 4 + ["warming"] * 2 + ["done"] * 2
    assert {a1 for _, a1 in seen[:9]} == {"waiting"}
    assert seen[9][1] == "draining"
    assert plan.step_count == 5


def test_the_reason_that_blocks_a_machine_is_stored_once(requested):
    for status, expected_reason in (
        (fleet_status(plan_known_to_all=False), "not every member has the plan"),
        (fleet_status(unhealthy=["b"]), "zone b is not"),
        (fleet_status(load={"a": 7.0}), "zone a would have 8 cores left"),
        (fleet_status(load={"b": 21.0}), "the fleet would have 24"),
    ):
        plan = advance(requested, status, SETTINGS)
        assert set(stages(plan).values()) == {"waiting"}
        assert expected_reason in plan.blocked_reason
        assert advance(plan, status, SETTINGS) is plan  # the same reason is not stored again
    job_of_one = add_job(Plan(), "k", ["a0"], "", 5000, ENGINES, SETTINGS.retained_jobs)
    other_unreachable = fleet_status(a1={"reachable": False}, load={"a": 1.0})
    assert "0 cores left" in advance(job_of_one, other_unreachable, SETTINGS).blocked_reason
    smaller_fraction = MaintenanceSettings(member_count=3, max_unavailable_zone_fraction=0.4)
    assert "40% may be" in advance(requested, fleet_status(), smaller_fraction).blocked_reason


def test_the_disruption_budget_applies_across_all_jobs_and_zones(requested):
    plan = add_job(requested, "k", ["b"], "", 5000, ENGINES, SETTINGS.retained_jobs)
    for _ in range(5):
        plan = advance(plan, fleet_status(100, a0={"in_flight": 1}, b0={"in_flight": 1}), SETTINGS)
    assert stages(plan) == {"a0": "draining", "a1": "waiting", "b0": "draining", "b1": "waiting"}
    assert "2 of 2 machines" in plan.blocked_reason


def test_a_machine_drains_until_no_work_is_in_flight_or_the_drain_times_out(requested):
    plan = advance(requested, fleet_status(0), SETTINGS)
    assert stages(advance(plan, fleet_status(499, a0={"in_flight": 3}), SETTINGS))["a0"] == "draining"
    assert stages(advance(plan, fleet_status(499, plan_known_to_all=False), SETTINGS))["a0"] == "draining"
    assert stages(advance(plan, fleet_status(500, a0={"in_flight": 3}), SETTINGS))["a0"] == "out"


def test_after_a_member_was_lost_a_machine_drains_for_the_whole_drain_timeout(requested):
    """Work that the lost process had sent still runs on the machine, but no member counts it."""
    plan = advance(requested, fleet_status(0), SETTINGS)
    for unix_ms, stage in ((499, "draining"), (500, "out")):
        assert stages(advance(plan, replace(fleet_status(unix_ms), in_flight_certain=False), SETTINGS))["a0"] == stage


def test_an_overdue_machine_counts_against_the_budget_until_its_job_is_cancelled(requested):
    plan = advance(advance(requested, fleet_status(0), SETTINGS), fleet_status(10), SETTINGS)
    plan = advance(plan, fleet_status(20, a0={"reachable": False}), SETTINGS)
    plan = advance(plan, fleet_status(6000, a0={"reachable": False}), SETTINGS)
    assert [x.name for x in overdue_machines(plan, 6000)] == ["a0"]
    assert "out or warming: a0" in plan.blocked_reason
    plan = cancel_job(plan, "j", 6001)
    assert (set(stages(plan).values()), plan.unavailable_machines()) == ({"cancelled"}, frozenset())
    assert cancel_job(plan, "j", 6002) is plan  # repeated request, as after a lost answer
    with pytest.raises(UnknownJobError):
        cancel_job(plan, "k", 6002)


def test_an_operator_can_mark_a_machine_as_returned_that_was_never_seen_down(requested):
    with pytest.raises(MachineNotOutError):
        mark_returned(requested, "a0", 5)
    plan = advance(advance(requested, fleet_status(0), SETTINGS), fleet_status(10), SETTINGS)
    assert stages(advance(plan, fleet_status(100), SETTINGS))["a0"] == "out"  # it never went down
    plan = mark_returned(plan, "a0", 100)
    assert stages(plan)["a0"] == "warming"
    assert mark_returned(plan, "a0", 101) is plan


def test_a_manager_has_returned_when_its_incarnation_has_changed():
    name = manager_machine("m1")
    machines = {name: MachineStatus(name, "managers", 0.0, True, 0, 50)}
    plan = add_job(Plan(), "j", [name], "", 5000, machines, SETTINGS.retained_jobs)
    for unix_ms, incarnation, stage in ((100, 50, "draining"), (200, 50, "out"), (300, 50, "out"), (400, 7, "warming")):
        manager = replace(machines[name], incarnation=incarnation)
        plan = advance(plan, FleetStatus(unix_ms, {name: manager}, {}), SETTINGS)
        assert stages(plan)[name] == stage


def test_the_next_manager_waits_until_the_previous_one_may_vote_on_records():
    names = [manager_machine("m1"), manager_machine("m2")]
    machines = {n: MachineStatus(n, "managers", 0.0, True, 0, 50) for n in names}
    settings = MaintenanceSettings(
        member_count=3,
        max_unavailable=2,
        max_unavailable_per_zone=1,
        warm_up_ms=1000.0,
        manager_voting_delay_ms=6000.0,
    )
    plan = add_job(Plan(), "j", names, "", 5000, machines, settings.retained_jobs)
    seen = []
    for unix_ms in (100, 200, 300, 5000, 6301, 6400):
        incarnation = 7 if unix_ms >= 300 else 50
        first = replace(machines[names[0]], incarnation=incarnation)
        plan = advance(plan, FleetStatus(unix_ms, machines | {names[0]: first}, {}), settings)
        seen.append(tuple(stages(plan).values()))
    assert seen == [
        ("draining", "waiting"),
        ("out", "waiting"),
        ("warming", "waiting"),
        ("warming", "waiting"),
        ("done", "waiting"),
        ("done", "draining"),
    ]


def test_the_oldest_finished_jobs_are_dropped_first():
    plan, settings = Plan(), MaintenanceSettings(retained_jobs=2)
    for i in range(5):
        plan = cancel_job(add_job(plan, f"j{i}", ["a0"], "", 5000, ENGINES, settings.retained_jobs), f"j{i}", 1)
    assert [j.job_id for j in plan.jobs] == ["j3", "j4"]
