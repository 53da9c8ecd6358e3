"""The timer queue."""

from __future__ import annotations

import math

from decklb.cluster.timers import TimerQueue


def test_cancelled_timers_never_run_and_timers_added_by_callbacks_wait_for_the_next_run():
    timers, called = TimerQueue(), []
    timers.call_at(5.0, lambda now: called.append("b"))
    timers.call_at(3.0, lambda now: (called.append("a"), timers.call_at(now, lambda _: called.append("c"))))
    timers.call_at(1.0, lambda now: called.append("never")).cancel()
    assert timers.next_due() == 3.0
    timers.run_due(6.0)
    assert (called, timers.next_due()) == (["a", "b"], 6.0)
    timers.run_due(6.0)
    assert (called, timers.next_due()) == (["a", "b", "c"], math.inf)
