"""Runs the program like `python -m decklb`, with a wall clock that signals set forward or back.

The fault runs start `python -m decklb.lab.faults.clock_jump serve ...` in place of the program. SIGUSR1 sets this
process's wall clock an hour ahead of the machine's, SIGUSR2 a minute behind it, and SIGWINCH resets it. Setting the
machine's own clock would need privileges and would affect every process at once. The monotonic clock never jumps.
"""

from __future__ import annotations

import runpy
import signal
import time

CLOCK_OFFSETS_S = {signal.SIGUSR1: 3600.0, signal.SIGUSR2: -60.0, signal.SIGWINCH: 0.0}  # by signal


def main() -> None:
    """Replace `time.time` in this process, then run the program with unchanged arguments."""
    machine_time = time.time
    offset_s = 0.0

    def jump(number: int, _frame: object) -> None:
        nonlocal offset_s
        offset_s = CLOCK_OFFSETS_S[signal.Signals(number)]

    time.time = lambda: machine_time() + offset_s
    for number in CLOCK_OFFSETS_S:
        signal.signal(number, jump)
    runpy.run_module("decklb", run_name="__main__")


if __name__ == "__main__":
    main()
