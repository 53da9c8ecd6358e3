"""A logical clock (Lamport, 1978) that orders the terms of duties. One a node; its time rides on every datagram."""

from __future__ import annotations


class LamportClock:
    """A counter above all times heard of."""

    def __init__(self, value: int = 0) -> None:
        self.value = value

    def observe(self, value: int) -> None:
        """Another member's time has been received."""
        self.value = max(self.value, value)

    def next_term(self) -> int:
        """A new term, above all that have been heard of."""
        self.value += 1
        return self.value
