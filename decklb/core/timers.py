"""Timers that do not act on an old view of the world after the process was held up."""

from __future__ import annotations

from collections.abc import Callable

from decklb.core.ports import Clock, Timer

# ms of lateness from which a timer lets the sockets be read first. A process that was held up has unread, next to its
# own due timers, that clients have left, that engines have answered and that the list has changed; an attempt must not
# begin more than 100 ms after its client has left.
HELD = 40.0


def call_after_reading(clock: Clock, delay: float, call: Callable[[], None]) -> Timer:
    """Make a call after `delay` ms; if the process was held up until then, two passes of reading come first.

    Two passes, since what a connection brought is read in the first and its end in the second.
    """
    due = clock.now() + delay

    def now_due() -> None:
        if clock.now() - due <= HELD:
            call()
        else:
            clock.call_later(0.0, second_pass)

    def second_pass() -> None:
        clock.call_later(0.0, call)

    return clock.call_later(delay, now_due)
