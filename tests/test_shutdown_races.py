"""Graceful shutdown: when it begins, what still comes meanwhile, when the process exits."""

from __future__ import annotations

import signal
import time
import unittest

import pytest
from test_dispatcher import TestClock

from decklb.daemon import drain
from decklb.net import frames
from decklb.net.connection_limits import ACCEPT_BATCH
from tests.frame_standins import Client, OneEngineTest, RespEngine, request
from tests.standins import DEADLINE, Loop, Program, known, wait_for


class FakeFront:
    """A front whose clients wait, and a reactor that is told to stop."""

    def __init__(self, pending, clock, stopped):
        self.now, self.stop = lambda: pending(clock.now()), lambda: stopped.append(clock.now())

    @property
    def has_pending_clients(self):
        return self.now()


class ProcessExit(unittest.TestCase):
    """When the process exits."""

    def test_the_process_waits_for_clients_with_pending_work_until_its_last_moment(self):
        for pending, after in ((lambda now: now < 400, 400), (lambda now: True, 1000)):
            shutdown, clock, stopped = drain.Drain.__new__(drain.Drain), TestClock(), []

            shutdown._clock, shutdown._exit_by_ms = clock, 1000.0
            shutdown._front = shutdown._reactor = FakeFront(pending, clock, stopped)
            shutdown._exit_when_flushed()
            clock.go(2000)
            self.assertEqual(len(stopped), 1)
            self.assertTrue(after <= stopped[0] <= after + 100)


class Drain(OneEngineTest):
    """A drain of the whole program."""

    def test_a_drain_notifies_clients_serves_what_still_comes_and_exits(self):
        program = self.program(known=known(self.engine.port))
        old = Client(program.port)
        old.send(request(1, b"hang", budget="2500"))
        wait_for(lambda: self.engine.received(b"do"), "do")
        program.process.terminate()
        self.assertEqual(old.next().type, frames.GO_AWAY)
        new = Client(program.port)  # the front layer does not know yet
        new.send(frames.pack(frames.READINESS_QUERY, 1, b"\0"), request(2, b"rows 1"))
        self.assertEqual(new.next().payload[0], 0)
        self.assertEqual(new.answer()[:2], (2, frames.SERVED))
        while (frame := old.next()).type != frames.ANSWER:
            self.assertEqual(frame.type, frames.GO_AWAY)
        self.assertEqual(program.process.wait(DEADLINE), 0)

    def test_a_drain_answers_requests_that_would_outlast_it_and_exits(self):
        program = self.program(known=known(self.engine.port))
        client = Client(program.port)
        client.send(request(1, b"hang", budget="8000"), request(2, b"hang", budget="8000", method="load"))
        wait_for(lambda: len(self.engine.received(b"do")) == 2, "do")
        program.process.terminate()
        found = {}
        while (frame := client.next()) is not None:
            if frame.type == frames.ANSWER:
                found[frame.stream] = frame.payload[0]
        self.assertEqual(found, {1: frames.REJECTED, 2: frames.FAILED})
        wait_for(lambda: len(self.engine.received(b"undo")) == 2, "undo")  # the engine reads at its own pace
        self.assertEqual(program.process.wait(DEADLINE), 0)


@pytest.fixture
def engine():
    loop = Loop()
    engine = RespEngine(loop)
    yield engine
    engine.close()
    loop.stop()


@pytest.fixture
def start_program():
    """Starts programs and stops them at the end of the test."""
    programs = []

    def start(*ports):
        programs.append(Program({"known": known(*ports)}))
        return programs[-1]

    yield start
    for program in programs:
        program.stop()


def test_a_sigterm_as_soon_as_the_port_is_open_drains(start_program):
    """The handler was set when the reactor ran, after the port was open."""
    program = start_program(1)  # it has said that it listens, and may do no more than that
    program.process.terminate()
    assert program.process.wait(20) == 0
    assert program.logged("SIGTERM: draining")


def test_signals_that_come_during_a_drain_change_nothing(engine, start_program):
    program = start_program(engine.port)
    client = Client(program.port)
    client.send(request(1, b"hang", budget="2000"))
    wait_for(lambda: engine.received(b"do"), "do")
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        program.process.send_signal(number)
        wait_for(lambda: program.logged("SIGTERM: draining"), "the drain")
    while (frame := client.next()).type != frames.ANSWER:
        pass
    assert (frame.stream, frame.payload[0]) == (1, frames.REJECTED)
    assert program.process.wait(20) == 0
    assert sum("draining," in line for line in program.lines) == 1 and not program.logged("SIGHUP")


@pytest.mark.parametrize("newcomers", [0, 3 * ACCEPT_BATCH])
def test_clients_of_a_draining_process_that_was_stopped_are_answered_not_reset(engine, start_program, newcomers):
    """On a resting connection, or on new ones in the kernel's queue when the listener closes."""
    program = start_program(engine.port)
    resting = Client(program.port)
    resting.send(frames.pack(frames.READINESS_QUERY, 1, b"\0"))
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
