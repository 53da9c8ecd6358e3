"""The log of failed system calls: each error of each call at most once a second.

State: when each pair of call and error was last logged, for the whole process. Called by the reactor and its sockets.
"""

from __future__ import annotations

import time

from loguru import logger

REPEAT_AFTER_S = 1.0  # until the same error of the same call is logged once more


class SystemCallLog:
    """Logs errors of system calls, the same one no more than once in `REPEAT_AFTER_S`."""

    def __init__(self) -> None:
        self._logged_at: dict[tuple[str, int], float] = {}  # (call, errno): seconds of the monotonic clock

    def failed(self, call: str, error: OSError) -> None:
        """One line with the call and the error's name."""
        now, kind = time.monotonic(), (call, error.errno or 0)
        if now - self._logged_at.get(kind, -REPEAT_AFTER_S) >= REPEAT_AFTER_S:
            self._logged_at[kind] = now
            logger.warning(
                "system call failed: {call}: {error}",
                event="system-call-failed",
                call=call,
                error=error.strerror or repr(error),
                errno=error.errno,
            )


system_calls = SystemCallLog()
