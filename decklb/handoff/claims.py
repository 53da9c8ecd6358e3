"""A claimer's side of one claim: the grants it has, and from when it may act on the record it claimed.

A claimer that has a quorum of grants takes the newest record among them, and acts only `lease * (1 + drift)` after the
last grant came: by then any earlier holder has stopped, since its quorum and the claimer's share a voter. `takeover.py`
owns the claims under way. Times are this member's own clock in milliseconds.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from decklb.handoff.ballots import Ballot, quorum_of
from decklb.handoff.records import Record
from decklb.handoff.settings import HandoffSettings


@dataclass(slots=True)
class Claim:
    """One member's claim of one key under one ballot."""

    record: Record  # the claimer's own replica when it claimed
    ballot: Ballot
    settings: HandoffSettings
    grants: dict[str, Record | None] = field(default_factory=dict)  # by voter, with the newest record it keeps
    rejections: set[str] = field(default_factory=set)  # voters
    won_at_ms: float | None = None  # when the grants became a quorum

    @classmethod
    def start(cls, record: Record, claimer: str, settings: HandoffSettings, min_term: int = 0) -> Claim:
        """A claim above the record's term and above `min_term`, which rejected an earlier claim.

        The claimer's own grant comes last (`needs_own_grant`): a claim that others reject must not take its vote from a
        holder that lives.
        """
        return cls(record, (max(record.term, min_term) + 1, claimer), settings)

    @property
    def quorum(self) -> int:
        """How many grants win the claim."""
        return quorum_of(self.record, self.settings)

    def needs_own_grant(self) -> bool:
        """Whether nothing but the claimer's own grant is lacking."""
        return self.won_at_ms is None and self.ballot[1] not in self.grants and len(self.grants) + 1 >= self.quorum

    def add_grant(self, voter: str, newest: Record | None, now: float) -> None:
        """A voter granted the claim, with the newest record it keeps of the key."""
        if voter in self.record.voters and self.won_at_ms is None:
            self.grants[voter] = newest
            if len(self.grants) >= self.quorum:
                self.won_at_ms = now

    def add_rejection(self, voter: str) -> None:
        """A voter rejected the claim; members that are no voters of the record don't count."""
        if voter in self.record.voters:
            self.rejections.add(voter)

    def is_lost(self) -> bool:
        """Whether too many rejected it for a quorum to be reached."""
        return len(self.record.voters) - len(self.rejections) < self.quorum

    def effective_from(self) -> float | None:
        """When the claimer may act: a lease and its drift after it won. None before it won."""
        if self.won_at_ms is None:
            return None
        return self.won_at_ms + self.settings.lease_ms * (1 + self.settings.max_clock_drift)

    def claimed_record(self, incarnation: int = 0) -> Record:
        """The newest record among the grants, transferred to the claimer's process of that incarnation."""
        known = (record for record in (self.record, *self.grants.values()) if record is not None)
        term, claimer = self.ballot
        return max(known, key=Record.precedence).transferred_to(claimer, term, incarnation)
