"""Which attempts the dispatcher lets out, whatever the policy decides."""

from __future__ import annotations

from dataclasses import replace

from test_dispatcher import Rig

from decklb import interface as api
from decklb.core.dispatcher import Dispatcher
from decklb.interface import Effect, Outcome


class AttemptGuards(Rig):
    """Whatever the module says."""

    def classes(self, effect, **more):
        spec = replace(self.d.settings.classes["load"], effect=effect, ordered_by_key=False, **more)
        self.d.settings.classes["load"] = spec

    def again(self, r, engine="e2"):
        self.d._act(api.StartAttempt(r.request_id, engine))
        return len(self.engines.started)

    def test_where_settings_allow_hedging_a_lost_attempt_is_cancelled_not_hedged_in_vain(self):
        """Of 15 days of such a deployment 225 copies were held back, each an attempt less (61e05677)."""
        settings = replace(self.d.settings, hedging=True, progress_interval_ms=100.0)
        self.d = Dispatcher(settings, 1, self.clock, self.engines)
        self.d.update_endpoints([api.Endpoint("e0", "z", "k", 0, api.Phase.UP)])
        self.ask()
        self.run_until_started(1)
        for n in range(2, 40):  # the engine answers others, and tells nothing of the first
            self.ask(rid=f"{n:016x}")
            self.run_until_started(n)
            if self.engines.given:
                break
            self.engines.started[-1].end(Outcome.SUCCESS)
            self.clock.go(50)
        self.assertEqual(self.engines.given, [self.engines.started[0]])

    def test_a_request_that_is_not_idempotent_is_retried_only_where_it_surely_never_ran(self):
        for outcome, count in (
            (Outcome.UNREACHABLE, 2),
            (Outcome.OVERLOADED, 2),
            (Outcome.CONNECTION_RESET, 1),
            (Outcome.ERROR, 1),
        ):
            self.setUp()
            self.classes(Effect.UNSAFE)
            self.d.gateway.step = lambda now, events: []
            r, _ = self.ask("load")
            self.again(r, "e1")
            self.engines.started[0].end(outcome)
            self.assertEqual(self.again(r), count, outcome)

    def test_a_request_that_never_got_a_connection_is_rejected_not_failed(self):
        for begun, answer in ((False, "rejected"), (True, "failed")):
            self.setUp()
            self.classes(Effect.UNSAFE)
            _, sink = self.ask("load", budget=2000.0)
            self.run_until_started(1)
            self.engines.started[0].sent = begun
            self.clock.go(2050)
            self.assertEqual([a for a, _ in sink.answers], [answer])

    def test_a_keyed_request_is_retried_within_its_deduplication_window_only(self):
        for wait, count in ((250, 2), (350, 1)):
            self.setUp()
            self.classes(Effect.KEYED, deduplication_window_ms=300.0)
            self.d.gateway.step = lambda now, events: []
            r, _ = self.ask("load")
            self.again(r, "e1")
            self.engines.started[0].end(Outcome.CONNECTION_RESET)
            self.clock.go(wait)
            self.assertEqual(self.again(r), count)

    def test_a_waiting_attempt_may_begin_until_its_window_or_the_drain_grace_ends(self):
        self.d.settings.drain_grace_ms = 1000.0
        self.classes(Effect.KEYED, deduplication_window_ms=300.0)
        self.d.gateway.step = lambda now, events: []
        r, _ = self.ask("load")
        self.again(r, "e1")
        first, now = self.engines.started[0], self.clock.now()
        self.d.update_endpoints([api.Endpoint("e1", "z", "k", 0, api.Phase.DRAINING)])
        self.clock.go(100)
        self.d.update_endpoints([api.Endpoint("e1", "z", "k", 0, api.Phase.DRAINING)])
        self.assertEqual(first.start_deadline_ms, now + 1000.0)
        first.end(Outcome.CONNECTION_RESET)
        self.again(r)
        self.assertEqual(self.engines.started[1].start_deadline_ms, first.started_at_ms + 300.0)
