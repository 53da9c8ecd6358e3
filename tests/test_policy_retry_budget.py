"""Which requests get another attempt, and how many do."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from decklb import interface as api
from decklb.interface import Effect, Outcome
from tests.policy_builders import UNSAFE, arrival, ended, make_gateway, of_type, sent


@pytest.mark.parametrize("flood", ["taken back", "turned away", "of no class"])
def test_requests_that_were_never_sent_do_not_widen_the_budget(flood):
    """A client that asks for hundreds at once and takes them back let a manager try 11 times again where 7 were due."""
    gateway = make_gateway(engines=4, retry_budget_floor=2.0, retry_budget_ratio=0.1, retry_budget_window_ms=5000.0)
    many = [
        arrival(
            f"f{i}",
            left=0.0 if flood == "turned away" else 5000.0,
            request_class="?" if flood == "of no class" else "safe",
        )
        for i in range(200)
    ]
    gateway.step(1.0, many + [api.ClientGone(e.request_id) for e in many if flood == "taken back"])
    again = 0
    for i in range(20):
        send = sent(gateway.step(10.0 + i, [arrival(f"r{i}")]))[0]
        again += len(sent(gateway.step(10.5 + i, [ended(send, Outcome.CANCELLED)])))
    assert again == 4


def test_a_flood_that_engines_answer_with_errors_does_not_widen_the_budget():
    """What no engine can use comes from bad clients, whose requests count for nothing."""
    gateway = make_gateway(engines=4, retry_budget_floor=2.0, retry_budget_ratio=0.1, retry_budget_window_ms=5000.0)
    flood = sent(gateway.step(1.0, [arrival(f"f{i}") for i in range(40)]))
    assert len(flood) == 40
    again = sent(gateway.step(2.0, [ended(send, Outcome.ERROR) for send in flood]))
    for now in range(10, 3000, 10):
        again += sent(gateway.step(float(now), []))
    assert len(again) == 2


@pytest.mark.parametrize("outcome", [Outcome.ERROR, Outcome.CONNECTION_RESET, Outcome.TIMED_OUT, Outcome.CANCELLED])
def test_unsafe_work_that_may_have_run_fails_and_is_not_retried(outcome):
    gateway = make_gateway(UNSAFE)
    (send,) = sent(gateway.step(1.0, [arrival("q", "unsafe")]))
    actions = gateway.step(50.0, [ended(send, outcome)])
    assert [a.request_id for a in of_type(api.Fail, actions)] == ["q"] and not sent(actions) + of_type(
        api.Reject, actions
    )


def test_unsafe_work_that_never_ran_goes_elsewhere():
    gateway = make_gateway(UNSAFE)
    (send,) = sent(gateway.step(1.0, [arrival("q", "unsafe")]))
    (again,) = sent(gateway.step(50.0, [ended(send, Outcome.UNREACHABLE)]))
    assert again.engine_id != send.engine_id


@pytest.mark.parametrize("group, same", [("zone", True), ("cell", True), ("all", False)])
def test_a_keyed_retry_stays_in_its_group_and_window(group, same):
    spec = api.RequestClass(
        "keyed", 1000.0, 9000.0, effect=Effect.KEYED, deduplication_window_ms=2000.0, deduplication_scope=group
    )
    gateway = make_gateway(spec)
    (send,) = sent(gateway.step(1.0, [arrival("q", "keyed", 9000.0)]))
    (again,) = sent(gateway.step(50.0, [ended(send, Outcome.ERROR)]))
    assert (again.engine_id == send.engine_id) is same
    actions = gateway.step(2500.0, [ended(again, Outcome.ERROR, attempt=1)])
    assert not sent(actions)
    assert bool(of_type(api.Reject, actions)) is (group == "all")
    assert bool(of_type(api.Fail, actions)) is (group != "all")


@given(st.lists(st.tuples(st.integers(1, 400), st.booleans()), max_size=60))
@settings(derandomize=True, deadline=None, database=None)
def test_retries_stay_within_the_budget(script):
    gateway = make_gateway(engines=8, retry_budget_floor=2.0, retry_budget_ratio=0.1, retry_budget_window_ms=1000.0)
    now, taken, extra, out = 10.0, [], [], []
    for i, (gap, bad) in enumerate(script):
        now += gap
        events = [ended(send, Outcome.ERROR if bad else Outcome.SUCCESS, leg) for send, leg in out] + [arrival(f"r{i}")]
        legs, out = {send.request_id: leg + 1 for send, leg in out}, []
        taken.append(now)
        for send in sent(gateway.step(now, events)):
            out.append((send, legs.get(send.request_id, 0)))
            if send.request_id in legs:
                extra.append(now)
                room = 2 + 0.1 * sum(t > now - 1000 for t in taken)
                assert sum(t >= now - 1000 for t in extra) <= room
