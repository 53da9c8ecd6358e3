"""The handoff's settings. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HandoffSettings:
    """How work in hand is copied and taken over.

    A takeover needs a quorum of a record's voters, so `copies - quorum` of them may be lost at once, with the owner
    where it is none of them.
    """

    copies: int = 3  # voters: members that hold each record and vote on who acts on it; the owner may be one
    members: int = 3  # of the whole fleet: with fewer known nothing is protected, as two sides could each form a quorum
    patience: float = 250.0  # for a quorum's word before a request is taken, an attempt sent or an answer given
    beat: float = 250.0  # between beats to each member, which hold the leases
    resend: float = 150.0  # after which a copy without word is sent again
    stagger: float = 400.0  # between the turns in which voters claim what a lost member held
    longest: float = 30_000.0  # budget of a protected request at most
    room: int = 64 << 20  # bytes of requests and answers held, own and copies together
    buckets: int = 4096  # keys are placed by bucket, so that a change of members reranks buckets, not records
    capacity: int = 200_000  # records held, own and copies together
    answer_bytes: int = 65_536  # of an answer above this only the outcome is copied
    lease: float = 2_000.0  # an owner cut off from its voters stops acting this long after it last heard them
    drift: float = 0.01  # by which one member's clock may run faster than another's
    linger: float = 5_000.0  # a final answer is kept this long past its deadline, for a client that comes back
    slack: float = 500.0  # past a deadline the protocol still counts an answer
    data: str = ""  # folder of the store by which records outlive the process; none without

    def __post_init__(self) -> None:
        if not 1 <= self.copies <= 8:
            raise ValueError("copies must be from 1 to 8")
        if self.buckets < 1 or self.capacity < 1 or self.answer_bytes < 0:
            raise ValueError("buckets and capacity must be above 0, answer-bytes at least 0")
        if min(self.lease, self.linger) <= 0 or not 0 <= self.drift < 0.5 or self.slack < 0:
            raise ValueError("lease and linger must be above 0, drift from 0 to 0.5, slack at least 0")
        if min(self.patience, self.beat, self.resend, self.stagger, self.longest, self.room, self.members) <= 0:
            raise ValueError("members, patience, beat, resend, stagger, longest and room must be above 0")
        if self.data and self.copies < 2:
            raise ValueError("data needs at least 2 copies: what is written here is no vote by itself")
        if self.lease < 3 * self.beat:
            raise ValueError("lease must be at least three beats, or one lost beat would end it")

    @property
    def quorum(self) -> int:
        """How many voters must grant a claim: a majority of them, so that two claims can't both win."""
        return self.copies // 2 + 1

    @property
    def life(self) -> float:
        """How long a record lives at most: a member that remembers for so long has forgotten none."""
        return (self.longest + self.slack + self.linger) * (1 + self.drift)
