"""Things that cross: one side is held at a known point, then the other goes. No test here waits for chance."""

from __future__ import annotations

import errno
import signal
import socket
import time
import unittest
from dataclasses import replace
from functools import partial

import pytest
from test_dispatcher import SETTINGS, Rig, Sink, TestClock
from test_program import Client, RespEngine, request
from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from decklb import interface as api
from decklb.core.dispatcher import Attempt, Dispatcher, Request
from decklb.core.ports import Work
from decklb.core.timers import HELD
from decklb.daemon.drain import Drain
from decklb.interface import Effect, Outcome
from decklb.net import frames, resp
from decklb.net.engines import OVERTAKE, STUCK, RespEngines
from decklb.net.front import ACCEPTS, LINGER, Front
from decklb.net.front import Client as Connection
from decklb.settings import settings_from
from decklb.wire.answered import HOLD
from tests.standins import Loop, Program, known, wait_for


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


class Leaving(Rig):
    """A client that leaves while its request waits, wherever that is."""

    def test_nothing_begins_for_who_left_while_waiting_for_a_predecessor_or_for_its_key_to_rest(self):
        for rests in (False, True):
            self.setUp()
            self.ask("load", key="k")
            waits, _ = self.ask("load", key="k")
            self.run_until_started(1)
            if not rests:
                self.d.abandon(waits)
            self.engines.started[0].end(Outcome.RST)
            self.clock.go(20)
            if rests:
                self.d.abandon(waits)
            self.clock.go(1000)
            self.assertEqual(len(self.engines.started), 1)

    def test_nothing_begins_for_who_left_while_no_engine_was_free(self):
        self.d.members([])
        r, _ = self.ask()
        self.clock.go(50)
        self.d.abandon(r)
        self.d.members([api.Entry("e3", "z", "k", 0, api.Phase.UP)])
        self.clock.go(1000)
        self.assertEqual(self.engines.started, [])


