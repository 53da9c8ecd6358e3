"""Health checks of the engines in the plan."""

from decklb.maintenance.health_checks import PlanHealthChecks


def test_an_engine_is_unreachable_after_two_failures_in_a_row_until_it_answers():
    checks, seen = PlanHealthChecks(), []
    for answered in (False, True, False, False, True):
        checks.started("e0")
        checks.ended("e0", answered)
        seen.append(checks.unreachable())
    assert seen == [set(), set(), set(), {"e0"}, set()]


def test_an_engine_has_one_check_in_flight_and_is_forgotten_outside_the_plan():
    checks, engines = PlanHealthChecks(), frozenset(("e0", "e1"))
    checks.started("e0")
    assert checks.due(engines) == {"e1"}
    checks.ended("e0", False)
    checks.ended("e0", False)
    assert checks.due(engines) == engines
    checks.retain({"e1"})
    assert checks.unreachable() == set()
