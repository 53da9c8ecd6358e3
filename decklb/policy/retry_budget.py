"""Retries: which requests may get another attempt, and the retry budget that all requests share.

The rules are: a request that must not be executed twice gets no retry once it may have been executed, the
number of attempts per request is bounded, and retries within a sliding window are bounded by a budget (a
floor plus a ratio of the accepted requests, as in Finagle's and Envoy's retry budgets). To be on the safe
side, requests are counted over a window that is two ticks shorter, retries over one that is a tick longer.
Owned by the gateway.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque

from decklb.interface import Effect, Outcome, Settings
from decklb.policy.deadlines import is_too_late
from decklb.policy.records import Request

# Errors after which a request is not retried: a request that fails at every engine would use up the budget.
MAX_ERRORS = 2


class SlidingWindow(deque[float]):
    """Times in ascending order, none more than `span_ms` before the newest."""

    def __init__(self, span_ms: float) -> None:
        super().__init__()
        self.span_ms = span_ms

    def add(self, now: float) -> None:
        """Add the current time and remove expired ones, so that the window stays small if never read."""
        self.append(now)
        self.count_since(now - self.span_ms)

    def discard(self, time: float) -> None:
        """Remove one entry of that time, if it is still in the window."""
        index = bisect_left(self, time)
        if index < len(self) and self[index] == time:
            del self[index]

    def count_since(self, start: float) -> int:
        """Return the number of entries at or after `start`; older ones are removed."""
        while self and self[0] < start:
            self.popleft()
        return len(self)


class RetryBudget:
    """The windows of requests and retries, and the rules on retries."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        span_ms = settings.retry_budget_window_ms + 2 * settings.tick_ms
        self._requests, self._retries = SlidingWindow(span_ms), SlidingWindow(span_ms)

    def add_request(self, now: float) -> None:
        """Count an accepted request."""
        self._requests.add(now)

    def discard_request(self, arrived_at: float) -> None:
        """Stop counting a request that was never sent or whose first attempt had an error.

        Otherwise a flood of requests that are cancelled, or that no engine can execute, would pay for retries
        of other requests.
        """
        self._requests.discard(arrived_at)

    def add_retry(self, now: float) -> None:
        """Count an attempt beyond the first."""
        self._retries.add(now)

    def allows(self, request: Request, now: float) -> bool:
        """Return whether another attempt is allowed.

        Its class, the number of attempts, the time left and the budget have to allow it.
        """
        settings, spec = self._settings, request.spec
        executed = request.first_possibly_executed()
        if request.closed or request.streaming or len(request.attempts) >= settings.max_attempts:
            return False
        if is_too_late(request, now, settings.tick_ms):
            return False
        if sum(attempt.outcome is Outcome.ERROR for attempt in request.attempts) >= MAX_ERRORS:
            return False
        if executed and spec.effect is Effect.UNSAFE:
            return False
        if (
            executed
            and spec.effect is Effect.KEYED
            and now > executed.sent_at + spec.deduplication_window_ms - settings.tick_ms
        ):
            return False
        return self._has_budget(now)

    def _has_budget(self, now: float) -> bool:
        settings = self._settings
        if settings.retry_budget_ratio is None:
            return True
        start = now - settings.retry_budget_window_ms
        max_retries = settings.retry_budget_floor + settings.retry_budget_ratio * self._requests.count_since(
            start + 2 * settings.tick_ms
        )
        return self._retries.count_since(start - settings.tick_ms) + 1 <= max_retries
