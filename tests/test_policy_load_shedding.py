"""Which requests are shed."""

from __future__ import annotations

from decklb import interface as api
from tests.policy_builders import arrival, make_gateway, of_type


def test_a_rejected_request_is_told_when_to_come_back():
    gateway = make_gateway(engines=1, cores=1)
    refused = of_type(api.Reject, gateway.step(1.0, [arrival(str(i)) for i in range(30)]))
    assert refused and all(0 < a.retry_after_ms <= 2000.0 for a in refused)


def test_a_flood_past_quota_is_shed_before_traffic_within_it():
    two = {n: api.TenantSpec(n, 0.5, 2.0) for n in "ab"}
    gateway = make_gateway(engines=1, cores=1, tenants=two, over_quota_weight=0.1)
    refused = of_type(
        api.Reject, gateway.step(1.0, [arrival(f"a{i}", tenant="a") for i in range(30)] + [arrival("b0", tenant="b")])
    )
    assert refused and "b0" not in {a.request_id for a in refused}


def test_a_light_tenants_queue_is_cut_to_what_its_turns_drain_and_one_may_always_wait():
    two = {"big": api.TenantSpec("big", 0.9), "small": api.TenantSpec("small", 0.1)}
    gateway = make_gateway(engines=1, cores=8, tenants=two)
    gateway.limit.factor = 1.0
    batch = [arrival(f"{n}{i}", tenant=n) for n in two for i in range(24)]
    gateway.step(1.0, batch)
    big, small = (len(gateway.scheduler.queues[n].requests) for n in two)
    assert 1 <= small <= 2 < big
