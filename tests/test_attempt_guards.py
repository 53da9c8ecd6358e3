"""Which attempts the dispatcher sends, whatever the policy decides."""

from __future__ import annotations

from dataclasses import replace

from test_dispatcher import DispatcherTestCase

from decklb import interface as api
from decklb.core.dispatcher import Dispatcher
from decklb.interface import Effect, Outcome


class AttemptGuards(DispatcherTestCase):
    def set_load_class(self, effect, **changes):
        spec = replace(self.dispatcher.settings.classes["load"], effect=effect, ordered_by_key=False, **changes)
        self.dispatcher.settings.classes["load"] = spec

    def start_attempt(self, request, engine_id="e2"):
        """Carry out a decision to start an attempt; returns how many attempts have started in total."""
        self.dispatcher._carry_out(api.StartAttempt(request.request_id, engine_id))
        return len(self.engines.started)

    def test_with_hedging_allowed_a_lost_attempt_is_cancelled_not_hedged(self):
        """In 15 days with such settings 225 hedges were not sent, and each still used up an attempt (61e05677)."""
        settings = replace(self.dispatcher.settings, hedging=True, progress_interval_ms=100.0)
        self.dispatcher = Dispatcher(settings, 1, self.clock, self.engines)
        self.dispatcher.update_endpoints([api.Endpoint("e0", "z", "k", 0, api.Phase.UP)])
        self.submit()
        self.run_until_started(1)
        for n in range(2, 40):  # the engine answers other requests and reports nothing about the first
            self.submit(request_id=f"{n:016x}")
            self.run_until_started(n)
            if self.engines.abandoned:
                break
            self.engines.started[-1].end(Outcome.SUCCESS)
            self.clock.advance(50)
        self.assertEqual(self.engines.abandoned, [self.engines.started[0]])

    def test_a_request_that_is_not_idempotent_is_retried_only_if_it_was_certainly_not_executed(self):
        for outcome, started_count in (
            (Outcome.UNREACHABLE, 2),
            (Outcome.OVERLOADED, 2),
            (Outcome.CONNECTION_RESET, 1),
            (Outcome.ERROR, 1),
        ):
            self.setUp()
            self.set_load_class(Effect.UNSAFE)
            self.dispatcher.gateway.step = lambda now, events: []
            request, _ = self.submit("load")
            self.start_attempt(request, "e1")
            self.engines.started[0].end(outcome)
            self.assertEqual(self.start_attempt(request), started_count, outcome)

    def test_a_request_that_was_never_sent_is_rejected_not_failed(self):
        for sent, answer in ((False, "rejected"), (True, "failed")):
            self.setUp()
            self.set_load_class(Effect.UNSAFE)
            _, sink = self.submit("load", budget_ms=2000.0)
            self.run_until_started(1)
            self.engines.started[0].sent = sent
            self.clock.advance(2050)
            self.assertEqual([kind for kind, _ in sink.answers], [answer])

    def test_a_keyed_request_is_retried_only_within_its_deduplication_window(self):
        for wait_ms, started_count in ((250, 2), (350, 1)):
            self.setUp()
            self.set_load_class(Effect.KEYED, deduplication_window_ms=300.0)
            self.dispatcher.gateway.step = lambda now, events: []
            request, _ = self.submit("load")
            self.start_attempt(request, "e1")
            self.engines.started[0].end(Outcome.CONNECTION_RESET)
            self.clock.advance(wait_ms)
            self.assertEqual(self.start_attempt(request), started_count)

    def test_an_unsent_attempt_may_start_until_its_deduplication_window_or_the_drain_grace_ends(self):
        self.dispatcher.settings.drain_grace_ms = 1000.0
        self.set_load_class(Effect.KEYED, deduplication_window_ms=300.0)
        self.dispatcher.gateway.step = lambda now, events: []
        request, _ = self.submit("load")
        self.start_attempt(request, "e1")
        first, drained_at = self.engines.started[0], self.clock.now()
        self.dispatcher.update_endpoints([api.Endpoint("e1", "z", "k", 0, api.Phase.DRAINING)])
        self.clock.advance(100)
        self.dispatcher.update_endpoints([api.Endpoint("e1", "z", "k", 0, api.Phase.DRAINING)])
        self.assertEqual(first.start_deadline_ms, drained_at + 1000.0)
        first.end(Outcome.CONNECTION_RESET)
        self.start_attempt(request)
        self.assertEqual(self.engines.started[1].start_deadline_ms, first.started_at_ms + 300.0)
