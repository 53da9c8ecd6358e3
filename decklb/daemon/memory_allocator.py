"""Settings of the C library's allocator, so that large buffers go back to the system when they are freed.

By default glibc raises the size from which it maps a block separately when such a block is freed (mallopt(3)). Message
buffers then come from the heap, which does not shrink while anything above them is in use.
"""

from __future__ import annotations

import ctypes

M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3  # parameters of mallopt, from malloc.h
MMAP_THRESHOLD_BYTES = 512 << 10  # blocks of this size and above are mapped
TRIM_THRESHOLD_BYTES = 4 << 20  # free memory at the end of the heap that is kept


def return_large_buffers() -> bool:
    """Apply the settings to this process; returns whether the C library took them."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):  # another C library
        return False
    taken = mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES), mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
    return all(taken)
