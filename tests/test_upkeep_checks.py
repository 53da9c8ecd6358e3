"""Tests of the maintenance fault runs' checks of the steps that managers log."""

from decklb.lab.fault_runs.maintenance_run import Step, count_budget_violations, step_violations


def test_repeated_and_skipped_steps_and_an_exceeded_budget_are_detected():
    steps = [Step("m0", "j", "e0", s, i + 1, float(i)) for i, s in enumerate(("draining", "out", "warming", "done"))]
    assert (step_violations(steps), count_budget_violations(steps)) == ([], 0)
    assert len(step_violations([*steps, Step("m1", "j", "e0", "out", 9, 5.0)])) == 1
    assert len(step_violations([s for s in steps if s.stage != "out"])) == 1
    assert count_budget_violations([*steps, Step("m1", "j", "e1", "draining", 2, 5.0)]) == 2
