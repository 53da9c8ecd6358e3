"""Ordering by key: requests of ordered classes with the same key run one at a time, in order of arrival.

After an attempt whose end is uncertain the key is held down (blocked) for a while, since the engine may still
be executing it (setting `settle_after_doubt`; docs/incidents/0001). An answer read from a socket leaves the
end uncertain too. The gateway owns this object: it sends the head of a key's queue to the scheduler, and
checks the hold-down before each send.
"""

from __future__ import annotations

from collections import deque

from decklb.interface import Settings
from decklb.policy.records import Request


class KeyOrdering:
    """Queues of requests by ordering key, and hold-downs of keys."""

    def __init__(self, settings: Settings) -> None:
        # One tick longer than the setting, to be safe; no hold-downs if the setting is 0.
        self._hold_down_ms = (
            settings.key_hold_down_ms + settings.tick_ms if settings.key_hold_down_ms else 0.0
        )
        self._queues: dict[str, deque[Request]] = {}  # open requests in order of arrival, by key
        self.held_until: dict[str, float] = {}  # time in ms at which the hold-down ends, by key

    def register(self, request: Request) -> bool:
        """Append the request to the queue of its key; return whether it may be sent now.

        It may if it is the first of its key or needs no order.
        """
        key = request.arrival.ordering_key
        if not request.spec.ordered_by_key or key is None:
            return True
        queue = self._queues.setdefault(key, deque())
        queue.append(request)
        return len(queue) == 1

    def advance(self, key: str | None, now: float) -> Request | None:
        """Remove finished requests from the head of a key's queue.

        Returns:
            The new head if it was never sent to the scheduler, else None.
        """
        queue = self._queues.get(key) if key is not None else None
        if key is None or queue is None:
            return None
        until = now + self._hold_down_ms
        while queue and queue[0].closed and not queue[0].is_in_flight():
            if any(attempt.is_uncertain for attempt in queue[0].attempts):
                self.held_until[key] = max(until, self.held_until.get(key, until))
            queue.popleft()
        if not queue:
            self._queues.pop(key, None)
            return None
        head = queue[0]
        return None if head.closed or head.queued or head.attempts else head

    def is_held_down(self, request: Request, now: float) -> bool:
        """Return whether the request must wait for the hold-down of its key."""
        return (
            request.spec.ordered_by_key and self.held_until.get(request.arrival.ordering_key or "", 0.0) > now
        )

    def extend_hold_down(self, key: str, now: float) -> None:
        """Restart a hold-down, since the last attempt may have ended later than its answer.

        A hold-down that is over is not restarted: the next request of the key may be in flight.
        """
        if self.held_until.get(key, now) > now:
            self.held_until[key] = max(now + self._hold_down_ms, self.held_until[key])

    def expire(self, now: float) -> None:
        """Remove hold-downs that are over; keys rarely recur, so the table would grow without bound."""
        self.held_until = {key: until for key, until in self.held_until.items() if until > now}

    def waiting(self) -> list[Request]:
        """Return the open requests that wait behind another of their key."""
        return [
            request
            for queue in self._queues.values()
            for request in queue
            if not (request.closed or request.queued or request.attempts)
        ]
