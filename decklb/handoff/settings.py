"""The handoff's settings. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HandoffSettings:
    """How work in hand is copied and taken over.

    A takeover needs a quorum of the successors, so the owner and `copies - quorum` successors may be lost at once.
    """

    copies: int = 3  # successors: members beside the owner that hold each record
    buckets: int = 4096  # keys are placed by bucket, so that a change of members reranks buckets, not records
    capacity: int = 200_000  # records held, own and copies together
    answer_bytes: int = 65_536  # an answer above this is not copied: its request counts as sent, not answered
    lease: float = 2_000.0  # an owner cut off from its copies stops acting this long after it last heard them
    drift: float = 0.01  # by which one member's clock may run faster than another's
    linger: float = 5_000.0  # a final answer is kept this long past its deadline, for a client that comes back
    slack: float = 500.0  # past a deadline the protocol still counts an answer

    def __post_init__(self) -> None:
        if not 1 <= self.copies <= 8:
            raise ValueError("copies must be from 1 to 8")
        if self.buckets < 1 or self.capacity < 1 or self.answer_bytes < 0:
            raise ValueError("buckets and capacity must be above 0, answer-bytes at least 0")
        if min(self.lease, self.linger) <= 0 or not 0 <= self.drift < 0.5 or self.slack < 0:
            raise ValueError("lease and linger must be above 0, drift from 0 to 0.5, slack at least 0")

    @property
    def quorum(self) -> int:
        """How many successors must grant a claim: a majority of them, so that two claims can't both win."""
        return self.copies // 2 + 1
