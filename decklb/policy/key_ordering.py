"""Order by key: requests of serial classes that share a key run one after another, in the order taken.

After an attempt whose end is uncertain the key is held down for a while, since its engine may still be at
work on it (the rule on order, `settle_after_doubt`; docs/incidents/0001). An answer read on a socket is
uncertain too. Owned by the gateway, which queues the head of a key's line and asks for the hold-down before
it sends.
"""

from __future__ import annotations

from collections import deque

from decklb.interface import Settings
from decklb.policy.records import Request


class KeyOrdering:
    """Lines of requests by key, and hold-downs."""

    def __init__(self, settings: Settings) -> None:
        # A tick to the safe side, if hold-downs are asked for.
        self._hold_down_ms = (
            settings.key_hold_down_ms + settings.tick_ms if settings.key_hold_down_ms else 0.0
        )
        self._lines: dict[str, deque[Request]] = {}
        self.held_until: dict[str, float] = {}  # ms, by key

    def join(self, request: Request) -> bool:
        """Take a place in the line of its key; whether it is the first, or needs no line."""
        key = request.arrival.ordering_key
        if not request.spec.ordered_by_key or key is None:
            return True
        line = self._lines.setdefault(key, deque())
        line.append(request)
        return len(line) == 1

    def advance(self, key: str | None, now: float) -> Request | None:
        """Drop from the line what has ended; the new head if it was never queued."""
        line = self._lines.get(key) if key is not None else None
        if key is None or line is None:
            return None
        until = now + self._hold_down_ms
        while line and line[0].closed and not line[0].is_in_flight():
            if any(attempt.is_uncertain for attempt in line[0].attempts):
                self.held_until[key] = max(until, self.held_until.get(key, until))
            line.popleft()
        if not line:
            self._lines.pop(key, None)
            return None
        head = line[0]
        return None if head.closed or head.queued or head.attempts else head

    def is_held(self, request: Request, now: float) -> bool:
        """Whether the request must wait for its key's hold-down."""
        return (
            request.spec.ordered_by_key and self.held_until.get(request.arrival.ordering_key or "", 0.0) > now
        )

    def hold_again(self, key: str, now: float) -> None:
        """The last end was not one yet: hold down anew, unless it is over and the next may be in flight."""
        if self.held_until.get(key, now) > now:
            self.held_until[key] = max(now + self._hold_down_ms, self.held_until[key])

    def expire(self, now: float) -> None:
        """Forget hold-downs that are over: keys are always new."""
        self.held_until = {key: until for key, until in self.held_until.items() if until > now}

    def waiting(self) -> list[Request]:
        """Requests behind another of their key."""
        return [r for line in self._lines.values() for r in line if not (r.closed or r.queued or r.attempts)]
