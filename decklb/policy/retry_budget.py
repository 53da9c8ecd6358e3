"""Retries: which requests may get another attempt, and the budget that all of them share.

The rules: no second effect of a request that may have run, a most of attempts a request, and a budget of
attempts beyond the first within a sliding window (a floor and a ratio of the requests taken, as Finagle's
and Envoy's retry budgets). The budget is computed a tick to the safe side at both ends of the window. Owned
by the gateway.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import deque

from decklb.interface import Effect, Outcome, Settings
from decklb.policy.deadlines import is_hopeless
from decklb.policy.records import Request

MAX_ERRORS = 2  # errors after which a request gets no retry: what no engine can use would use up the budget


class SlidingWindow(deque[float]):
    """Times, oldest first, none older than `span_ms` before the newest."""

    def __init__(self, span_ms: float) -> None:
        super().__init__()
        self.span_ms = span_ms

    def add(self, now: float) -> None:
        """Count one at this moment, and forget what is too old, also where nobody asks for long."""
        self.append(now)
        self.count_since(now - self.span_ms)

    def discard(self, when: float) -> None:
        """One of that time does not count after all, if it is still here."""
        i = bisect_left(self, when)
        if i < len(self) and self[i] == when:
            del self[i]

    def count_since(self, start: float) -> int:
        """How many at or after `start`; what is older is forgotten."""
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
        """Count a request taken."""
        self._requests.add(now)

    def discard_request(self, arrived_at: float) -> None:
        """A request widens the budget no longer: it was never sent, or its first attempt was an error.

        Else a flood of requests taken back, or that no engine can use, would pay for retries of others.
        """
        self._requests.discard(arrived_at)

    def add_retry(self, now: float) -> None:
        """Count an attempt beyond the first."""
        self._retries.add(now)

    def allows(self, request: Request, now: float) -> bool:
        """Whether class, number of attempts, time left and the budget allow another attempt."""
        settings, spec = self._settings, request.spec
        executed = request.first_possibly_executed()
        if request.closed or request.streaming or len(request.attempts) >= settings.max_attempts:
            return False
        if is_hopeless(request, now, settings.tick_ms):
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
        most = settings.retry_budget_floor + settings.retry_budget_ratio * self._requests.count_since(
            start + 2 * settings.tick_ms
        )
        return self._retries.count_since(start - settings.tick_ms) + 1 <= most