class Guards(Rig):
    """Whatever the module says."""

    def classes(self, effect, **more):
        spec = replace(self.d.settings.classes["load"], effect=effect, serial=False, **more)
        self.d.settings.classes["load"] = spec

    def again(self, r, engine="e2"):
        self.d._act(api.Send(r.ident, engine))
        return len(self.engines.started)

    def test_where_settings_allow_copies_a_lost_attempt_is_called_off_not_copied_in_vain(self):
        """Of 15 days of such a deployment 225 copies were held back, each an attempt less (61e05677)."""
        settings = replace(self.d.settings, duplicates=True, progress=100.0)
        self.d = Dispatcher(settings, 1, self.clock, self.engines)
        self.d.members([api.Entry("e0", "z", "k", 0, api.Phase.UP)])
        self.ask()
        self.run_until_started(1)
        for n in range(2, 40):  # the engine answers others, and tells nothing of the first
            self.ask(rid=f"{n:016x}")
            self.run_until_started(n)
            if self.engines.given:
                break
            self.engines.started[-1].end(Outcome.GOOD)
            self.clock.go(50)
        self.assertEqual(self.engines.given, [self.engines.started[0]])

    def test_an_unsafe_request_goes_again_only_where_it_surely_never_ran(self):
        for outcome, count in ((Outcome.NOCONN, 2), (Outcome.FULL, 2), (Outcome.RST, 1), (Outcome.BAD, 1)):
            self.setUp()
            self.classes(Effect.UNSAFE)
            self.d.gateway.step = lambda now, events: []
            r, _ = self.ask("load")
            self.again(r, "e1")
            self.engines.started[0].end(outcome)
            self.assertEqual(self.again(r), count, outcome)

    def test_an_unsafe_request_that_waited_for_a_connection_to_its_end_is_refused_not_failed(self):
        for begun, answer in ((False, "refused"), (True, "failed")):
            self.setUp()
            self.classes(Effect.UNSAFE)
            _, sink = self.ask("load", budget=2000.0)
            self.run_until_started(1)
            self.engines.started[0].begun = begun
            self.clock.go(2050)
            self.assertEqual([a for a, _ in sink.answers], [answer])

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
        self.ends, self.doubted = [], []
        self.count = 0

    def attempt_ended(self, a, outcome, result):
        self.ends.append((a, outcome))

    def attempt_doubted(self, a):
        self.doubted.append(a)

    def attempt_noted(self, a, kind, level):
        pass

    def start(self):
        self.count += 1
        r = Request(f"r{self.count}", Work(f"{self.count:016x}", "read", "cusco", 5000.0, b"x"), Sink(), 5000.0)
        a = Attempt(self, r, "e1", self.clock.now(), 5000.0)
        r.attempts.append(a)
        self.engines.start(a)
        return a

    def up(self, same_pass=lambda: None):
        """The oldest connection comes up; what is read in the same pass."""
        factory = self.reactor.tcpClients.pop(0)[2]
        link, transport = factory.buildProtocol(None), Gate()
        link.makeConnection(transport)
        same_pass()
        self.clock.go(1)
        return link._wrappedProtocol, transport

    def gone(self, a):
        a.given_up = True
        self.engines.give_up(a, lambda: None)

    def test_nothing_is_sent_for_who_left_while_the_connection_came_up(self):
        a, b, c = self.start(), self.start(), self.start()
        self.gone(a)
        _, transport = self.up(same_pass=lambda: self.gone(b))
        self.assertEqual([p[:2] for p in transport.flush()], [[b"do", c.request.work.rid.encode()]])

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
        link.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(self.ends, [(sent, Outcome.RST), (waits, Outcome.NOCONN)])

    def test_what_we_break_off_ourselves_is_out_until_its_engine_knows(self):
        """Another attempt of it elsewhere could overtake our reset."""
        sent = self.start()
        link, _ = self.up()
        link.dataReceived(b"rubbish\r\n")
        self.clock.go(OVERTAKE - 2)
        self.assertEqual(self.ends, [])
        self.clock.go(3)
        self.assertEqual(self.ends, [(sent, Outcome.RST)])

    def test_a_reset_before_in_and_after_a_request(self):
        a = self.start()
        self.reactor.tcpClients[0][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        b = self.start()
        self.reactor.tcpClients.pop(0)
        self.up()[0].connectionLost(Failure(ConnectionLost()))
        c = self.start()
        link, _ = self.up()
        link.dataReceived(resp.pack(c.request.work.rid.encode(), b"data", b"-", b"a\tb\tc\n"))
        link.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(self.ends, [(a, Outcome.NOCONN), (b, Outcome.RST), (c, Outcome.GOOD)])
        self.assertEqual(self.doubted, [c])

    def answer(self, a, link, word=b"data", body=b"a\tb\tc\n"):
        link.dataReceived(resp.pack(a.request.work.rid.encode(), word, b"-", body if word == b"data" else b""))

    def test_an_answer_that_may_lead_to_another_attempt_counts_as_a_reset_if_one_comes_right_behind_it(self):
        """Whether in the same pass of reading or, after a standstill, with the timer that lets the answer go."""
        for word, outcome in ((b"failed", Outcome.BAD), (b"full", Outcome.FULL), (b"moot", Outcome.NOP)):
            for crossing in ("reset", "nothing", "standstill"):
                self.setUp()
                a = self.start()
                link, _ = self.up()
                self.answer(a, link, word)
                lost = partial(link.connectionLost, Failure(ConnectionLost()))
                if crossing == "standstill":
                    self.clock.call_later(HOLD + HELD + 1, lost)
                    self.clock.clock.advance((HOLD + HELD + 1) / 1000)
                elif crossing == "reset":
                    lost()
                self.clock.go(HOLD - 1)
                self.assertEqual(self.ends, [] if crossing == "nothing" else [(a, Outcome.RST)], (word, crossing))
                self.clock.go(2)
                self.assertEqual(self.ends, [(a, outcome if crossing == "nothing" else Outcome.RST)])

    def test_our_own_orderly_close_puts_no_answer_in_doubt(self):
        a = self.start()
        link, transport = self.up()
        self.answer(a, link)
        self.engines.addresses({})  # its engine has gone: unused connections close at once
        self.clock.go(1)
        link.connectionLost(Failure(ConnectionDone()))
        self.assertEqual((self.ends, self.doubted), ([(a, Outcome.GOOD)], []))

    def test_what_we_break_off_ourselves_puts_the_answers_before_it_in_doubt(self):
        a, b = self.start(), self.start()
        link, _ = self.up()
        self.answer(a, link)
        self.answer(b, link, b"failed")
        link.dataReceived(b"rubbish\r\n")
        self.clock.go(OVERTAKE + 1)
        self.assertEqual((self.ends, self.doubted), ([(a, Outcome.GOOD), (b, Outcome.RST)], [a]))

    def test_an_answer_after_its_request_was_given_up_is_nobodys_and_its_id_is_not_used_there_again(self):
        a = self.start()
        link, _ = self.up()
        self.gone(a)
        ident = a.request.work.rid.encode()
        link.dataReceived(resp.pack(ident, b"data", b"-", b"a\tb\tc\n") * 2)
        self.assertEqual((self.ends, link.takes(ident), link.takes(b"0" * 16)), ([], False, True))

    def test_an_answer_to_what_was_not_sent_yet_is_nobodys(self):
        self.start()
        link, _ = self.up()
        self.clock.go(STUCK + 1)
        waits = self.start()
        link.dataReceived(resp.pack(waits.request.work.rid.encode(), b"data", b"-", b"a\tb\tc\n"))
        self.assertEqual(self.ends, [])

    def test_an_engine_that_has_shown_that_a_request_ran_cannot_take_it_back(self):
        ran = (
            resp.pack(b"ID", b"data", b"parts=2", b"a\tb\tc\n"),
            *[resp.pack(b"ID", b"news", b"detail=" + note, b"") for note in (b"p,value=0.2", b"s,value=40")],
        )
        waits = resp.pack(b"ID", b"news", b"detail=w,value=1", b"")
        for before, word, outcome in [(x, b"full", Outcome.BAD) for x in ran] + [
            (ran[0], b"moot", Outcome.BAD),
            (waits, b"full", Outcome.FULL),
            (b"", b"moot", Outcome.NOP),
        ]:
            self.setUp()
            a = self.start()
            link, _ = self.up()
            both = before + resp.pack(b"ID", word, b"-", b"")
            link.dataReceived(both.replace(b"$2\r\nID", b"$16\r\n" + a.request.work.rid.encode()))
            self.clock.go(HOLD + 1)
            self.assertEqual(self.ends, [(a, outcome)], (before, word))


class Half(StringTransport):
    """A client's side is a real socket pair; what is written leaves when the test says so."""

    def __init__(self):
        super().__init__()
        self.ours, self.theirs = socket.socketpair()
        self.ours.setblocking(False)
        self.theirs.settimeout(20)
        self.aborted = self.closed = False

    def getHandle(self):
        return self.ours

    def setTcpNoDelay(self, on):
        pass

    def flush(self):
        self.clear()
        self.producer.resumeProducing()

    def loseConnection(self):
        self.closed = True

    def abortConnection(self):
        self.aborted = True

    def half_closed(self):
        self.theirs.setblocking(False)
        try:
            return self.theirs.recv(1) == b""
        except BlockingIOError:
            return False


class Closing(unittest.TestCase):
    """What comes in the moment in which a connection closes."""

    def setUp(self):
        self.clock = TestClock()
        self.taken = []
        core = Dispatcher(settings_from(SETTINGS), 1, self.clock, self)
        self.front = Front(core, lambda: True, 1, 4, 1 << 20)

    def start(self, attempt):
        self.taken.append(attempt)

    def give_up(self, attempt, freed):
        freed()

    def connect(self):
        client, transport = Connection(self.front), Half()
        client.makeConnection(transport)
        self.addCleanup(transport.ours.close)
        self.addCleanup(transport.theirs.close)
        return client, transport

    def idle(self):
        client, transport = self.connect()
        client.dataReceived(frames.pack(frames.ASK_READY, 1, b"\0"))
        transport.flush()
        return client, transport

    def test_an_idle_connection_closes_at_once_with_nothing_read_in_between(self):
        client, transport = self.idle()
        self.idle()  # another has spoken, and there is one place
        self.assertTrue(client.ending and transport.half_closed())
        client.dataReceived(request(1, b"rows 1"))  # it crossed: its client sends it once more elsewhere
        self.assertEqual((self.taken, client.open), ([], {}))

    def test_a_request_that_lies_unread_keeps_its_connection(self):
        client, transport = self.idle()
        transport.theirs.sendall(request(1, b"rows 1"))
        self.idle()  # another has spoken, and there is one place
        self.assertFalse(client.ending or transport.half_closed())

    def test_where_the_machine_cannot_say_whether_something_lies_unread_a_connection_is_kept(self):
        client, transport = self.idle()

        class Short:
            def recv(self, size, flags):
                raise OSError(errno.ENOMEM, "no memory")

        transport.getHandle = Short
        self.idle()  # another has spoken, and there is one place
        self.assertFalse(client.ending or transport.half_closed())

    def test_a_last_answer_leaves_whole_before_its_connection_closes(self):
        client, transport = self.idle()
        self.front.close()
        client.dataReceived(request(1, b"rows 1"))
        self.assertIn(b"backoff", transport.value())
        self.assertFalse(transport.half_closed())
        transport.flush()
        self.assertTrue(transport.half_closed())

    def test_what_still_comes_before_the_close_is_answered(self):
        client, transport = self.idle()
        transport.theirs.sendall(b"x")  # something lies unread
        self.front.close()
        transport.flush()
        self.assertFalse(client.ending)
        transport.ours.recv(1)
        whole = request(1, b"rows 1")
        client.dataReceived(whole[:-1])  # in the middle of a message
        transport.flush()
        self.assertTrue(self.front.owing and not client.ending)
        client.dataReceived(whole[-1:])
        transport.flush()
        self.assertTrue(client.ending and not self.front.owing)

    def test_a_client_that_does_not_close_its_half_is_dropped_without_a_reset(self):
        client, transport = self.idle()
        self.front.close()
        transport.flush()
        self.clock.go(LINGER + 200)
        self.assertEqual((transport.closed, transport.aborted), (True, False))

    def test_who_reads_nothing_after_an_error_is_dropped(self):
        client, transport = self.idle()
        client.dataReceived(b"\xff" * 9)
        self.clock.go(LINGER + 200)
        self.assertTrue(transport.aborted)


class Waiting:
    """A front whose clients wait, and a reactor that is told to stop."""

    def __init__(self, owing, clock, stopped):
        self.now, self.stop = lambda: owing(clock.now()), lambda: stopped.append(clock.now())

    @property
    def owing(self):
        return self.now()


class End(unittest.TestCase):
    """When the process exits."""

    def test_it_waits_for_clients_that_are_owed_something_but_not_until_it_is_killed(self):
        for owing, after in ((lambda now: now < 400, 400), (lambda now: True, 1000)):
            drain, clock, stopped = Drain.__new__(Drain), TestClock(), []

            drain._clock, drain._exit_by_ms = clock, 1000.0
            drain._front = drain._reactor = Waiting(owing, clock, stopped)
            drain._exit_when_flushed()
            clock.go(2000)
            self.assertEqual(len(stopped), 1)
            self.assertTrue(after <= stopped[0] <= after + 100)


def test_a_sigterm_that_comes_as_soon_as_anybody_can_connect_drains():
    """The handler was set when the reactor ran, after the port was open."""
    program = Program({"known": known(1)})  # it has said that it listens, and may do no more than that
    try:
        program.process.terminate()
        assert program.process.wait(20) == 0
        assert program.logged("SIGTERM: draining")
    finally:
        program.stop()


def test_signals_that_come_during_a_drain_change_nothing():
    loop = Loop()
    engine = RespEngine(loop)
    program = Program({"known": known(engine.port)})
    try:
        client = Client(program.port)
        client.send(request(1, b"hang", budget="2000"))
        wait_for(lambda: engine.said(b"do"), "do")
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            program.process.send_signal(number)
            wait_for(lambda: program.logged("SIGTERM: draining"), "the drain")
        while (frame := client.next()).type != frames.ANSWER:
            pass
        assert (frame.stream, frame.payload[0]) == (1, frames.REFUSED)
        assert program.process.wait(20) == 0
        assert sum("draining," in line for line in program.lines) == 1 and not program.logged("SIGHUP")
    finally:
        program.stop()
        engine.close()
        loop.stop()


@pytest.mark.parametrize("newcomers", [0, 3 * ACCEPTS])
def test_who_came_while_a_draining_process_stood_still_is_answered_not_reset(newcomers):
    """On a resting connection, or on new ones in the machine's queue when the listener closes."""
    loop = Loop()
    engine = RespEngine(loop)
    program = Program({"known": known(engine.port)})
    try:
        resting = Client(program.port)
        resting.send(frames.pack(frames.ASK_READY, 1, b"\0"))
        resting.next()
        program.process.terminate()
        wait_for(lambda: program.logged("SIGTERM: draining"), "the drain")
        program.process.send_signal(signal.SIGSTOP)
        clients = [Client(program.port) for _ in range(newcomers)] or [resting]
        for client in clients:
            client.send(request(2, b"rows 1"))
        time.sleep(1.0)  # what was due at the end of the grace is overdue when it goes on
        program.process.send_signal(signal.SIGCONT)
        for client in clients:
            while (frame := client.next()).type != frames.ANSWER:
                pass
            assert frame.stream == 2
        assert program.process.wait(20) == 0
    finally:
        program.stop()
        engine.close()
        loop.stop()
