"""Which gateways prefer an engine."""

from __future__ import annotations

import pytest

from tests.policy_builders import arrival, make_gateway, sent


@pytest.mark.parametrize(("gateway_count", "engines"), [(2, 8), (40, 30), (40, 60), (100, 30), (300, 12)])
def test_each_engine_is_preferred_by_as_many_gateways_as_its_limit_has_threads(gateway_count, engines):
    preferring = {f"e{i}": 0 for i in range(engines)}
    for gateway_index in range(gateway_count):
        gateway = make_gateway(gateway_count=gateway_count, engines=engines, gateway_index=gateway_index)
        preferred = [engine for engine in gateway.engines.up() if engine.preferred]
        for engine in preferred:
            preferring[engine.endpoint.engine_id] += 1
        assert [engine.preferred for engine in gateway.engines.order(3)] == [True] * len(preferred) + [False] * (
            engines - len(preferred)
        )
        chosen = {send.engine_id for send in sent(gateway.step(1.0, [arrival("q", table_group=3)]))}
        assert not preferred or chosen <= {engine.endpoint.engine_id for engine in preferred}
    assert set(preferring.values()) == {min(gateway_count, max(2 * 8, -(-4 * gateway_count // engines)))}
