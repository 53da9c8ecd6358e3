"""How much work cold engines get."""

from __future__ import annotations

import pytest

from decklb import interface as api
from decklb.interface import Effect, Outcome
from tests.policy_builders import SAFE, SLOW_START_SETTINGS, arrival, ended, endpoint, make_gateway, sent


def test_a_cold_engine_gets_no_more_than_this_gateways_fraction_of_the_budget():
    limits = {
        "slow_start_window_ms": 10000.0,
        "slow_start_min_fraction": 0.3,
        "slow_start_overload_factor": 2.0,
        "slow_start_budget_window_ms": 1000.0,
    }
    gateway = make_gateway(engines=1, gateway_count=2, **limits)
    gateway.step(1.0, [api.EndpointsUpdated([endpoint("e0", started_at_ms=1.0)], False)])
    spent = (
        len(sent(gateway.step(2.0, [arrival(str(i), time_left_ms=60000.0) for i in range(50)])))
        * SAFE.latency_objective_ms
        / 2
    )
    assert 0 < spent <= 2.0 * 0.3 * 8 * 1000 / 2
    gateway = make_gateway(engines=1, gateway_count=2, **limits)
    gateway.limit.factor = 1.0
    assert len(sent(gateway.step(2.0, [arrival(str(i)) for i in range(50)]))) == 2 * 8 / 2


def test_many_gateways_take_turns_at_a_cold_engine_within_its_budget():
    sends, served = [], set()
    gateways = [make_gateway(engines=1, gateway_index=i, **SLOW_START_SETTINGS) for i in range(100)]
    for gateway in gateways:
        gateway.statistics["safe"].work_ms = 200.0
        gateway.step(1.0, [api.EndpointsUpdated([endpoint("e0", started_at_ms=1.0)], False)])
    for now in range(10, 4000, 250):
        for gateway_index, gateway in enumerate(gateways):
            for j in range(40):  # answered at once, so that only the budget limits a gateway
                for send in sent(gateway.step(float(now), [arrival(f"{now}.{j}", time_left_ms=60000.0)])):
                    sends.append(now)
                    served.add(gateway_index)
                    gateway.step(
                        float(now), [ended(send, Outcome.SUCCESS, work_ms=200.0), api.ClientGone(f"{now}.{j - 1}")]
                    )
    budget = 2.0 * 0.3 * 8 * 1000
    for start in range(10, 4000, 250):
        assert sum(200.0 for t in sends if start <= t < start + 1000) <= budget
    assert len(sends) * 200.0 > 0.1 * 4 * budget and len(served) > 3


@pytest.mark.parametrize("age", [0.0, 2500.0, 5000.0, 9000.0])
def test_a_cold_engine_gets_more_as_it_warms_and_never_the_whole_budget(age):
    limits = {
        "slow_start_window_ms": 10000.0,
        "slow_start_min_fraction": 0.3,
        "slow_start_overload_factor": 2.0,
        "slow_start_budget_window_ms": 1000.0,
    }
    gateway = make_gateway(engines=1, **limits)
    gateway.step(1.0, [api.EndpointsUpdated([endpoint("e0", started_at_ms=1.0)], False)])
    engine, spent, gateway.now = gateway.engines.by_id["e0"], 0.0, 1.0 + age
    while not gateway.slow_start.is_exhausted(engine, 50.0, gateway.now):
        gateway.slow_start.record_send(engine, 50.0, gateway.now)
        spent += 50.0
    whole = 2.0 * (0.3 + 0.7 * age / 10000) * 8 * 1000
    assert 0.5 * whole < spent < 0.6 * whole


@pytest.mark.parametrize("gateway_count", [1, 3, 30, 200])
def test_all_gateways_together_stay_within_the_budget_of_a_cold_engine(gateway_count):
    """At most n + 2 * sqrt(n) + 2 requests of mean work start per window, n being what the settings allow then."""
    work_ms, cores, window_ms = 100.0, 8, 1000.0
    gateways = [
        make_gateway(engines=1, gateway_index=i, **SLOW_START_SETTINGS | {"gateway_count": gateway_count})
        for i in range(gateway_count)
    ]
    sends = []
    for gateway in gateways:
        gateway.statistics["safe"].work_ms = work_ms
        gateway.step(1.0, [api.EndpointsUpdated([endpoint("e0", started_at_ms=1.0)], False)])
    for now in range(10, 6000, 50):
        for gateway in gateways:  # each gets more than it may send; all is answered at once
            for send in sent(gateway.step(float(now), [arrival(f"{now}.{j}", time_left_ms=60000.0) for j in range(4)])):
                sends.append(now)
                gateway.step(float(now), [ended(send, Outcome.SUCCESS, work_ms=work_ms)])
            gateway.step(float(now), [api.ClientGone(r) for r in list(gateway.requests)])
    for start in range(10, 5000, 50):
        n = (
            SLOW_START_SETTINGS["slow_start_overload_factor"]
            * (0.3 + 0.7 * start / SLOW_START_SETTINGS["slow_start_window_ms"])
            * cores
            * window_ms
            / work_ms
        )
        assert sum(start <= t < start + window_ms for t in sends) <= n + 2 * n**0.5 + 2
    assert len(sends) > 20


def test_heavy_requests_have_separate_turns_at_a_cold_engine():
    heavy = api.RequestClass("heavy", latency_objective_ms=3000.0, deadline_ms=90000.0, effect=Effect.SAFE, threads=4)
    gateways = [
        make_gateway(SAFE, heavy, engines=1, gateway_index=i, **SLOW_START_SETTINGS | {"gateway_count": 40})
        for i in range(40)
    ]
    sends = []
    for gateway in gateways:
        gateway.statistics["safe"].work_ms, gateway.statistics["heavy"].work_ms = 100.0, 1000.0
        gateway.step(1.0, [api.EndpointsUpdated([endpoint("e0", started_at_ms=1.0)], False)])
    for now in range(10, 8000, 100):
        for gateway in gateways:
            for class_name in ("heavy", "safe"):
                for send in sent(gateway.step(float(now), [arrival(f"{class_name}{now}", class_name, 90000.0)])):
                    sends.append((now, class_name))
                    gateway.step(
                        float(now), [ended(send, Outcome.SUCCESS, work_ms=gateway.statistics[class_name].work_ms)]
                    )
            gateway.step(float(now), [api.ClientGone(r) for r in list(gateway.requests)])
    assert {class_name for _, class_name in sends} == {"heavy", "safe"}
    for start in range(10, 7000, 100):
        work = sum(1000.0 if class_name == "heavy" else 100.0 for t, class_name in sends if start <= t < start + 1000)
        assert work <= 2.0 * (0.3 + 0.7 * start / 10000) * 8 * 1000
