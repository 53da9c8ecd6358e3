"""The controller of the tenants' weights."""

from __future__ import annotations

from decklb import interface as api
from decklb.policy.tenants import ControlState
from tests.policy_builders import make_gateway


def test_a_slow_tenant_gains_weight_and_one_past_its_quota_loses_it():
    shares = {n: api.TenantSpec(n, 0.5) for n in "ab"}
    gateway = make_gateway(tenants=shares)
    a, b = gateway.scheduler.queues["a"].tenant, gateway.scheduler.queues["b"].tenant
    a.control = ControlState(answers=2, latency_sum_ms=9e3, objective_sum_ms=2e3)
    b.control = ControlState(answers=8, latency_sum_ms=1e3, objective_sum_ms=8e3)
    gateway.step(6000.0, [])
    assert a.weight > 0.6 and b.weight < 0.4
    gateway.step(12000.0, [])
    assert a.weight > 0.5  # due to the integral
