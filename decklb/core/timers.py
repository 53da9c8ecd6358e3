"""Timers that do not act on an old view of the world after the process was held up.

A process that was held up has unread, next to its own due timers, that clients have left, that engines have answered
and that the list of engines has changed. Timers that start or repeat work let the sockets be read first.
"""

from __future__ import annotations

from collections.abc import Callable

from decklb.core.ports import Clock, Timer

# ms of lateness from which a timer counts as held up: an attempt must not begin more than 100 ms after its client has
# left.
STALL_THRESHOLD_MS = 40.0


def call_after_reading(clock: Clock, delay_ms: float, call: Callable[[], None]) -> Timer:
    """Make a call after a delay; if the process was held up until then, two passes of reading come first.

    Two passes, since what a connection brought is read in the first and its end in the second.
    """
    due_ms = clock.now() + delay_ms

    def on_due() -> None:
        if clock.now() - due_ms <= STALL_THRESHOLD_MS:
            call()
        else:
            clock.call_later(0.0, second_pass)

    def second_pass() -> None:
        clock.call_later(0.0, call)

    return clock.call_later(delay_ms, on_due)
