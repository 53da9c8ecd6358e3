"""Which requests are rejected under overload."""

from __future__ import annotations

from decklb import interface as api
from tests.policy_builders import arrival, make_gateway, of_type


def test_a_rejection_states_when_to_retry():
    gateway = make_gateway(engines=1, cores=1)
    rejected = of_type(api.Reject, gateway.step(1.0, [arrival(str(i)) for i in range(30)]))
    assert rejected and all(0 < a.retry_after_ms <= 2000.0 for a in rejected)


def test_requests_over_quota_are_shed_before_those_within_it():
    tenants = {n: api.TenantSpec(n, 0.5, 2.0) for n in "ab"}
    gateway = make_gateway(engines=1, cores=1, tenants=tenants, over_quota_weight=0.1)
    rejected = of_type(
        api.Reject, gateway.step(1.0, [arrival(f"a{i}", tenant="a") for i in range(30)] + [arrival("b0", tenant="b")])
    )
    assert rejected and "b0" not in {a.request_id for a in rejected}


def test_a_low_weight_tenants_queue_is_cut_to_what_its_turns_serve_but_one_may_wait():
    tenants = {"big": api.TenantSpec("big", 0.9), "small": api.TenantSpec("small", 0.1)}
    gateway = make_gateway(engines=1, cores=8, tenants=tenants)
    gateway.limit.factor = 1.0
    batch = [arrival(f"{n}{i}", tenant=n) for n in tenants for i in range(24)]
    gateway.step(1.0, batch)
    big, small = (len(gateway.scheduler.queues[n].requests) for n in tenants)
    assert 1 <= small <= 2 < big
