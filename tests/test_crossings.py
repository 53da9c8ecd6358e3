"""Things that cross: one side is held at a known point, then the other goes. No test here waits for chance."""

from __future__ import annotations

import unittest
from dataclasses import replace

from test_dispatcher import Rig, Sink, TestClock
from twisted.internet.testing import MemoryReactorClock, StringTransport

from decklb import interface as api
from decklb.core.dispatcher import HELD, Attempt, Request
from decklb.core.ports import Work
from decklb.interface import Effect, Outcome
from decklb.net import resp
from decklb.net.engines import STUCK, RespEngines


class HeldUp(Rig):
    """The process stood still; what others did meanwhile lies unread beside its own timers, which are all due."""

    def stand_still(self, meanwhile, ms=4 * HELD):
        self.clock.call_later(ms, meanwhile)  # read in the first pass after the standstill
        self.clock.clock.advance(ms / 1000)

    def test_no_attempt_begins_for_a_client_that_left_meanwhile(self):
        r, _ = self.ask()
        self.stand_still(lambda: self.d.abandon(r))
        self.clock.go(200)
        self.assertEqual(self.engines.started, [])

    def test_a_whole_answer_that_came_in_time_is_not_given_up(self):
        _, sink = self.ask(budget=1000.0)
        self.run_until_started(1)
        self.clock.go(900 - 3 - self.clock.now())
        self.stand_still(lambda: self.engines.started[0].end(Outcome.GOOD, b"x"))
        self.assertEqual((sink.answers, self.engines.given), ([("served", b"x")], []))

    def test_an_engine_that_began_to_drain_meanwhile_gets_nothing(self):
        self.ask()
        self.stand_still(lambda: self.d.members([api.Entry("e3", "z", "k", 0, api.Phase.UP)]))
        self.run_until_started(1)
        self.assertEqual(self.engines.started[0].engine, "e3")


class Guards(Rig):
    """Whatever the module says."""

    def classes(self, effect, **more):
        spec = replace(self.d.settings.classes["load"], effect=effect, serial=False, **more)
        self.d.settings.classes["load"] = spec

    def again(self, r, engine="e2"):
        self.d._act(api.Send(r.ident, engine))
        return len(self.engines.started)

    def test_an_unsafe_request_goes_again_only_where_it_surely_never_ran(self):
        for outcome, count in ((Outcome.NOCONN, 2), (Outcome.FULL, 2), (Outcome.RST, 1), (Outcome.BAD, 1)):
            self.setUp()
            self.classes(Effect.UNSAFE)
            self.d.gateway.step = lambda now, events: []
            r, _ = self.ask("load")
            self.again(r, "e1")
            self.engines.started[0].end(outcome)
            self.assertEqual(self.again(r), count, outcome)

    def test_a_keyed_request_goes_again_within_its_window_only(self):
        for wait, count in ((250, 2), (350, 1)):
            self.setUp()
            self.classes(Effect.KEYED, memory_span=300.0)
            self.d.gateway.step = lambda now, events: []
            r, _ = self.ask("load")
            self.again(r, "e1")
            self.engines.started[0].end(Outcome.RST)
            self.clock.go(wait)
            self.assertEqual(self.again(r), count)

    def test_what_waits_for_its_connection_may_begin_until_its_window_or_its_engines_grace_is_over(self):
        self.d.settings.drain_grace = 1000.0
        self.classes(Effect.KEYED, memory_span=300.0)
        self.d.gateway.step = lambda now, events: []
        r, _ = self.ask("load")
        self.again(r, "e1")
        first, now = self.engines.started[0], self.clock.now()
        self.d.members([api.Entry("e1", "z", "k", 0, api.Phase.DRAINING)])
        self.clock.go(100)
        self.d.members([api.Entry("e1", "z", "k", 0, api.Phase.DRAINING)])
        self.assertEqual(first.latest, now + 1000.0)
        first.end(Outcome.RST)
        self.again(r)
        self.assertEqual(self.engines.started[1].latest, first.started + 300.0)


class Gate(StringTransport):
    """A transport that sends when the test says so, as the kernel does when the peer's window opens."""

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        producer.resumeProducing()

    def setTcpNoDelay(self, on):
        pass

    def flush(self):
        found = resp.RespReader().feed(self.value())
        self.clear()
        self.producer.resumeProducing()
        return found


