"""What a manager knows of one request it took, as it is copied to others (free of I/O).

A record is whole and immutable: a copy replaces an older one, never merges with it. Of two records of a key the one of
the higher term wins, and within a term the higher version: only the holder of a term writes its versions. Two managers
that were given a new key at once may both write term 1; only one of them is admitted by a quorum, and its record wins.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace
from enum import IntEnum

from decklb.interface import Effect

TOO_LARGE = "too-large"  # reason of a final answer that was not copied


class Stage(IntEnum):
    """Where a request stands. The order is the order of its life."""

    QUEUED = 0  # taken and never sent on, or sent and proven not to have run (the engine said FULL)
    SENT = 1  # sent to `engine`; it may have run
    ANSWERED = 2  # its final answer is known, and kept until it lapses for a client that comes back


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
    voters: tuple[str, ...] = ()  # fixed when it was taken: they alone grant claims and acknowledge copies
    run: int = 0  # of the owner's process: an owner that came back under its name knows nothing of earlier runs
    made: bool = False  # the key was made by a manager, so nobody can have used it before
    admitted: bool = False  # a quorum took it: its holder has gone on from the first version
    stage: Stage = Stage.QUEUED
    engine: str = ""  # where it was last sent
    attempts: int = 0
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""  # why it ended so, for the log
    trace: bytes = b""  # by which the attempt at `engine` can be called off there, where the wire knows such a thing

    def order(self) -> tuple[int, bool, int]:
        """Which of two records of a key stands: the higher."""
        return self.term, self.admitted, self.version

    def newer(self, other: Record | None) -> bool:
        """True where this one replaces `other`."""
        return other is None or self.order() > other.order()

    def sent(self, engine: str, trace: bytes = b"") -> Record:
        """An attempt goes to `engine`."""
        return replace(
            self,
            stage=Stage.SENT,
            engine=engine,
            trace=trace,
            attempts=self.attempts + 1,
            admitted=True,
            version=self.version + 1,
        )

    def traced(self, trace: bytes) -> Record:
        """How the attempt that is out can be called off."""
        return replace(self, trace=trace, version=self.version + 1)

    def bounced(self) -> Record:
        """The engine answered FULL: the attempt never ran, and the request may be sent again by anyone."""
        return replace(self, stage=Stage.QUEUED, trace=b"", version=self.version + 1)

    def answered(self, outcome: Outcome, answer: bytes, room: int, reason: str = "") -> Record:
        """Its final answer is known. Of one too large to be copied only the outcome is: what was served is never in
        doubt, and what its class lets be repeated is sent again for a client that comes back."""
        if len(answer) > room:
            answer, reason = b"", TOO_LARGE
        return replace(
            self,
            stage=Stage.ANSWERED,
            outcome=outcome,
            answer=answer,
            reason=reason,
            admitted=True,
            version=self.version + 1,
        )

    @property
    def kept(self) -> bool:
        """Whether the final answer can be given to a client that comes back."""
        return self.stage >= Stage.ANSWERED and self.reason != TOO_LARGE

    def taken(self, owner: str, term: int, run: int = 0) -> Record:
        """Another member holds it from now, under a higher term."""
        return replace(self, owner=owner, term=term, run=run, version=0, admitted=True)

    def ended(self, outcome: Outcome, reason: str) -> Record:
        """Its final answer is one the holder gives itself, without an engine: refused or failed."""
        return replace(
            self,
            stage=Stage.ANSWERED,
            outcome=outcome,
            answer=b"",
            reason=reason,
            admitted=True,
            version=self.version + 1,
        )
