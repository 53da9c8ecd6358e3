"""Timers that, after a stall of the process, run only once pending socket input has been read.

When a stalled process resumes, its timers are due, but its sockets hold input that it has not read: clients may have
disconnected, engines may have answered, and the endpoint list may have changed. A timer that starts or repeats work
must therefore not act before the sockets have been read.
"""

from __future__ import annotations

from collections.abc import Callable

from decklb.core.ports import Clock, Timer

# Lateness of a timer in ms above which the process counts as stalled. It is below 100 ms because no attempt may start
# more than 100 ms after its client has disconnected.
STALL_THRESHOLD_MS = 40.0


def call_after_reading(clock: Clock, delay_ms: float, callback: Callable[[], None]) -> Timer:
    """Schedule a call; if the process was stalled when the call was due, the sockets are read twice before it.

    The first pass reads the pending data of a connection, the second its end.
    """
    due_ms = clock.now() + delay_ms

    def on_due() -> None:
        if clock.now() - due_ms <= STALL_THRESHOLD_MS:
            callback()
        else:
            clock.call_later(0.0, wait_for_second_pass)

    def wait_for_second_pass() -> None:
        clock.call_later(0.0, callback)

    return clock.call_later(delay_ms, on_due)
