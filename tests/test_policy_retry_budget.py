"""Which requests get another attempt, and how many attempts there are."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from decklb import interface as api
from decklb.interface import Effect, Outcome
from tests.policy_builders import UNSAFE, arrival, ended, make_gateway, of_type, sent


@pytest.mark.parametrize("flood", ["cancelled", "rejected", "of unknown class"])
def test_requests_that_were_never_sent_do_not_increase_the_budget(flood):
    """Requests sent by the hundred and then cancelled once let a manager retry 11 times where 7 were allowed."""
    gateway = make_gateway(engines=4, retry_budget_floor=2.0, retry_budget_ratio=0.1, retry_budget_window_ms=5000.0)
    requests = [
        arrival(
            f"f{i}",
            time_left_ms=0.0 if flood == "rejected" else 5000.0,
            request_class="?" if flood == "of unknown class" else "safe",
        )
        for i in range(200)
    ]
    gateway.step(1.0, requests + [api.ClientGone(request.request_id) for request in requests if flood == "cancelled"])
    retries = 0
    for i in range(20):
        send = sent(gateway.step(10.0 + i, [arrival(f"r{i}")]))[0]
        retries += len(sent(gateway.step(10.5 + i, [ended(send, Outcome.CANCELLED)])))
    assert retries == 4


def test_requests_that_engines_answer_with_errors_do_not_increase_the_budget():
    """Requests that no engine can execute come from faulty clients and must not pay for retries."""
    gateway = make_gateway(engines=4, retry_budget_floor=2.0, retry_budget_ratio=0.1, retry_budget_window_ms=5000.0)
    flood = sent(gateway.step(1.0, [arrival(f"f{i}") for i in range(40)]))
    assert len(flood) == 40
    retries = sent(gateway.step(2.0, [ended(send, Outcome.ERROR) for send in flood]))
    for now in range(10, 3000, 10):
        retries += sent(gateway.step(float(now), []))
    assert len(retries) == 2


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.CONNECTION_RESET, Outcome.TIMED_OUT, Outcome.CANCELLED])
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_retried(outcome):
    gateway = make_gateway(UNSAFE)
    (send,) = sent(gateway.step(1.0, [arrival("q", "unsafe")]))
    actions = gateway.step(50.0, [ended(send, outcome)])
    assert [a.request_id for a in of_type(api.Fail, actions)] == ["q"] and not sent(actions) + of_type(
        api.Reject, actions
    )


def test_an_unsafe_request_that_never_ran_is_retried_elsewhere():
    gateway = make_gateway(UNSAFE)
    (send,) = sent(gateway.step(1.0, [arrival("q", "unsafe")]))
    (retry,) = sent(gateway.step(50.0, [ended(send, Outcome.UNREACHABLE)]))
    assert retry.engine_id != send.engine_id


@pytest.mark.parametrize("scope, same_engine", [("zone", True), ("cell", True), ("all", False)])
def test_a_keyed_retry_stays_in_its_deduplication_scope_and_window(scope, same_engine):
    spec = api.RequestClass(
        "keyed", 1000.0, 9000.0, effect=Effect.KEYED, deduplication_window_ms=2000.0, deduplication_scope=scope
    )
    gateway = make_gateway(spec)
    (send,) = sent(gateway.step(1.0, [arrival("q", "keyed", 9000.0)]))
    (retry,) = sent(gateway.step(50.0, [ended(send, Outcome.ERROR)]))
    assert (retry.engine_id == send.engine_id) is same_engine
    actions = gateway.step(2500.0, [ended(retry, Outcome.ERROR, attempt=1)])
    assert not sent(actions)
    assert bool(of_type(api.Reject, actions)) is (scope == "all")
    assert bool(of_type(api.Fail, actions)) is (scope != "all")


@given(st.lists(st.tuples(st.integers(1, 400), st.booleans()), max_size=60))
@settings(derandomize=True, deadline=None, database=None)
def test_retries_stay_within_the_budget(steps):
    gateway = make_gateway(engines=8, retry_budget_floor=2.0, retry_budget_ratio=0.1, retry_budget_window_ms=1000.0)
    now, arrived_at, retried_at, in_flight = 10.0, [], [], []
    for i, (gap, is_error) in enumerate(steps):
        now += gap
        events = [
            ended(send, Outcome.ERROR if is_error else Outcome.SUCCESS, attempt) for send, attempt in in_flight
        ] + [arrival(f"r{i}")]
        next_attempts, in_flight = {send.request_id: attempt + 1 for send, attempt in in_flight}, []
        arrived_at.append(now)
        for send in sent(gateway.step(now, events)):
            in_flight.append((send, next_attempts.get(send.request_id, 0)))
            if send.request_id in next_attempts:
                retried_at.append(now)
                allowed = 2 + 0.1 * sum(t > now - 1000 for t in arrived_at)
                assert sum(t >= now - 1000 for t in retried_at) <= allowed
