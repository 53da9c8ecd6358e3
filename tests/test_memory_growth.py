"""Over a long emulated day the memory of the real dispatcher and policy stays constant after the first third."""

import gc
import tracemalloc

from decklb.lab.emulation.emulator import Run
from decklb.lab.experiments.bundled import world

SPAN = 120_000.0  # ms of emulated time
PROGRAM = ["*/decklb/core/*", "*/decklb/policy/*", "*/decklb/interface.py"]


def held() -> int:
    """Return the bytes in use that the program's own code allocated, without the laboratory's records."""
    gc.collect()
    snapshot = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, p) for p in PROGRAM])
    return sum(stat.size for stat in snapshot.statistics("filename"))


def test_memory_does_not_grow_with_the_number_of_answered_requests():
    run = Run(world(1, 8, 150.0, SPAN), 5)
    sizes: list[int] = []
    for third in (1, 2, 3):
        run.loop.call_later(SPAN * third / 3, lambda: sizes.append(held()))
    tracemalloc.start()
    try:
        run.run()
    finally:
        tracemalloc.stop()
    assert len(sizes) == 3
    # 6,000 requests come in each third. The window of requests taken, trimmed only where a further attempt was weighed,
    # kept the time of each: 336,778 -> 427,240 bytes from the first third to the end; since, about 15 KiB either way.
    assert sizes[2] - sizes[0] < 40 * 1024, sizes
