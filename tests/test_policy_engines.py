"""The endpoint list, and the hash order of engines."""

from __future__ import annotations

import pytest

from decklb import interface as api
from decklb.interface import Phase
from tests.policy_builders import arrival, endpoint, make_gateway, sent


def test_hash_order_is_the_same_at_all_gateways_and_differs_by_table_group():
    a, b = make_gateway(engines=6), make_gateway(engines=6)
    assert [engine.endpoint.engine_id for engine in a.engines.order(3)] == [
        engine.endpoint.engine_id for engine in b.engines.order(3)
    ]
    assert len({a.engines.order(i)[0].endpoint.engine_id for i in range(20)}) > 2


@pytest.mark.parametrize("phase", [Phase.DRAINING, Phase.REMOVED])
def test_no_request_is_sent_to_a_draining_or_removed_engine(phase):
    gateway = make_gateway(engines=2)
    gateway.step(1.0, [api.EndpointsUpdated([endpoint("e0", phase=phase)], False)])
    assert {send.engine_id for send in sent(gateway.step(2.0, [arrival(str(i)) for i in range(9)]))} == {"e1"}


def test_an_engine_missing_from_a_complete_list_is_removed():
    gateway = make_gateway(engines=2)
    gateway.step(1.0, [api.EndpointsUpdated([endpoint("e1")], True)])
    assert {send.engine_id for send in sent(gateway.step(2.0, [arrival(str(i)) for i in range(9)]))} == {"e1"}


def test_removed_engines_are_deleted_from_the_registry():
    gateway = make_gateway(engines=1)
    for i in range(500):
        gateway.step(i * 10.0, [api.EndpointsUpdated([endpoint(f"new{i}")], True)])
    assert len(gateway.engines.by_id) == 1 and len(gateway.requests) == 0
