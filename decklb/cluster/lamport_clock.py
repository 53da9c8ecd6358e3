"""A logical clock (Lamport, 1978) that orders the terms of duties. Each node sends its time in every datagram."""

from __future__ import annotations


class LamportClock:
    """A counter that is never below a time received from another member."""

    def __init__(self, value: int = 0) -> None:
        self.value = value

    def observe(self, value: int) -> None:
        """Advance the clock to a time received from another member."""
        self.value = max(self.value, value)

    def next_term(self) -> int:
        """Return a new term, above all terms issued or received before."""
        self.value += 1
        return self.value
