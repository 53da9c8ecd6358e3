"""When the directory is asked again: steady while it answers, rarer and scattered while it does not.

A fleet that was started together asks together, and one that asks a directory in trouble as often as ever, and anew
for each answer that was lost or spoilt, is a part of that trouble. But news binds 1.5 s after it happened whether it
was heard or not, so the longest wait stays below that.
"""

from __future__ import annotations

from collections.abc import Callable

POLL, TIMEOUT = 250.0, 400.0  # ms between an answer and the next question; that a question may go unanswered
GROWTH, MOST = 1.5, 1000.0  # factor for each failure in a row; the longest a question waits, jitter included
GRACE_PART = 0.25  # of the grace of a drain that a question waits at most: news that waited for a directory may be old
JITTER = 0.2  # part of a wait that is drawn, to either side
SPREAD = 1 << 16  # steps of what is drawn


class Polling:
    """Counts failures in a row. `draw(n)` gives a whole number below n by chance."""

    def __init__(self, draw: Callable[[int], int], grace: float = 0.0) -> None:
        """`grace`: ms in which the settings want news of a drain heeded; 0 where they say nothing."""
        self.draw = draw
        self.most = min(MOST, max(TIMEOUT, GRACE_PART * grace)) if grace > 0 else MOST
        self.failures = 0  # questions in a row that no whole answer came to

    def answered(self) -> float:
        """A whole answer came: ms until the next question."""
        self.failures = 0
        return self._scatter(POLL)

    def asked(self) -> float:
        """A question goes out: ms until it counts as failed and another goes."""
        # Past the bound the power is not reckoned: a directory may be away for days.
        return self._scatter(min(self.most, TIMEOUT * GROWTH ** min(self.failures, 10)))

    def failed(self) -> None:
        """The question came to nothing."""
        self.failures += 1

    def _scatter(self, wait: float) -> float:
        part = 1.0 + JITTER * (2.0 * self.draw(SPREAD) / SPREAD - 1.0)
        return min(self.most, wait * part)
