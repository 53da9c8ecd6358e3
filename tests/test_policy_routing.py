"""Selection of the engine for a request."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Effect, Outcome, Phase
from decklb.policy.gateway import Gateway
from tests.policy_builders import SAFE, arrival, ended, endpoint, make_gateway, sent


def test_two_choice_takes_the_less_loaded_of_the_first_two_in_hash_order():
    gateway = make_gateway(engines=5)
    order = [engine.endpoint.engine_id for engine in gateway.engines.order(7)]
    actions = gateway.step(1.0, [arrival(str(i), table_group=7) for i in range(4)])
    assert sorted(send.engine_id for send in sent(actions)) == sorted(order[:2] * 2)


def test_a_request_keeps_to_its_zone_while_an_engine_there_is_free():
    gateway = make_gateway(engines=4)
    assert {
        send.engine_id for send in sent(gateway.step(1.0, [arrival(str(i), preferred_zone="z2") for i in range(8)]))
    } == {"e2"}
    gateway.step(2.0, [api.HealthCheckResult("e2", Outcome.UNREACHABLE, 0.0)])
    assert "e2" not in {
        send.engine_id
        for send in sent(gateway.step(3.0, [arrival("x", preferred_zone="z2"), arrival("y", preferred_zone="z2")]))
    }


def test_a_request_never_leaves_its_allowed_zones_nor_those_of_its_class():
    spec = api.RequestClass(
        "near", latency_objective_ms=1000.0, deadline_ms=5000.0, effect=Effect.SAFE, allowed_zones=("z0", "z1")
    )
    gateway = make_gateway(spec, engines=4, max_attempts=4)
    send = sent(gateway.step(1.0, [arrival("a", "near", preferred_zone="z1", allowed_zones=("z1", "z2"))]))[0]
    assert send.engine_id == "e1"
    for attempt in range(1, 4):  # retries stay there too, though there is no other engine
        retries = sent(gateway.step(attempt + 1.0, [ended(send, Outcome.OVERLOADED, attempt=attempt - 1)]))
        assert {retry.engine_id for retry in retries} <= {"e1"}
    gateway.step(10.0, [api.HealthCheckResult("e1", Outcome.UNREACHABLE, 0.0)])
    assert not sent(gateway.step(11.0, [arrival("b", "near", allowed_zones=("z1", "z3"))]))


def test_placement_applies_when_all_allowed_engines_are_removed():
    spec = api.RequestClass("safe", 1000.0, 5000.0, effect=Effect.SAFE, allowed_zones=("z1",))
    gateway = make_gateway(spec)
    assert {send.engine_id for send in sent(gateway.step(1.0, [arrival(str(i)) for i in range(5)]))} == {"e1"}
    gateway.step(2.0, [api.EndpointsUpdated([endpoint("e1", phase=Phase.REMOVED)], False)])
    assert not sent(gateway.step(3.0, [arrival("x")]))


def test_queries_avoid_an_engine_where_an_own_load_locks_their_table_group():
    load = api.RequestClass("load", 1000.0, 5000.0, effect=Effect.UNSAFE, locks_tables=True)
    reader = api.RequestClass("safe", 1000.0, 5000.0, effect=Effect.SAFE, waits_for_loads=True)
    gateway = make_gateway(load, reader, engines=4)
    (load_send,) = sent(gateway.step(1.0, [arrival("l", "load", table_group=5)]))
    readers = sent(gateway.step(2.0, [arrival(f"q{i}", table_group=5) for i in range(6)]))
    assert load_send.engine_id not in {send.engine_id for send in readers}


def test_a_tie_is_broken_in_favour_of_the_own_zone():
    for zone in ("z0", "z1", "z2"):
        gateway = make_gateway(engines=3, zone=zone)
        pairs = [[engine.endpoint.zone for engine in gateway.engines.order(i)[:2]] for i in range(40)]
        table_group = next(i for i, pair in enumerate(pairs) if zone in pair)
        (send,) = sent(gateway.step(1.0, [arrival("q", table_group=table_group)]))
        assert send.engine_id == "e" + zone[1]


def test_many_gateways_with_few_requests_spread_ties_over_all_engines():
    first_choices = []
    for seed in range(40):
        gateway = Gateway(
            api.Settings(
                classes={"safe": SAFE}, gateway_count=200, gateway_index=seed, cores_by_kind={"k": 8}, tick_ms=5.0
            ),
            seed,
        )
        gateway.step(0.0, [api.EndpointsUpdated([endpoint(f"e{i}") for i in range(8)], True)])
        first_choices += [send.engine_id for send in sent(gateway.step(1.0, [arrival("q", table_group=3)]))]
    assert len(first_choices) == 40 and len(set(first_choices)) == 8


def test_a_tie_between_two_engines_is_broken_at_random():
    chosen = set()
    for seed in range(20):
        gateway = Gateway(api.Settings(classes={"safe": SAFE}, cores_by_kind={"k": 8}, tick_ms=5.0), seed)
        gateway.step(0.0, [api.EndpointsUpdated([endpoint("e0"), endpoint("e1")], True)])
        chosen |= {send.engine_id for send in sent(gateway.step(1.0, [arrival("q")]))}
    assert chosen == {"e0", "e1"}


def test_with_many_gateways_slow_answers_weigh_more_than_own_threads():
    gateway = make_gateway(gateway_count=8, engines=30)
    order = [engine for engine in gateway.engines.order(7) if engine.preferred]
    for engine in order:
        engine.slowdown = 3.0
    order[1].slowdown, order[1].threads = 1.0, 1
    assert [send.engine_id for send in sent(gateway.step(1.0, [arrival("a", table_group=7)]))] == [
        order[1].endpoint.engine_id
    ]
