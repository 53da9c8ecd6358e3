"""The program with a wall clock that jumps: `python -m decklb.lab.faults.clock_jump serve ...`, for the fault runs.

SIGUSR1 sets this process's wall clock an hour ahead, SIGUSR2 a minute behind, SIGWINCH back to the machine's. Setting
the machine's own would need rights, and would strike every process at once. The monotonic clock never jumps.
"""

from __future__ import annotations

import runpy
import signal
import time

JUMPS = {signal.SIGUSR1: 3600.0, signal.SIGUSR2: -60.0, signal.SIGWINCH: 0.0}


def main() -> None:
    """Patch, then run the command line as it is."""
    real, offset = time.time, [0.0]

    def jump(number: int, frame: object) -> None:
        offset[0] = JUMPS[signal.Signals(number)]

    time.time = lambda: real() + offset[0]
    for number in JUMPS:
        signal.signal(number, jump)
    runpy.run_module("decklb", run_name="__main__")


if __name__ == "__main__":
    main()