class EngineLinks(unittest.TestCase):
    """Attempts on connections to engines that come up, get stuck or break when the test says so."""

    def setUp(self):
        self.reactor, self.clock = MemoryReactorClock(), TestClock()
        self.engines = RespEngines(self.reactor, self.clock, {"streams_per_conn": 100})
        self.engines.addresses({"e1": ("127.0.0.1", 1)})
        self.ends = []
        self.count = 0

    def attempt_ended(self, a, outcome, result):
        self.ends.append((a, outcome))

    def attempt_noted(self, a, kind, level):
        pass

    def start(self):
        self.count += 1
        r = Request(f"r{self.count}", Work(f"{self.count:016x}", "read", "cusco", 5000.0, b"x"), Sink(), 5000.0)
        a = Attempt(self, r, "e1", self.clock.now(), 5000.0)
        r.attempts.append(a)
        self.engines.start(a)
        return a

    def up(self):
        """The oldest connection comes up."""
        factory = self.reactor.tcpClients.pop(0)[2]
        link, transport = factory.buildProtocol(None), Gate()
        link.makeConnection(transport)
        return link._wrappedProtocol, transport

    def gone(self, a):
        a.given_up = True
        self.engines.give_up(a, lambda: None)

    def test_nothing_is_sent_for_who_left_while_the_connection_came_up(self):
        a, b = self.start(), self.start()
        self.gone(a)
        _, transport = self.up()
        self.assertEqual([p[:2] for p in transport.flush()], [[b"do", b.request.work.rid.encode()]])

    def test_what_waited_too_long_for_its_connection_never_begins(self):
        a, b = self.start(), self.start()
        a.latest = 100.0
        self.clock.go(150)
        _, transport = self.up()
        self.assertEqual([p[1] for p in transport.flush()], [b.request.work.rid.encode()])
        self.assertEqual(self.ends, [(a, Outcome.NOP)])

    def test_what_waits_for_an_engine_that_goes_ends_at_once_and_is_not_sent_to_who_has_its_address_next(self):
        a = self.start()
        self.engines.addresses({"e2": ("127.0.0.1", 1)})
        self.assertEqual(self.ends, [(a, Outcome.NOCONN)])
        self.assertTrue(self.reactor.connectors[0].stoppedConnecting)

    def test_behind_bytes_that_an_engine_does_not_take_nothing_begins_until_it_does(self):
        first = self.start()
        link, transport = self.up()
        self.clock.go(STUCK + 1)
        left, stays = self.start(), self.start()
        self.gone(left)
        self.assertEqual([p[1] for p in transport.flush()], [first.request.work.rid.encode()])
        self.assertEqual([p[:2] for p in transport.flush()], [[b"do", stays.request.work.rid.encode()]])

    def test_a_reset_proves_that_what_was_not_yet_given_to_the_transport_never_ran(self):
        sent = self.start()
        link, _ = self.up()
        self.clock.go(STUCK + 1)
        waits = self.start()
        link._abort("test")
        self.assertEqual(self.ends, [(sent, Outcome.RST), (waits, Outcome.NOCONN)])

    def test_an_engine_that_has_shown_that_a_request_ran_cannot_take_it_back(self):
        ran = (resp.pack(b"ID", b"data", b"parts=2", b"a\tb\tc\n"),
               *[resp.pack(b"ID", b"news", b"detail=" + note, b"") for note in (b"p,value=0.2", b"s,value=40")])
        waits = resp.pack(b"ID", b"news", b"detail=w,value=1", b"")
        for before, word, outcome in [(x, b"full", Outcome.BAD) for x in ran] + [
                (ran[0], b"moot", Outcome.BAD), (waits, b"full", Outcome.FULL), (b"", b"moot", Outcome.NOP)]:
            self.setUp()
            a = self.start()
            link, _ = self.up()
            both = before + resp.pack(b"ID", word, b"-", b"")
            link.dataReceived(both.replace(b"$2\r\nID", b"$16\r\n" + a.request.work.rid.encode()))
            self.assertEqual(self.ends, [(a, outcome)], (before, word))
