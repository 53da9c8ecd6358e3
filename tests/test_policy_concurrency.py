"""How many own threads may be in flight."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Effect
from decklb.policy.concurrency import EXTRA_QUERIES
from tests.policy_builders import SAFE, arrival, make_gateway, sent


def test_the_limit_per_core_holds_before_any_answer_can_show_a_jam():
    gateway = make_gateway(engines=1, cores=2)
    gateway.limit.factor = 1.0
    assert len(sent(gateway.step(1.0, [arrival(str(i)) for i in range(6)]))) == 4
    gateway = make_gateway(engines=1, cores=2, gateway_count=8)
    gateway.limit.factor = 1.0
    assert len(sent(gateway.step(1.0, [arrival(str(i)) for i in range(6)]))) == 1


def test_the_total_limit_closes_under_pressure_and_opens_without():
    gateway = make_gateway(engines=9, gateway_count=50, cores=8)  # a part of 2.9 threads
    gateway.limit.slowdown = 4.0
    for t in range(10):
        gateway.step(1000.0 * (t + 1), [])
    few = sent(gateway.step(11001.0, [arrival(str(i)) for i in range(20)]))
    gateway.limit.slowdown = 1.0
    for t in range(20):
        gateway.step(12000.0 + 1000 * t, [])
    more = sent(gateway.step(32001.0, [arrival(f"b{i}") for i in range(20)]))
    assert 1 <= len(few) <= 3 < len(more)


def test_short_work_does_not_wait_behind_much_longer_work():
    long = api.RequestClass("long", 30000.0, 90000.0, effect=Effect.SAFE, threads=3)
    gateway = make_gateway(SAFE, long, engines=9, gateway_count=50)
    gateway.limit.factor = 0.5
    assert len(sent(gateway.step(1.0, [arrival(str(i), "long", 90000.0) for i in range(5)]))) == 1
    assert [send.request_id for send in sent(gateway.step(2.0, [arrival("short")]))] == ["short"]
    assert not sent(gateway.step(3.0, [arrival("l", "long", 90000.0)]))


def test_the_limit_stays_within_the_fraction_and_a_query_where_peers_cannot_talk():
    gateway = make_gateway(engines=4, gateway_count=2, cores=8)
    for t in range(30):
        gateway.step(1000.0 * t, [])
    assert 1.0 < gateway.limit.factor <= 1 + EXTRA_QUERIES / 32
    assert sent(gateway.step(30001.0, [arrival(str(i)) for i in range(60)]))
    assert max(x.threads for x in gateway.engines.up()) <= 9


def test_what_surely_was_lost_does_not_fill_the_total_limit():
    gateway = make_gateway(engines=9, gateway_count=400, cores=8)
    gateway.limit.factor = 0.35
    assert len(sent(gateway.step(1.0, [arrival(str(i), left=90000.0) for i in range(4)]))) == 1
    assert not sent(gateway.step(100.0, [arrival("soon")]))
    gateway.statistics["safe"].run_ms = 100.0
    assert sent(gateway.step(1700.0, [arrival("later")]))
