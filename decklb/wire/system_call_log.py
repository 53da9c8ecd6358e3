"""Rate-limited log of failed system calls: each error of each call at most once a second.

State: when each pair of call and error was last logged by this process. Called by the reactor and its sockets.
"""

from __future__ import annotations

import time

from loguru import logger

REPEAT_AFTER_S = 1.0  # minimum interval between log lines for the same error of the same call


class SystemCallLog:
    """Logs errors of system calls, the same error of a call at most once per `REPEAT_AFTER_S`."""

    def __init__(self) -> None:
        self._logged_at: dict[tuple[str, int], float] = {}  # time in s on the monotonic clock, by call and errno

    def failed(self, call: str, error: OSError) -> None:
        """Log the failure of a system call, unless the same one was logged shortly before."""
        now, key = time.monotonic(), (call, error.errno or 0)
        if now - self._logged_at.get(key, -REPEAT_AFTER_S) >= REPEAT_AFTER_S:
            self._logged_at[key] = now
            logger.warning(
                "system call failed: {call}: {error}",
                event="system-call-failed",
                call=call,
                error=error.strerror or repr(error),
                errno=error.errno,
            )


system_calls = SystemCallLog()
