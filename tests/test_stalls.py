"""A process that is held up: what it reads afterwards has lain unread, and its clients have waited all the while."""

from __future__ import annotations

import signal
import time

import pytest

from decklb.core.timers import STALL_THRESHOLD_MS
from decklb.net import frames, resp
from decklb.wire.stall_detector import STALE_PASSES, StallDetector
from tests.frame_standins import Client, RespEngine, request
from tests.standins import Loop, Program, known, wait_for

BUDGET, HELD_UP, SLACK = 3.0, 1.0, 0.15  # seconds; the slack is the operators' (standing page)


class TimedEngine(RespEngine):
    """Keeps when each statement was read."""

    def _do(self, writer, ident, words):
        self.read = time.monotonic()
        super()._do(writer, ident, words)


@pytest.mark.parametrize("resting", [True, False], ids=["resting-connection", "new-connection"])
def test_after_a_stall_an_engine_gets_no_more_budget_than_the_client_has_left(resting):
    """A request that was written while the process stood still was given all of its budget."""
    loop = Loop()
    engine = TimedEngine(loop)
    program = Program({"known": known(engine.port)})
    try:
        client = Client(program.port)
        client.send(request(1, b"rows 1"))
        client.answer()
        program.process.send_signal(signal.SIGSTOP)
        client = client if resting else Client(program.port)
        client.send(request(2, b"rows 1", budget=str(int(BUDGET * 1000))))
        sent = time.monotonic()
        time.sleep(HELD_UP)
        program.process.send_signal(signal.SIGCONT)
        assert client.answer()[:2] == (2, frames.SERVED)
        wait_for(lambda: len(engine.received(b"do")) == 2, "the attempt")
        told = int(resp.read_fields(engine.received(b"do")[1][2])["budget"]) / 1000
        assert told <= sent + BUDGET - engine.read + SLACK
    finally:
        program.stop()
        engine.close()
        loop.stop()


def passes(*steps):
    """What `unread_for` gives in each pass; a step: seconds of work before the wait, longest wait, seconds waited."""
    detector, now, found = StallDetector(), 10.0, []
    detector.wait_begins(now, 0.1)
    detector.reading_begins(now)
    for work, longest, waited in steps:
        now += work
        detector.wait_begins(now, longest)
        now += waited
        detector.reading_begins(now)
        found.append(round(detector.unread_for(now), 3))
    return found


def test_an_ordinary_loop_reads_nothing_old():
    assert (
        passes((0.001, 0.1, 0.1), (0.0, 0.1, 0.02), (STALL_THRESHOLD_MS / 1000, 0.0, 0.0), (0.01, 0.05, 0.05))
        == [0.0] * 4
    )


@pytest.mark.parametrize(("step", "unread"), [((0.5, 0.0, 0.0), 0.5), ((0.5, 0.1, 0.0), 0.5), ((0.0, 0.1, 1.1), 1.1)])
def test_after_a_stall_input_counts_as_old_for_some_passes(step, unread):
    found = passes(step, *[(0.0, 0.1, 0.0)] * STALE_PASSES)
    assert found == [unread] * STALE_PASSES + [0.0]


def test_a_process_that_is_busy_for_long_counts_its_last_passes_only():
    """Each further pass that took long kept the first one's moment: in a long flood all that was read looked old."""
    found = passes(*[(0.05, 0.0, 0.0)] * 100)[STALE_PASSES - 1 :]
    assert found == [round(0.05 * STALE_PASSES, 3)] * (101 - STALE_PASSES)
