"""Load reports, and the probes that request them."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Effect, Outcome
from decklb.policy.constants import CONTROL_PERIOD_MS
from decklb.policy.gateway import Gateway
from decklb.policy.load_reports import MAX_PROBE_CREDIT
from tests.policy_builders import SAFE, arrival, endpoint, polling_gateway, probed_engines, report, sent


def test_a_request_waits_for_reports_and_goes_to_the_less_loaded_engine():
    gateway = polling_gateway()
    first = gateway.step(1.0, [arrival("a")])
    probed = probed_engines(first)
    assert len(probed) == 2 and not sent(first)
    (send,) = sent(gateway.step(6.0, [report(probed[0], 5), report(probed[1], 1)]))
    assert send.engine_id == probed[1]


def test_requests_wait_for_usable_reports_only_while_probes_are_answered():
    gateway = polling_gateway()
    probed = probed_engines(gateway.step(1.0, [arrival("a", time_left_ms=20000.0)]))
    for now in range(6, 306, 50):
        answered = gateway.step(float(now), [report(engine_id, 90) for engine_id in probed])
        assert not sent(answered)
        probed = probed_engines(answered) or probed
    gateway = polling_gateway(
        api.RequestClass("safe", latency_objective_ms=9000.0, deadline_ms=20000.0, effect=Effect.SAFE)
    )
    actions = gateway.step(1.0, [arrival("a", time_left_ms=20000.0)])
    for now in range(51, 6000, 50):
        assert not sent(actions)
        if now > CONTROL_PERIOD_MS:
            break
        actions = gateway.step(float(now), [])
    assert sent(gateway.step(5100.0, []))


def test_load_limits_differ_so_that_gateways_do_not_all_send_at_once():
    limits = set()
    for seed in range(20):
        gateway = Gateway(
            api.Settings(
                classes={"safe": SAFE}, cores_by_kind={"k": 8}, health_checks=True, load_report_fields=("rif",)
            ),
            seed,
        )
        gateway.step(0.0, [api.EndpointsUpdated([endpoint("e0")], True)])
        gateway.step(1.0, [report("e0", 3)])
        limits.add(round(gateway.engines.by_id["e0"].load_limit, 3))
    assert len(limits) > 15


def test_probes_are_bounded_by_requests_and_never_sent_without_health_checks():
    gateway = polling_gateway(
        api.RequestClass("safe", latency_objective_ms=9000.0, deadline_ms=20000.0, effect=Effect.SAFE)
    )
    probed, probe_count = probed_engines(gateway.step(1.0, [arrival("a", time_left_ms=20000.0)])), 2
    for i in range(40):  # all engines are busy, and their reports expire
        probed = probed_engines(gateway.step(6.0 + 200 * i, [report(engine_id, 90) for engine_id in probed]))
        probe_count += len(probed)
    assert 2 < probe_count <= MAX_PROBE_CREDIT
    gateway = polling_gateway(health_checks=False)
    actions = gateway.step(1.0, [arrival("a")])
    assert sent(actions) and not probed_engines(actions)


def test_an_invalid_answer_to_a_probe_is_ignored():
    gateway = polling_gateway()
    probed = probed_engines(gateway.step(1.0, [arrival("a")]))
    late = api.HealthCheckResult(probed[1], Outcome.TIMED_OUT, 250.0)
    gateway.step(2.0, [report("unknown", 1), api.HealthCheckResult(probed[0], Outcome.SUCCESS, 1.0), late])
    assert gateway.engines.by_id[probed[0]].reported_at < 0
