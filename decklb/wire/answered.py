"""What a connection to an engine has answered of late, for as long as the connection's end puts the answers in doubt.

A whole answer proves that its bytes came, not that the engine is done with the attempt. The connection may break right
behind the last byte; the engine then counts the attempt as cut off, not as ended, while here it was read as an answer.
Both happen within a millisecond of each other and are read in different passes of the event loop.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial

from decklb.core.dispatcher import Attempt
from decklb.core.ports import Clock
from decklb.core.timers import call_after_reading
from decklb.interface import Outcome

# ms for which an answer that may lead to another attempt is held, so that the end of its connection is read first.
HOLD = 20.0
REMEMBERED = 1000.0  # ms after an answer in which the end of its connection is still told


class AnsweredAttempts:
    """The attempts that one connection has answered of late."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._held: dict[Attempt, Outcome] = {}  # not told of yet
        self._told: deque[tuple[float, Attempt]] = deque()

    def answered(self, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        """Pass on how an attempt ended by its engine's answer: a result at once, anything else after HOLD ms."""
        if outcome is Outcome.GOOD:
            return self._tell(attempt, outcome, result)
        self._held[attempt] = outcome
        call_after_reading(self._clock, HOLD, partial(self._release, attempt))

    def connection_lost(self, after: float = 0.0) -> int:
        """The connection has ended and not by our orderly close; `after`: ms until the engine surely knows.

        Returns the number of answers that this puts in doubt.
        """
        held, self._held = self._held, {}
        told, self._told = self._told, deque()
        since = self._clock.now() - REMEMBERED
        calls: list[Callable[[], None]] = [partial(attempt.end, Outcome.RST) for attempt in held]
        calls += [attempt.doubt for when, attempt in told if when >= since]
        for call in calls:
            if after:
                self._clock.call_later(after, call)
            else:
                call()
        return len(calls)

    def _release(self, attempt: Attempt) -> None:
        outcome = self._held.pop(attempt, None)
        if outcome is not None:
            self._tell(attempt, outcome)

    def _tell(self, attempt: Attempt, outcome: Outcome, result: bytes = b"") -> None:
        now = self._clock.now()
        while self._told and now - self._told[0][0] > REMEMBERED:
            self._told.popleft()
        self._told.append((now, attempt))
        attempt.end(outcome, result)
