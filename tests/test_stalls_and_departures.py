"""The dispatcher after a stall of the process, and when a client disconnects while its request waits.

The simulated clock fixes the order of the events, so no test depends on timing.
"""

from __future__ import annotations

from test_dispatcher import DispatcherTestCase

from decklb import interface as api
from decklb.core.timers import STALL_THRESHOLD_MS
from decklb.interface import Outcome


class ProcessStalls(DispatcherTestCase):
    """After a stall all timers of the process are due, and what happened meanwhile has not been read yet."""

    def stall(self, read_event, ms=4 * STALL_THRESHOLD_MS):
        self.clock.call_later(ms, read_event)  # read in the first pass after the stall
        self.clock.clock.advance(ms / 1000)

    def test_no_attempt_starts_for_a_client_that_disconnected_during_the_stall(self):
        request, _ = self.submit()
        self.stall(lambda: self.dispatcher.abandon(request))
        self.clock.advance(200)
        self.assertEqual(self.engines.started, [])

    def test_an_attempt_answered_during_the_stall_is_not_abandoned(self):
        _, sink = self.submit(budget_ms=1000.0)
        self.run_until_started(1)
        self.clock.advance(900 - 3 - self.clock.now())
        self.stall(lambda: self.engines.started[0].end(Outcome.SUCCESS, b"x"))
        self.assertEqual((sink.answers, self.engines.abandoned), ([("served", b"x")], []))

    def test_an_engine_removed_during_the_stall_gets_no_attempt(self):
        self.submit()
        self.stall(lambda: self.dispatcher.update_endpoints([api.Endpoint("e3", "z", "k", 0, api.Phase.UP)]))
        self.run_until_started(1)
        self.assertEqual(self.engines.started[0].engine_id, "e3")


class ClientDisconnects(DispatcherTestCase):
    """A client disconnects while its request waits."""

    def test_no_attempt_starts_for_a_client_that_disconnected_while_its_key_was_in_use_or_held_down(self):
        for held_down in (False, True):
            self.setUp()
            self.submit("load", key="k")
            waiting, _ = self.submit("load", key="k")
            self.run_until_started(1)
            if not held_down:
                self.dispatcher.abandon(waiting)
            self.engines.started[0].end(Outcome.CONNECTION_RESET)
            self.clock.advance(20)
            if held_down:
                self.dispatcher.abandon(waiting)
            self.clock.advance(1000)
            self.assertEqual(len(self.engines.started), 1)

    def test_no_attempt_starts_for_a_client_that_disconnected_while_no_engine_was_available(self):
        self.dispatcher.update_endpoints([])
        request, _ = self.submit()
        self.clock.advance(50)
        self.dispatcher.abandon(request)
        self.dispatcher.update_endpoints([api.Endpoint("e3", "z", "k", 0, api.Phase.UP)])
        self.clock.advance(1000)
        self.assertEqual(self.engines.started, [])
