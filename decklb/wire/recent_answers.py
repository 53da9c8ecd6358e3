"""Recent answers of an engine connection, which become uncertain if the connection is lost.

A complete answer proves that its bytes arrived, but not that the engine has finished the attempt. If the connection
breaks right after the last byte, the engine counts the attempt as aborted, although its answer was read here. Both
happen within a millisecond of each other but are read in different passes of the event loop. Therefore each engine
connection owns a `RecentAnswers` and reports the ends of its attempts through it (see docs/incidents/0001).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from decklb.core.attempts import Attempt
from decklb.core.ports import Clock
from decklb.core.timers import call_after_reading
from decklb.interface import Outcome

# An answer that may lead to a retry is delayed by this time, so that an end of its connection is read first.
RETRYABLE_ANSWER_DELAY_MS = 20.0
# Time after an answer in which the end of its connection makes the answer uncertain.
UNCERTAINTY_WINDOW_MS = 1000.0


class RecentAnswers:
    """The attempts that were answered on one connection within the last second."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._delayed: dict[Attempt, Outcome] = {}  # not reported yet
        self._reported: deque[tuple[float, Attempt]] = deque()  # with the time of the report in ms, oldest first

    def answered(self, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        """Report the outcome in the engine's answer: a success at once, any other after the delay."""
        if outcome is Outcome.SUCCESS:
            self._report(attempt, outcome, result)
            return
        self._delayed[attempt] = outcome
        call_after_reading(self._clock, RETRYABLE_ANSWER_DELAY_MS, partial(self._release, attempt))

    def connection_lost(self, delay_ms: float = 0.0) -> int:
        """The connection has ended: turn delayed answers into resets and mark recently reported ones as uncertain.

        Must not be called after an orderly close by us with no open attempt.

        Args:
            delay_ms: time after which the engine is certain to have noticed the end; reports are delayed by it.

        Returns:
            The number of answers that become uncertain.
        """
        delayed, self._delayed = self._delayed, {}
        reported, self._reported = self._reported, deque()
        since = self._clock.now() - UNCERTAINTY_WINDOW_MS
        reports: list[Callable[[], None]] = [partial(attempt.end, Outcome.CONNECTION_RESET) for attempt in delayed]
        reports += [attempt.mark_uncertain for reported_at, attempt in reported if reported_at >= since]
        for report in reports:
            if delay_ms:
                self._clock.call_later(delay_ms, report)
            else:
                report()
        return len(reports)

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
