"""Checks of the maintenance fault runs on steps logged by managers."""

from decklb.lab.fault_runs.maintenance_run import Step, count_budget_violations, step_violations


def test_steps_done_twice_or_left_out_and_a_broken_budget_are_found():
    good = [Step("m0", "j", "e0", s, i + 1, float(i)) for i, s in enumerate(("draining", "out", "warming", "done"))]
    assert (step_violations(good), count_budget_violations(good)) == ([], 0)
    assert len(step_violations([*good, Step("m1", "j", "e0", "out", 9, 5.0)])) == 1
    assert len(step_violations([s for s in good if s.stage != "out"])) == 1
    assert count_budget_violations([*good, Step("m1", "j", "e1", "draining", 2, 5.0)]) == 2
