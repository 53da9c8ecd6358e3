"""Unit tests of the dispatcher, with a simulated clock and recording engine clients and sinks."""

from __future__ import annotations

import unittest

from twisted.internet.task import Clock

from decklb import interface as api
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import IncomingRequest
from decklb.interface import Outcome
from decklb.settings import parse_settings
from tests.standins import SETTINGS


class TestClock:
    """A `Clock` of the core that a test advances."""

    __test__ = False

    def __init__(self):
        self.clock = Clock()

    def now(self):
        return self.clock.seconds() * 1000

    def call_later(self, delay_ms, callback):
        return self.clock.callLater(delay_ms / 1000, callback)

    def advance(self, ms):
        for _ in range(int(ms)):
            self.clock.advance(0.001)


class Engines:
    """An engine client that records attempts; with `hold` set, abandoned attempts stay in flight."""

    def __init__(self):
        self.started, self.abandoned, self.hold = [], [], False
        self.release_callbacks = []  # callbacks that release the abandoned attempts

    def start(self, attempt):
        self.started.append(attempt)

    def abandon(self, attempt, on_released):
        self.abandoned.append(attempt)
        self.release_callbacks.append(on_released)
        if not self.hold:
            on_released()


class Sink:
    """Records the answers."""

    def __init__(self):
        self.answers = []

    def served(self, result):
        self.answers.append(("served", result))

    def rejected(self, retry_after_ms):
        self.answers.append(("rejected", retry_after_ms))

    def failed(self):
        self.answers.append(("failed", None))


class DispatcherTestCase(unittest.TestCase):
    """A dispatcher with three engines, on a simulated clock."""

    def setUp(self):
        self.clock, self.engines = TestClock(), Engines()
        self.dispatcher = Dispatcher(parse_settings(SETTINGS), 1, self.clock, self.engines)
        self.dispatcher.update_endpoints([api.Endpoint(f"e{i}", "z", "k", 0, api.Phase.UP) for i in range(3)])

    def submit(self, request_class="read", budget_ms=5000.0, request_id="a" * 16, key=None):
        """Submit a request; returns its handle and its sink."""
        sink = Sink()
        return self.dispatcher.submit(
            IncomingRequest(request_id, request_class, "cusco", budget_ms, b"", 0, key), sink
        ), sink

    def run_until_started(self, count):
        """Advance the clock until that many attempts have started in total."""
        for _ in range(2000):
            if len(self.engines.started) >= count:
                return
            self.clock.advance(1)
        self.fail("too few attempts have started")


