"""Which gateways prefer an engine."""

from __future__ import annotations

import pytest

from tests.policy_builders import arrival, make_gateway, sent


@pytest.mark.parametrize(("fronts", "engines"), [(2, 8), (40, 30), (40, 60), (100, 30), (300, 12)])
def test_each_engine_is_preferred_by_as_many_gateways_as_its_limit_has_threads(fronts, engines):
    users = {f"e{i}": 0 for i in range(engines)}
    for me in range(fronts):
        gateway = make_gateway(gateway_count=fronts, engines=engines, gateway_index=me)
        own = [x for x in gateway.engines.up() if x.preferred]
        for x in own:
            users[x.endpoint.engine_id] += 1
        assert [x.preferred for x in gateway.engines.order(3)] == [True] * len(own) + [False] * (engines - len(own))
        firsts = {send.engine_id for send in sent(gateway.step(1.0, [arrival("q", table_group=3)]))}
        assert not own or firsts <= {x.endpoint.engine_id for x in own}
    assert set(users.values()) == {min(fronts, max(2 * 8, -(-4 * fronts // engines)))}
