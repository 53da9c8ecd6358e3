"""The token bucket of a returning zone."""

from decklb.locality.recovery_budget import BURST_MS, RecoveryBudget


def test_work_is_admitted_at_the_rate_of_the_cores_after_a_burst():
    budget = RecoveryBudget(0.0, 0.0)
    admitted = [budget.try_spend(float(now), cores=2.0, work_ms=100.0) for now in range(0, 1000, 10)]
    assert sum(admitted) == 19  # 2 cores complete 1,980 ms of work in 990 ms
    idle = RecoveryBudget(0.0, 0.0)
    burst = [idle.try_spend(60_000.0, cores=2.0, work_ms=100.0) for _ in range(10)]
    assert sum(burst) == 2 * BURST_MS // 100.0


def test_tokens_accumulate_for_a_request_larger_than_the_burst():
    budget = RecoveryBudget(0.0, 0.0)
    assert not budget.try_spend(1000.0, cores=1.0, work_ms=3000.0)
    assert budget.try_spend(3000.0, cores=1.0, work_ms=3000.0)
