"""Answers of one engine connection that its end would still put in doubt.

A whole answer proves that its bytes came, not that the engine is done with the attempt. The connection may break right
behind the last byte; the engine then counts the attempt as cut off, while here it was read as an answer. Both happen
within a millisecond of each other and are read in different passes of the event loop. So each engine connection owns a
`RecentAnswers` and reports its attempts' ends through it (see docs/incidents/0001).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from decklb.core.dispatcher import Attempt
from decklb.core.ports import Clock
from decklb.core.timers import call_after_reading
from decklb.interface import Outcome

# An answer that may lead to a retry is held back for so long, so that the end of its connection is read first.
RETRYABLE_ANSWER_DELAY_MS = 20.0
# So long after an answer the end of its connection still makes the answer uncertain.
UNCERTAINTY_WINDOW_MS = 1000.0


class RecentAnswers:
    """The attempts that one connection has answered within the last second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._delayed: dict[Attempt, Outcome] = {}  # not reported yet
        self._reported: deque[tuple[float, Attempt]] = deque()  # with the time (ms) of the report, oldest first

    def answered(self, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        """Report how an attempt ended by its engine's answer: a result at once, anything else after the delay."""
        if outcome is Outcome.SUCCESS:
            self._report(attempt, outcome, result)
            return
        self._delayed[attempt] = outcome
        call_after_reading(self._clock, RETRYABLE_ANSWER_DELAY_MS, partial(self._release, attempt))

    def connection_lost(self, delay_ms: float = 0.0) -> int:
        """Turn delayed answers into resets, and doubt those reported of late: the connection has ended.

        Not to be called where we closed it in an orderly way with nothing open on it.

        Args:
            delay_ms: time until the engine surely knows of the end; reports come after it.

        Returns:
            The number of answers that this makes uncertain.
        """
        delayed, self._delayed = self._delayed, {}
        reported, self._reported = self._reported, deque()
        since = self._clock.now() - UNCERTAINTY_WINDOW_MS
        calls: list[Callable[[], None]] = [partial(attempt.end, Outcome.CONNECTION_RESET) for attempt in delayed]
        calls += [attempt.mark_uncertain for when, attempt in reported if when >= since]
        for call in calls:
            if delay_ms:
                self._clock.call_later(delay_ms, call)
            else:
                call()
        return len(calls)

    def _release(self, attempt: Attempt) -> None:
        outcome = self._delayed.pop(attempt, None)
        if outcome is not None:
            self._report(attempt, outcome)

    def _report(self, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        now = self._clock.now()
        while self._reported and now - self._reported[0][0] > UNCERTAINTY_WINDOW_MS:
            self._reported.popleft()
        self._reported.append((now, attempt))
        attempt.end(outcome, result)
