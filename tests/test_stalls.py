"""Stalls of the process: input that it reads afterwards has waited unread, and so have its clients."""

from __future__ import annotations

import signal
import time

import pytest

from decklb.core.timers import STALL_THRESHOLD_MS
from decklb.net import frames, resp
from decklb.wire.stall_detector import STALE_PASSES, StallDetector
from tests.frame_standins import Client, RespEngine, request
from tests.standins import Loop, Program, endpoint_list, wait_for

BUDGET_S, STALL_S, TOLERANCE_S = 3.0, 1.0, 0.15  # the tolerance is specified by the operators


class TimedEngine(RespEngine):
    """Records when the last statement was read."""

    def _do(self, writer, ident, words):
        self.read_at = time.monotonic()
        super()._do(writer, ident, words)


@pytest.mark.parametrize("existing", [True, False], ids=["existing-connection", "new-connection"])
def test_after_a_stall_an_engine_gets_no_more_budget_than_the_client_has_left(existing):
    """A request that was sent during a stall was once given its full budget after the stall."""
    loop = Loop()
    engine = TimedEngine(loop)
    program = Program({"known": endpoint_list(engine.port)})
    try:
        client = Client(program.port)
        client.send(request(1, b"rows 1"))
        client.answer()
        program.process.send_signal(signal.SIGSTOP)
        client = client if existing else Client(program.port)
        client.send(request(2, b"rows 1", budget=str(int(BUDGET_S * 1000))))
        sent_at = time.monotonic()
        time.sleep(STALL_S)
        program.process.send_signal(signal.SIGCONT)
        assert client.answer()[:2] == (2, frames.SERVED)
        wait_for(lambda: len(engine.received(b"do")) == 2, "the attempt")
        engine_budget_s = int(resp.read_fields(engine.received(b"do")[1][2])["budget"]) / 1000
        assert engine_budget_s <= sent_at + BUDGET_S - engine.read_at + TOLERANCE_S
    finally:
        program.stop()
        engine.close()
        loop.stop()


def unread_times(*steps):
    """The result of `unread_for` in each pass.

    A step is the seconds of work before the wait, the longest wait allowed and the seconds waited.
    """
    detector, now, unread = StallDetector(), 10.0, []
    detector.wait_begins(now, 0.1)
    detector.reading_begins(now)
    for work_s, max_wait_s, wait_s in steps:
        now += work_s
        detector.wait_begins(now, max_wait_s)
        now += wait_s
        detector.reading_begins(now)
        unread.append(round(detector.unread_for(now), 3))
    return unread


def test_without_a_stall_no_input_has_waited_unread():
    assert (
        unread_times((0.001, 0.1, 0.1), (0.0, 0.1, 0.02), (STALL_THRESHOLD_MS / 1000, 0.0, 0.0), (0.01, 0.05, 0.05))
        == [0.0] * 4
    )


@pytest.mark.parametrize(("step", "unread"), [((0.5, 0.0, 0.0), 0.5), ((0.5, 0.1, 0.0), 0.5), ((0.0, 0.1, 1.1), 1.1)])
def test_input_read_in_the_first_passes_after_a_stall_has_waited_unread(step, unread):
    result = unread_times(step, *[(0.0, 0.1, 0.0)] * STALE_PASSES)
    assert result == [unread] * STALE_PASSES + [0.0]


def test_a_process_that_stays_busy_counts_only_its_last_passes():
    """Each long pass once kept the start time of the first, so in a long flood all input seemed to have waited."""
    result = unread_times(*[(0.05, 0.0, 0.0)] * 100)[STALE_PASSES - 1 :]
    assert result == [round(0.05 * STALE_PASSES, 3)] * (101 - STALE_PASSES)