class DispatcherTest(DispatcherTestCase):
    def test_only_the_first_answer_is_sent_and_later_reports_are_ignored(self):
        request, sink = self.submit()
        self.run_until_started(1)
        attempt = self.engines.started[0]
        for outcome in (Outcome.SUCCESS, Outcome.SUCCESS, Outcome.CONNECTION_RESET):
            attempt.end(outcome, b"x")
        self.dispatcher.abandon(request)
        self.clock.advance(6000)
        self.assertEqual(
            (sink.answers, len(self.engines.started), self.dispatcher.open_requests), ([("served", b"x")], 1, 0)
        )

    def test_the_zone_router_routes_each_request_and_gets_the_end_of_each_attempt(self):
        ended = []

        class Router:
            def route(self, request_class):
                return "z1", ("z", "z1")

            def attempt_ended(self, engine_id, request_class, outcome, duration_ms):
                ended.append((engine_id, request_class, outcome))

        self.dispatcher.update_endpoints([api.Endpoint(f"e{i}", f"z{i}", "k", 0, api.Phase.UP) for i in range(3)])
        self.dispatcher.zone_router = Router()
        self.submit()
        self.run_until_started(1)
        self.assertEqual(self.engines.started[0].engine_id, "e1")
        self.engines.started[0].end(Outcome.SUCCESS, b"x")
        self.assertEqual(ended, [("e1", "read", Outcome.SUCCESS)])

    def test_clients_may_reuse_a_request_id(self):
        (_, first_sink), (_, second_sink) = self.submit(), self.submit()
        self.run_until_started(2)
        for attempt in self.engines.started:
            attempt.end(Outcome.SUCCESS, b"x")
        self.assertEqual(first_sink.answers + second_sink.answers, [("served", b"x")] * 2)

    def test_a_failed_attempt_is_retried_at_another_engine(self):
        _, sink = self.submit()
        self.run_until_started(1)
        self.engines.started[0].end(Outcome.CONNECTION_RESET)
        self.run_until_started(2)
        first, second = self.engines.started
        self.assertNotEqual(first.engine_id, second.engine_id)
        second.end(Outcome.SUCCESS, b"y")
        self.assertEqual(sink.answers, [("served", b"y")])

    def test_no_attempt_starts_until_an_abandoned_one_is_released(self):
        request, _ = self.submit()
        self.run_until_started(1)
        self.engines.hold = True
        self.dispatcher._carry_out(api.CancelAttempt(request.request_id, 0))
        # Must not start, whatever the policy decides.
        self.dispatcher._carry_out(api.StartAttempt(request.request_id, "e2"))
        self.clock.advance(300)
        self.assertEqual(len(self.engines.started), 1)
        self.engines.release_callbacks[0]()
        self.run_until_started(2)

    def test_an_attempt_that_times_out_is_cancelled_at_its_engine_and_its_request_answered(self):
        _, sink = self.submit(budget_ms=2000.0)
        self.run_until_started(1)
        self.clock.advance(2000)
        self.assertEqual(len(self.engines.abandoned), 1)
        self.assertEqual([answer for answer, _ in sink.answers], ["rejected"])

    def test_a_request_is_answered_some_time_before_its_budget_ends(self):
        """A client stopped waiting 24 ms before the computed end of its budget, and the request was lost (7f7155a3)."""
        _, sink = self.submit(budget_ms=2000.0)
        self.run_until_started(1)
        self.clock.advance(1940)
        self.assertEqual(len(sink.answers), 1)

    def test_backstop_answers_when_the_policy_raises(self):
        def broken(now, events):
            raise RuntimeError("broken")

        self.dispatcher.gateway.step = broken
        _, sink = self.submit(budget_ms=1000.0)
        self.clock.advance(1030)
        self.assertEqual(sink.answers, [("failed", None)])

    def test_backstop_answers_while_an_abandoned_attempt_is_not_released(self):
        self.engines.hold = True
        _, sink = self.submit(budget_ms=2000.0)
        self.run_until_started(1)
        self.clock.advance(2030)
        self.assertEqual(sink.answers, [("failed", None)])

    def test_a_rejection_is_sent_at_once_and_states_when_to_retry(self):
        self.dispatcher.update_endpoints([])
        _, sink = self.submit(budget_ms=50.0)  # too short for any attempt
        self.clock.advance(20)
        self.assertEqual(sink.answers, [("rejected", 500.0)])

    def test_attempts_of_a_client_that_disconnects_are_cancelled_at_once(self):
        request, sink = self.submit()
        self.run_until_started(1)
        self.dispatcher.abandon(request)
        self.assertEqual((self.engines.abandoned, sink.answers), ([self.engines.started[0]], []))

    def test_loads_with_the_same_ordering_key_run_one_at_a_time(self):
        for _ in range(3):
            self.submit("load", key="k")
        for n in (1, 2, 3):
            self.run_until_started(n)
            self.clock.advance(50)
            self.assertEqual(len(self.engines.started), n)
            self.engines.started[-1].end(Outcome.SUCCESS)

    def test_answers_within_one_step_of_a_coarse_clock_do_not_break_the_policy(self):
        for n in range(1, 40):
            self.submit()
            self.run_until_started(n)
            self.engines.started[-1].end(Outcome.SUCCESS)
        self.assertGreater(self.dispatcher.gateway.statistics["read"].best_run_ms, 0)

    def test_finished_requests_leave_no_reference_cycles(self):
        """Full garbage collections of such cycles stopped the event loop for up to 60 ms (708c32f2)."""
        request, _ = self.submit()
        self.run_until_started(1)
        self.engines.started[0].end(Outcome.SUCCESS)
        self.clock.advance(20)
        self.assertEqual((request.attempts, self.dispatcher.requests, self.dispatcher.gateway.requests), ([], {}, {}))

    def test_an_uncertain_completion_starts_the_hold_down_of_its_key_again(self):
        hold_down_ms = 300.0  # well over the 50 ms between two checks of the policy for requests that may start
        rules = SETTINGS["rules"] | {"settle_after_doubt": hold_down_ms}
        for uncertain in (False, True):
            self.setUp()
            self.dispatcher = Dispatcher(parse_settings(SETTINGS | {"rules": rules}), 1, self.clock, self.engines)
            self.dispatcher.update_endpoints([api.Endpoint(f"e{i}", "z", "k", 0, api.Phase.UP) for i in range(3)])
            self.submit("load", key="k")
            self.run_until_started(1)
            first = self.engines.started[0]
            first.end(Outcome.SUCCESS, b"x")
            self.submit("load", key="k")
            self.clock.advance(hold_down_ms / 2)
            if uncertain:
                first.mark_uncertain()
            waiting_since = self.clock.now()
            self.run_until_started(2)
            self.assertEqual(self.clock.now() - waiting_since >= hold_down_ms, uncertain)
