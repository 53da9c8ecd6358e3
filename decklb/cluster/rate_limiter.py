"""A rate limit per name. Membership uses it to ask a member for a refutation at most once per interval."""

from __future__ import annotations

import math

# Maximum number of names remembered. Above it all are forgotten, so that some events are allowed too early.
MAX_NAMES = 4096


class RateLimiter:
    """Allows one event per name and interval."""

    def __init__(self, interval_ms: float) -> None:
        self.interval_ms = interval_ms
        self._last: dict[str, float] = {}

    def allow(self, name: str, now: float) -> bool:
        """Return whether the event is allowed now, and record it if so."""
        if now - self._last.get(name, -math.inf) < self.interval_ms:
            return False
        if len(self._last) > MAX_NAMES:
            self._last.clear()
        self._last[name] = now
        return True
