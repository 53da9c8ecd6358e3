"""Samples the resident memory of a process from the outside (proc(5)), in a thread of its own."""

from __future__ import annotations

import os
import threading
import time

SAMPLE_INTERVAL_S = 0.02
BYTES_PER_MB = 1 << 20


class MemorySampler:
    """Samples one process until it is stopped or the process has ended.

    Attributes:
        first_mb: Resident memory at the start in MB.
        last_mb: Resident memory in the latest sample in MB.
        peak_mb: Highest resident memory in MB (2**20 bytes).
        own_delay_ms: Longest time by which a sample was late.
    """

    def __init__(self, pid: int) -> None:
        self._pid, self._stopped = pid, threading.Event()
        self.first_mb = self.peak_mb = self.last_mb = resident_mb(pid)
        self.own_delay_ms = 0.0
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def _sample(self) -> None:
        due = time.monotonic() + SAMPLE_INTERVAL_S
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            now = time.monotonic()
            self.own_delay_ms = max(self.own_delay_ms, 1000 * (now - due))
            due = now + SAMPLE_INTERVAL_S
            try:
                self.last_mb = resident_mb(self._pid)
            except OSError:
                return
            self.peak_mb = max(self.peak_mb, self.last_mb)

    def stop(self) -> float:
        """Stop sampling and return the peak in MB."""
        self._stopped.set()
        self._thread.join()
        return self.peak_mb


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB. Raises OSError if it has ended."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
