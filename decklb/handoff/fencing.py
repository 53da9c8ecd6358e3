"""Who may act on a record, so that a request is never run by two managers at once (free of I/O).

Three rules, after leases (Gray, Cheriton 1989) and the prepare phase of Paxos (Lamport 1998):

- The holder acts only on a version that a quorum of the record's voters has acknowledged, and only while such a quorum
  has acknowledged something it sent within `lease` (the holder counts itself where it is a voter).
- A voter grants a claim only to a ballot (term, claimer) above every one it granted before, and from then on refuses
  copies and acknowledgements of lower terms. Its grant carries the newest record it holds.
- A claimer that has a quorum of grants takes the newest record among them, and acts only `lease * (1 + drift)` after
  the last grant came: by then any earlier holder has stopped, since its quorum and the claimer's share a voter.

Times are each member's own clock, in milliseconds; only durations on one clock are compared.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from decklb.handoff.records import Record
from decklb.handoff.settings import HandoffSettings

Ballot = tuple[int, str]  # term, claimer: claims of the same term are ordered by name


def quorum_of(record: Record, settings: HandoffSettings) -> int:
    """Grants or acknowledgements a record needs: a majority of its voters."""
    return len(record.voters) // 2 + 1 if record.voters else settings.quorum


class Lease:
    """A holder's side: when each voter last acknowledged something, by the time it was sent."""

    def __init__(self, settings: HandoffSettings, me: str) -> None:
        self.settings, self.me = settings, me
        self._heard: dict[str, float] = {}

    def acknowledged(self, voter: str, sent: float) -> None:
        """A voter acknowledged what was sent at `sent`."""
        if sent > self._heard.get(voter, -float("inf")):
            self._heard[voter] = sent

    def forget(self, voter: str) -> None:
        """It lost its memory: what it acknowledged before counts no more."""
        self._heard.pop(voter, None)

    def heard(self, voter: str, now: float) -> bool:
        """Whether it acknowledged something within a lease."""
        return now - self._heard.get(voter, -float("inf")) < self.settings.lease_ms

    def holds(
        self, record: Record, now: float, mine: Promises, unfit: Collection[str] = (), early: float = 0.0
    ) -> bool:
        """True while this member may act on the record, and for `early` ms more. It counts itself only while its own
        grants admit the record: a holder that granted a higher claim has stepped down, whatever others still
        acknowledge. Voters that are unfit (they granted a higher claim, or lost their memory) don't count."""
        if record.holder != self.me or not mine.admits(record):
            return False
        since, heard = now + early - self.settings.lease_ms, self._heard
        fresh = sum(
            1 for v in record.voters if v not in unfit and (v == self.me or heard.get(v, -float("inf")) > since)
        )
        return fresh >= quorum_of(record, self.settings)


class Promises:
    """A voter's side: the highest ballot granted for each key."""

    def __init__(self, touched: dict[str, None]) -> None:
        """`touched` gathers the keys of which something changed."""
        self.touched = touched
        self._granted: dict[str, Ballot] = {}

    def grant(self, key: str, ballot: Ballot) -> bool:
        """True if this claim is granted; it is then the highest for the key."""
        if ballot <= self._granted.get(key, (-1, "")):
            return False
        self._granted[key] = ballot
        self.touched[key] = None
        return True

    def admits(self, record: Record) -> bool:
        """A copy or a request for acknowledgement from a holder: refused once a higher term was granted."""
        granted = self._granted.get(record.key)
        return granted is None or record.term > granted[0] or (record.term, record.holder) == granted

    def term(self, key: str) -> int:
        """The highest term granted for a key; 0 for none."""
        return self._granted.get(key, (0, ""))[0]

    def above(self, key: str, term: int) -> None:
        """From now on only what is above this term: a record of it was let go, and stale copies may be about."""
        self._granted[key] = max((term, ""), self._granted.get(key, (-1, "")))
        self.touched[key] = None

    def granted(self, key: str) -> Ballot | None:
        """The ballot to which this key was last granted, if any."""
        return self._granted.get(key)

    def drop(self, key: str) -> None:
        """Forget what was granted of a key."""
        self.touched[key] = None
        self._granted.pop(key, None)


@dataclass(slots=True)
class Claim:
    """A claimer's side of one key: grants as they come, and when it may act."""

    record: Record  # its own copy when it claimed
    ballot: Ballot
    settings: HandoffSettings
    granted: dict[str, Record | None] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    won_at: float | None = None

    @classmethod
    def start(cls, record: Record, me: str, settings: HandoffSettings, floor: int = 0) -> Claim:
        """A claim above the record's term and above `floor`, a term heard refused before. The claimer's own grant
        comes last (`wants_own`): one that others refuse must not take its vote from a holder that lives."""
        return cls(record, (max(record.term, floor) + 1, me), settings)

    def wants_own(self) -> bool:
        """Whether nothing but the claimer's own grant is lacking."""
        return (
            self.won_at is None
            and self.ballot[1] not in self.granted
            and len(self.granted) + 1 >= quorum_of(self.record, self.settings)
        )

    def grant(self, voter: str, newest: Record | None, now: float) -> None:
        """A voter granted it, with the newest record it holds of the key."""
        if voter in self.record.voters and self.won_at is None:
            self.granted[voter] = newest
            if len(self.granted) >= quorum_of(self.record, self.settings):
                self.won_at = now

    def refuse(self, voter: str) -> None:
        """A voter has refused; who is no voter of this record does not count."""
        if voter in self.record.voters:
            self.refused.add(voter)

    def lost(self) -> bool:
        """Too many refused for a quorum to be reached."""
        return len(self.record.voters) - len(self.refused) < quorum_of(self.record, self.settings)

    def acts_from(self) -> float | None:
        """When the new holder may act: a lease and its drift after it won; None before."""
        if self.won_at is None:
            return None
        return self.won_at + self.settings.lease_ms * (1 + self.settings.max_clock_drift)

    def newest(self, run: int = 0) -> Record:
        """The record it takes: the newest among the grants, under its own term."""
        best = max((r for r in (self.record, *self.granted.values()) if r is not None), key=Record.precedence)
        return best.transferred_to(self.ballot[1], self.ballot[0], run)
