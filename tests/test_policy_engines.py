"""The endpoint list and the hash order of engines."""

from __future__ import annotations

import pytest

from decklb import interface as api
from decklb.interface import Phase
from tests.policy_builders import arrival, entry, make_gateway, sent


def test_hash_order_is_shared_by_gateways_and_differs_by_group():
    a, b = make_gateway(engines=6), make_gateway(engines=6)
    assert [x.endpoint.engine_id for x in a.engines.order(3)] == [x.endpoint.engine_id for x in b.engines.order(3)]
    assert len({a.engines.order(i)[0].endpoint.engine_id for i in range(20)}) > 2


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.REMOVED])
def test_nothing_new_goes_to_an_engine_that_drains_or_is_gone(phase):
    gateway = make_gateway(engines=2)
    gateway.step(1.0, [api.EndpointsUpdated([entry("e0", phase=phase)], False)])
    assert {send.engine_id for send in sent(gateway.step(2.0, [arrival(str(i)) for i in range(9)]))} == {"e1"}


def test_an_engine_missing_from_a_complete_list_is_gone():
    gateway = make_gateway(engines=2)
    gateway.step(1.0, [api.EndpointsUpdated([entry("e1")], True)])
    assert {send.engine_id for send in sent(gateway.step(2.0, [arrival(str(i)) for i in range(9)]))} == {"e1"}


def test_engines_gone_from_the_list_are_forgotten():
    gateway = make_gateway(engines=1)
    for i in range(500):
        gateway.step(i * 10.0, [api.EndpointsUpdated([entry(f"new{i}")], True)])
    assert len(gateway.engines.by_id) == 1 and len(gateway.requests) == 0
