"""Tables that are keyed by names that clients choose are bounded, and evicting from them changes no decision."""

from __future__ import annotations

import pytest
from test_memory_pressure import Front, answers

from decklb import interface as api
from decklb.net import frames
from decklb.policy.engines import MAX_CACHED_HASHES, MIN_CACHED_GROUPS, EngineRegistry
from decklb.policy.queueing import MAX_UNLISTED_TENANTS
from tests.frame_standins import request
from tests.policy_builders import make_gateway


def registry(engines):
    known = EngineRegistry()
    endpoints = [api.Endpoint(f"e{number}", "z", "k", 0, api.Phase.UP) for number in range(engines)]
    known.update(endpoints, True, 0.0, {"k": 8})
    return known


@pytest.mark.parametrize("engines", [1, 36, 3200])
def test_ever_new_table_groups_keep_a_bounded_number_of_hashes(engines):
    known = registry(engines)
    max_groups = max(MIN_CACHED_GROUPS, MAX_CACHED_HASHES // engines)
    groups = range(1, max_groups + 20)
    first = [engine.endpoint.engine_id for engine in known.order(1)]
    for group in groups:
        known.order(group)
    assert all(len(engine.hashes) <= max_groups + 1 for engine in known.up())
    assert [engine.endpoint.engine_id for engine in known.order(1)] == first


def test_a_new_list_does_not_keep_the_hashes_of_evicted_groups():
    known = registry(100)
    for round_number in range(5):
        for group in range(round_number * 1000, round_number * 1000 + 600):
            known.order(group)
        known.update([api.Endpoint(f"new{round_number}", "z", "k", 0, api.Phase.UP)], False, 0.0, {"k": 8})
    assert max(len(engine.hashes) for engine in known.up()) <= MAX_CACHED_HASHES // 100 + 1


def test_many_unlisted_tenants_share_a_queue():
    gateway = make_gateway()
    for number in range(300):
        gateway.step(float(number), [api.RequestArrived(f"r{number}", "safe", f"tenant {number}", 1000.0)])
    assert len(gateway.scheduler.queues) <= MAX_UNLISTED_TENANTS + 2


def test_ordering_keys_that_never_recur_are_forgotten():
    front = Front()
    client = front.connect()
    for number in range(600):
        client.dataReceived(request(number + 1, b"x", method="load", obj=f"key {number}"))
        front.end_attempts()
        assert answers(client)[0][1] == frames.SERVED
        client.resumeProducing()
    front.clock.advance(1000)
    keys = front.dispatcher.gateway.keys
    assert len(keys.held_until) < 50
    assert not keys.waiting()
    assert not front.listener.requests
    assert not front.dispatcher.requests
