"""What a manager knows of one request it took, as it is copied to others (free of I/O).

A record is whole and immutable: a copy replaces an older one, never merges with it. Of two records of a key the one of
the higher term wins, and within a term the higher version: only the holder of a term writes its versions.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import IntEnum

from decklb.interface import Effect


class Stage(IntEnum):
    """Where a request stands. The order is the order of its life."""

    QUEUED = 0  # taken and never sent on, or sent and proven not to have run (the engine said FULL)
    SENT = 1  # sent to `engine`; it may have run
    ANSWERED = 2  # its final answer is known and held here, not yet given to the client
    DELIVERED = 3  # the client has its final answer


class Outcome(IntEnum):
    """A final answer, as the protocol has them."""

    SERVED = 0
    REFUSED = 1
    FAILED = 2


def fingerprint(body: bytes) -> str:
    """What tells one request from another under the same key."""
    return hashlib.blake2b(body, digest_size=12).hexdigest()


@dataclass(frozen=True, slots=True)
class Record:
    """One request in hand.

    `deadline` is on the holding member's own clock: a copy carries what is left of it, and its receiver reckons that on
    its own clock (`Table.receive`), so members' clocks need not agree, and one that jumps shortens nothing of others'.
    """

    key: str
    owner: str  # the member that holds the term and alone acts on the request
    term: int
    version: int
    tenant: str
    category: str
    effect: Effect
    deadline: float
    digest: str  # fingerprint of the request
    voters: tuple[str, ...] = ()  # its successors when it was taken: they alone grant claims and acknowledge copies
    stage: Stage = Stage.QUEUED
    engine: str = ""  # where it was last sent
    attempts: int = 0
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""  # why it ended so, for the log

    def order(self) -> tuple[int, int]:
        """Which of two records of a key stands: the higher."""
        return self.term, self.version

    def newer(self, other: Record | None) -> bool:
        """True where this one replaces `other`."""
        return other is None or self.order() > other.order()

    def sent(self, engine: str) -> Record:
        """An attempt goes to `engine`."""
        return replace(self, stage=Stage.SENT, engine=engine, attempts=self.attempts + 1, version=self.version + 1)

    def bounced(self) -> Record:
        """The engine answered FULL: the attempt never ran, and the request may be sent again by anyone."""
        return replace(self, stage=Stage.QUEUED, version=self.version + 1)

    def answered(self, outcome: Outcome, answer: bytes, room: int, reason: str = "") -> Record:
        """Its final answer is known. One too large to be copied leaves the record as sent, so a successor judges by
        the class whether it may be sent again."""
        if len(answer) > room:
            return self
        return replace(self, stage=Stage.ANSWERED, outcome=outcome, answer=answer, reason=reason,
                       version=self.version + 1)

    def delivered(self) -> Record:
        """The client has it: only the outcome is kept, for a client that comes back."""
        return replace(self, stage=Stage.DELIVERED, answer=b"", version=self.version + 1)

    def taken(self, owner: str, term: int) -> Record:
        """Another member holds it from now, under a higher term."""
        return replace(self, owner=owner, term=term, version=0)

    def ended(self, outcome: Outcome, reason: str) -> Record:
        """Its final answer is one the holder gives itself, without an engine: refused or failed."""
        return replace(self, stage=Stage.ANSWERED, outcome=outcome, answer=b"", reason=reason, version=self.version + 1)
