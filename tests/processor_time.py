"""Compares the processor time that a function takes for an input with that for one four times as long."""

from __future__ import annotations

import time

MAX_GROWTH = 8.0  # of the time for four times the input: 4 is linear, 16 is quadratic
REPETITIONS = 5  # the shortest time of these is taken, since other work on the machine only adds to it


def growth(function, make_input, size):
    """Return the processor time of `function` for `make_input(4 * size)`, divided by that for `make_input(size)`."""
    small, large = make_input(size), make_input(4 * size)
    return _shortest_time(function, large) / _shortest_time(function, small)


def _shortest_time(function, argument):
    times = []
    for _ in range(REPETITIONS):
        started = time.thread_time()
        function(argument)
        times.append(time.thread_time() - started)
    return min(times)
