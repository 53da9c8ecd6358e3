"""Queues of the tenants and their turns."""

from __future__ import annotations

from decklb import interface as api
from tests.policy_builders import arrival, make_gateway, sent


def test_round_robin_follows_weights_and_conserves_work():
    shares = {n: api.TenantSpec(n, share) for n, share in (("a", 0.75), ("b", 0.25))}
    gateway = make_gateway(tenants=shares, engines=1)
    batch = [arrival(f"{tenant}{i}", tenant=tenant) for i in range(8) for tenant in "ab"]
    first = [send.request_id[0] for send in sent(gateway.step(1.0, batch))][:8]
    assert first.count("a") == 6
    gateway = make_gateway(tenants=shares, engines=1)
    assert len(sent(gateway.step(1.0, [arrival(f"b{i}", tenant="b") for i in range(5)]))) == 5
