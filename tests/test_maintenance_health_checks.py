"""Health checks of the engines in the plan."""

from decklb.maintenance.health_checks import PlanHealthChecks


def test_an_engine_is_unreachable_after_two_consecutive_failures_until_it_answers():
    checks, unreachable = PlanHealthChecks(), []
    for answered in (False, True, False, False, True):
        checks.started("e0")
        checks.ended("e0", answered)
        unreachable.append(checks.unreachable())
    assert unreachable == [set(), set(), set(), {"e0"}, set()]


def test_an_engine_has_at_most_one_check_in_flight_and_is_forgotten_when_it_leaves_the_plan():
    checks, engines = PlanHealthChecks(), frozenset(("e0", "e1"))
    checks.started("e0")
    assert checks.due(engines) == {"e1"}
    checks.ended("e0", False)
    checks.ended("e0", False)
    assert checks.due(engines) == engines
    checks.retain({"e1"})
    assert checks.unreachable() == set()
