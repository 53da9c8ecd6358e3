"""The dispatcher after a stall of the process, and where a client leaves while its request waits.

One side is held at a known point, then the other goes. No test here waits for chance.
"""

from __future__ import annotations

from test_dispatcher import Rig

from decklb import interface as api
from decklb.core.timers import HELD
from decklb.interface import Outcome


class ProcessStalls(Rig):
    """The process stood still; what others did meanwhile lies unread beside its own timers, which are all due."""

    def stand_still(self, meanwhile, ms=4 * HELD):
        self.clock.call_later(ms, meanwhile)  # read in the first pass after the standstill
        self.clock.clock.advance(ms / 1000)

    def test_no_attempt_begins_for_a_client_that_left_during_the_stall(self):
        r, _ = self.ask()
        self.stand_still(lambda: self.d.abandon(r))
        self.clock.go(200)
        self.assertEqual(self.engines.started, [])

    def test_an_answer_that_came_during_the_stall_is_not_given_up(self):
        _, sink = self.ask(budget=1000.0)
        self.run_until_started(1)
        self.clock.go(900 - 3 - self.clock.now())
        self.stand_still(lambda: self.engines.started[0].end(Outcome.SUCCESS, b"x"))
        self.assertEqual((sink.answers, self.engines.given), ([("served", b"x")], []))

    def test_an_engine_that_began_to_drain_during_the_stall_gets_no_attempt(self):
        self.ask()
        self.stand_still(lambda: self.d.update_endpoints([api.Endpoint("e3", "z", "k", 0, api.Phase.UP)]))
        self.run_until_started(1)
        self.assertEqual(self.engines.started[0].engine_id, "e3")


class ClientLeaves(Rig):
    """A client that leaves while its request waits, wherever that is."""

    def test_no_attempt_begins_for_a_client_that_left_while_its_key_was_busy_or_resting(self):
        for rests in (False, True):
            self.setUp()
            self.ask("load", key="k")
            waits, _ = self.ask("load", key="k")
            self.run_until_started(1)
            if not rests:
                self.d.abandon(waits)
            self.engines.started[0].end(Outcome.CONNECTION_RESET)
            self.clock.go(20)
            if rests:
                self.d.abandon(waits)
            self.clock.go(1000)
            self.assertEqual(len(self.engines.started), 1)

    def test_no_attempt_begins_for_a_client_that_left_while_no_engine_was_available(self):
        self.d.update_endpoints([])
        r, _ = self.ask()
        self.clock.go(50)
        self.d.abandon(r)
        self.d.update_endpoints([api.Endpoint("e3", "z", "k", 0, api.Phase.UP)])
        self.clock.go(1000)
        self.assertEqual(self.engines.started, [])
