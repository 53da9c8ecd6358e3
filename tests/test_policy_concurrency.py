"""Limits on the number of own threads in flight."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Effect
from decklb.policy.concurrency import EXTRA_QUERIES
from tests.policy_builders import SAFE, arrival, make_gateway, sent


def test_the_limit_per_core_applies_before_any_answer():
    gateway = make_gateway(engines=1, cores=2)
    gateway.limit.factor = 1.0
    assert len(sent(gateway.step(1.0, [arrival(str(i)) for i in range(6)]))) == 4
    gateway = make_gateway(engines=1, cores=2, gateway_count=8)
    gateway.limit.factor = 1.0
    assert len(sent(gateway.step(1.0, [arrival(str(i)) for i in range(6)]))) == 1


def test_the_total_limit_shrinks_while_answers_are_slow_and_then_grows():
    gateway = make_gateway(engines=9, gateway_count=50, cores=8)  # the limit is 2.9 threads
    gateway.limit.slowdown = 4.0
    for step in range(10):
        gateway.step(1000.0 * (step + 1), [])
    first = sent(gateway.step(11001.0, [arrival(str(i)) for i in range(20)]))
    gateway.limit.slowdown = 1.0
    for step in range(20):
        gateway.step(12000.0 + 1000 * step, [])
    second = sent(gateway.step(32001.0, [arrival(f"b{i}") for i in range(20)]))
    assert 1 <= len(first) <= 3 < len(second)


def test_short_requests_do_not_wait_behind_much_longer_ones():
    long = api.RequestClass("long", 30000.0, 90000.0, effect=Effect.SAFE, threads=3)
    gateway = make_gateway(SAFE, long, engines=9, gateway_count=50)
    gateway.limit.factor = 0.5
    assert len(sent(gateway.step(1.0, [arrival(str(i), "long", 90000.0) for i in range(5)]))) == 1
    assert [send.request_id for send in sent(gateway.step(2.0, [arrival("short")]))] == ["short"]
    assert not sent(gateway.step(3.0, [arrival("l", "long", 90000.0)]))


def test_without_peer_messages_the_limit_exceeds_the_fraction_by_one_query_at_most():
    gateway = make_gateway(engines=4, gateway_count=2, cores=8)
    for step in range(30):
        gateway.step(1000.0 * step, [])
    assert 1.0 < gateway.limit.factor <= 1 + EXTRA_QUERIES / 32
    assert sent(gateway.step(30001.0, [arrival(str(i)) for i in range(60)]))
    assert max(engine.threads for engine in gateway.engines.up()) <= 9


def test_certainly_lost_attempts_do_not_count_against_the_total_limit():
    gateway = make_gateway(engines=9, gateway_count=400, cores=8)
    gateway.limit.factor = 0.35
    assert len(sent(gateway.step(1.0, [arrival(str(i), time_left_ms=90000.0) for i in range(4)]))) == 1
    assert not sent(gateway.step(100.0, [arrival("soon")]))
    gateway.statistics["safe"].run_ms = 100.0
    assert sent(gateway.step(1700.0, [arrival("later")]))
