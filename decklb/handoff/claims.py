"""The claimer's view of one claim: the grants it received, and when it may act on the claimed record.

A claimer with a quorum of grants adopts the newest record among them. It acts on that record only
`lease * (1 + drift)` after it received the last of these grants: by then any earlier holder has stopped, because its
quorum and the claimer's share a voter. `takeover.py` owns the active claims. Times are in ms on this member's clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from decklb.handoff.ballots import Ballot, quorum_of
from decklb.handoff.records import Record
from decklb.handoff.settings import HandoffSettings


@dataclass(slots=True)
class Claim:
    """One member's claim of one key under one ballot."""

    record: Record  # the claimer's own replica at the time of the claim
    ballot: Ballot
    settings: HandoffSettings
    grants: dict[str, Record | None] = field(default_factory=dict)  # newest record that the voter has, by voter
    rejections: set[str] = field(default_factory=set)  # voters that rejected the claim
    won_at_ms: float | None = None  # when the grants became a quorum

    @classmethod
    def start(cls, record: Record, claimer: str, settings: HandoffSettings, min_term: int = 0) -> Claim:
        """Start a claim with a term above the record's and above `min_term`, the highest term known at any voter.

        The claimer's own grant comes last (`needs_own_grant`): a claim that others reject must not withdraw the
        claimer's vote from a holder that is alive.
        """
        return cls(record, (max(record.term, min_term) + 1, claimer), settings)

    @property
    def quorum(self) -> int:
        """Number of grants needed to win the claim."""
        return quorum_of(self.record, self.settings)

    def needs_own_grant(self) -> bool:
        """Whether only the claimer's own grant is missing."""
        return self.won_at_ms is None and self.ballot[1] not in self.grants and len(self.grants) + 1 >= self.quorum

    def add_grant(self, voter: str, newest: Record | None, now: float) -> None:
        """Record a voter's grant, with the newest record it has of the key."""
        if voter in self.record.voters and self.won_at_ms is None:
            self.grants[voter] = newest
            if len(self.grants) >= self.quorum:
                self.won_at_ms = now

    def add_rejection(self, voter: str) -> None:
        """Record a voter's rejection; members that are not voters of the record are ignored."""
        if voter in self.record.voters:
            self.rejections.add(voter)

    def is_lost(self) -> bool:
        """Whether there are too many rejections to reach a quorum."""
        return len(self.record.voters) - len(self.rejections) < self.quorum

    def effective_from(self) -> float | None:
        """Return when the claimer may act: a lease, extended for clock drift, after it won. None if it has not won."""
        if self.won_at_ms is None:
            return None
        return self.won_at_ms + self.settings.lease_ms * (1 + self.settings.max_clock_drift)

    def claimed_record(self, incarnation: int = 0) -> Record:
        """Return the newest record among the grants, transferred to the claimer under `incarnation`."""
        known = (record for record in (self.record, *self.grants.values()) if record is not None)
        term, claimer = self.ballot
        return max(known, key=Record.precedence).transferred_to(claimer, term, incarnation)
