"""A rate limit for each name. Membership asks a member for a refutation no more than once in an interval."""

from __future__ import annotations

import math

# Names remembered; beyond that all are forgotten, and some are allowed early.
MAX_NAMES = 4096


class RateLimiter:
    """Allows one event a name and interval."""

    def __init__(self, interval_ms: float) -> None:
        self.interval_ms = interval_ms
        self._last: dict[str, float] = {}

    def allow(self, name: str, now: float) -> bool:
        """Whether the event may happen now; if so it counts as happened."""
        if now - self._last.get(name, -math.inf) < self.interval_ms:
            return False
        if len(self._last) > MAX_NAMES:
            self._last.clear()
        self._last[name] = now
        return True
