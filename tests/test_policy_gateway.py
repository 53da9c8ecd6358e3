"""Behaviour of the gateway as a whole."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from decklb import interface as api
from decklb.interface import Outcome
from decklb.policy.gateway import Gateway
from tests.policy_builders import KEYED, SAFE, UNSAFE, arrival, ended, endpoint, make_gateway, of_type, sent


def test_every_request_is_answered_once_before_its_deadline():
    gateway = make_gateway(engines=0)
    gateway.step(0.0, [arrival("q", time_left_ms=400.0)])
    rejections = [a for t in range(5, 500, 5) for a in of_type(api.Reject, gateway.step(float(t), []))]
    assert [a.request_id for a in rejections] == ["q"]


def test_a_timeout_at_the_deadline_is_answered_and_nothing_follows():
    gateway = make_gateway()
    (send,) = sent(gateway.step(1.0, [arrival("q")]))
    actions = gateway.step(5001.0, [ended(send, Outcome.TIMED_OUT, duration_ms=5000.0)])
    assert [a.request_id for a in of_type(api.Reject, actions)] == ["q"] and not sent(actions)
    assert not [
        a
        for a in gateway.step(5100.0, [api.ClientGone("q"), ended(send, Outcome.SUCCESS)])
        if not isinstance(a, api.SetTimer)
    ]


@given(st.lists(st.sampled_from(list(Outcome)), min_size=1, max_size=40), st.integers(0, 2))
@settings(derandomize=True, deadline=None, database=None)
def test_each_request_gets_exactly_one_final_answer(outcomes, class_index):
    class_name = ("safe", "keyed", "unsafe")[class_index]
    gateway, now, finals, in_flight, finished = make_gateway(SAFE, KEYED, UNSAFE), 1.0, [], [], set()
    for i, outcome in enumerate(outcomes):
        now += 100
        events = [ended(send, outcome, attempt) for send, attempt in in_flight]
        finished |= {send.request_id for send, _ in in_flight if outcome is Outcome.SUCCESS}
        next_attempts = {send.request_id: attempt + 1 for send, attempt in in_flight}
        actions = gateway.step(now, events + [arrival(f"r{i}", class_name, 3000.0)])
        assert not {send.request_id for send in sent(actions)} & (finished | set(finals))
        finals += [a.request_id for a in actions if isinstance(a, api.Reject | api.Fail)]
        in_flight = [(send, next_attempts.get(send.request_id, 0)) for send in sent(actions)]
    for step in range(100):
        now += 50
        events = [ended(send, Outcome.TIMED_OUT, attempt) for send, attempt in in_flight] if step == 0 else []
        finals += [a.request_id for a in gateway.step(now, events) if isinstance(a, api.Reject | api.Fail)]
        if step == 0:
            in_flight = []
    assert len(finals) == len(set(finals)) and not finished & set(finals)


def test_the_endpoint_list_is_requested_at_start_and_again_after_a_failure():
    gateway = Gateway(api.Settings(classes={"safe": SAFE}, must_subscribe=True, tick_ms=5.0), 1)
    assert of_type(api.WatchEndpoints, gateway.step(0.0, [api.EndpointsUpdated([endpoint("e0")], True)]))
    assert not of_type(api.WatchEndpoints, gateway.step(5.0, [api.EndpointsUpdated([], False, failed=True)]))
    assert any(of_type(api.WatchEndpoints, gateway.step(float(t), [])) for t in range(10, 2000, 50))
    assert sent(gateway.step(2000.0, [arrival("q")]))


def test_the_same_events_give_the_same_actions():
    def play():
        gateway = make_gateway(engines=6)
        return [gateway.step(t * 50.0, [arrival(f"r{t}", table_group=t % 5)]) for t in range(60)]

    assert play() == play()


def test_late_unknown_and_repeated_ids_are_ignored():
    gateway = make_gateway()
    (send,) = sent(gateway.step(1.0, [arrival("q")]))
    unknown = api.StartAttempt("ghost", "e9")
    gateway.step(
        2.0,
        [
            arrival("q"),
            ended(unknown, Outcome.SUCCESS),
            ended(send, Outcome.SUCCESS, attempt=7),
            api.ClientGone("ghost"),
            api.TimerFired("old"),
            api.AttemptProgress("ghost", 0, 1, 0.5),
        ],
    )
    actions = gateway.step(3.0, [ended(send, Outcome.SUCCESS), ended(send, Outcome.SUCCESS)])
    assert not [a for a in actions if not isinstance(a, api.SetTimer)]


def test_a_request_with_no_time_left_is_answered_in_the_same_step():
    assert [a.request_id for a in of_type(api.Reject, make_gateway().step(1.0, [arrival("q", time_left_ms=14.0)]))] == [
        "q"
    ]


def test_idle_gateways_wake_rarely_but_never_stop():
    gateway, now = Gateway(api.Settings(classes={"safe": SAFE}, tick_ms=5.0), 1), 0.1
    for _ in range(50):
        (timer,) = of_type(api.SetTimer, gateway.step(now, [api.TimerFired("sweep")]))
        now += timer.delay_ms - 1e-7  # a timer may fire early by a rounding error
    assert now > 30000.0
    (timer,) = of_type(api.SetTimer, gateway.step(now + 100, [arrival("q")]))
    assert timer.delay_ms <= 50.0


def test_shutdown_answers_all_open_requests():
    gateway = make_gateway(SAFE, UNSAFE, engines=1, cancellation=True, cores=1)
    gateway.step(1.0, [arrival("a"), arrival("u", "unsafe")] + [arrival(f"q{i}") for i in range(8)])
    actions = gateway.step(2.0, [api.ShutdownStarted()])
    answers = {a.request_id: type(a) for a in of_type(api.Reject, actions) + of_type(api.Fail, actions)}
    assert set(answers) == {r for r in answers} and answers["a"] is api.Reject and not sent(actions)
    in_flight = {a.request_id for a in of_type(api.CancelAttempt, actions)}
    assert in_flight and answers["u"] is (api.Fail if "u" in in_flight else api.Reject)
    assert all(r.closed for r in gateway.requests.values())
