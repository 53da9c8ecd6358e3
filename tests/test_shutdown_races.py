"""Graceful shutdown: when it starts, requests and signals that arrive meanwhile, and when the process exits."""

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
from tests.standins import DEADLINE, Loop, Program, endpoint_list, wait_for


class FakeFront:
    """A front with pending clients while `is_pending(now)` is true, and a reactor that records when it is stopped."""

    def __init__(self, is_pending, clock, stopped_at):
        self.pending_now, self.stop = lambda: is_pending(clock.now()), lambda: stopped_at.append(clock.now())

    @property
    def has_pending_clients(self):
        return self.pending_now()


class ProcessExit(unittest.TestCase):
    def test_the_process_waits_for_clients_with_pending_work_until_its_exit_time(self):
        for is_pending, exit_ms in ((lambda now: now < 400, 400), (lambda now: True, 1000)):
            shutdown, clock, stopped_at = drain.Drain.__new__(drain.Drain), TestClock(), []

            shutdown._clock, shutdown._exit_by_ms = clock, 1000.0
            shutdown._front = shutdown._reactor = FakeFront(is_pending, clock, stopped_at)
            shutdown._exit_when_flushed()
            clock.advance(2000)
            self.assertEqual(len(stopped_at), 1)
            self.assertTrue(exit_ms <= stopped_at[0] <= exit_ms + 100)


class Drain(OneEngineTest):
    """Drains the whole program."""

    def test_a_drain_notifies_clients_serves_new_requests_and_exits(self):
        program = self.program(known=endpoint_list(self.engine.port))
        old = Client(program.port)
        old.send(request(1, b"hang", budget="2500"))
        wait_for(lambda: self.engine.received(b"do"), "do")
        program.process.terminate()
        self.assertEqual(old.next().type, frames.GO_AWAY)
        new = Client(program.port)  # the layer in front has not learned of the drain yet
        new.send(frames.pack(frames.READINESS_QUERY, 1, b"\0"), request(2, b"rows 1"))
        self.assertEqual(new.next().payload[0], 0)
        self.assertEqual(new.answer()[:2], (2, frames.SERVED))
        while (frame := old.next()).type != frames.ANSWER:
            self.assertEqual(frame.type, frames.GO_AWAY)
        self.assertEqual(program.process.wait(DEADLINE), 0)

    def test_a_drain_answers_requests_that_would_run_longer_than_it_and_exits(self):
        program = self.program(known=endpoint_list(self.engine.port))
        client = Client(program.port)
        client.send(request(1, b"hang", budget="8000"), request(2, b"hang", budget="8000", method="load"))
        wait_for(lambda: len(self.engine.received(b"do")) == 2, "do")
        program.process.terminate()
        answers = {}
        while (frame := client.next()) is not None:
            if frame.type == frames.ANSWER:
                answers[frame.stream] = frame.payload[0]
        self.assertEqual(answers, {1: frames.REJECTED, 2: frames.FAILED})
        # The engine may read the cancellations after the clients have their answers.
        wait_for(lambda: len(self.engine.received(b"undo")) == 2, "undo")
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
    """A function that starts a program, which is stopped at the end of the test."""
    programs = []

    def start(*ports):
        programs.append(Program({"known": endpoint_list(*ports)}))
        return programs[-1]

    yield start
    for program in programs:
        program.stop()


def test_a_sigterm_right_after_the_port_is_open_starts_a_drain(start_program):
    """The signal handlers were once installed only when the reactor ran, after the port had been opened."""
    program = start_program(1)  # it has logged that it listens, and may have done nothing more
    program.process.terminate()
    assert program.process.wait(20) == 0
    assert program.logged("SIGTERM: draining")


def test_signals_during_a_drain_are_ignored(engine, start_program):
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


@pytest.mark.parametrize("new_clients", [0, 3 * ACCEPT_BATCH])
def test_clients_of_a_draining_process_that_was_stopped_are_answered_not_reset(engine, start_program, new_clients):
    """On an idle connection, or on new ones that wait in the accept queue when the listener is about to close."""
    program = start_program(engine.port)
    idle_client = Client(program.port)
    idle_client.send(frames.pack(frames.READINESS_QUERY, 1, b"\0"))
    idle_client.next()
    program.process.terminate()
    wait_for(lambda: program.logged("SIGTERM: draining"), "the drain")
    program.process.send_signal(signal.SIGSTOP)
    clients = [Client(program.port) for _ in range(new_clients)] or [idle_client]
    for client in clients:
        client.send(request(2, b"rows 1"))
    time.sleep(1.0)  # longer than the grace period, so its timer is overdue when the process continues
    program.process.send_signal(signal.SIGCONT)
    for client in clients:
        while (frame := client.next()).type != frames.ANSWER:
            pass
        assert frame.stream == 2
    assert program.process.wait(20) == 0
