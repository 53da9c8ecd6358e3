"""A holder's leases: whether enough voters of a record answered it lately for it to act.

After Gray and Cheriton, "Leases" (SOSP 1989). A holder acts on a record only while a quorum of its voters acknowledged
something that it sent within the lease; it counts itself where it is a voter. The time that counts is when the
acknowledged message was sent, on this member's own clock. The state here is that time for each voter.
"""

from __future__ import annotations

from collections.abc import Collection

from decklb.handoff.ballots import GrantedBallots, quorum_of
from decklb.handoff.records import Record
from decklb.handoff.settings import HandoffSettings

_NEVER = -float("inf")


class LeaseTracker:
    """When each voter last acknowledged something of this member."""

    def __init__(self, settings: HandoffSettings, member: str) -> None:
        """`settings` gives the length of a lease; `member` is this member's own name."""
        self._settings, self._member = settings, member
        self._acked_sent_at_ms: dict[str, float] = {}  # by voter

    def record_ack(self, voter: str, sent_at_ms: float) -> None:
        """A voter acknowledged what was sent to it at that time."""
        if sent_at_ms > self._acked_sent_at_ms.get(voter, _NEVER):
            self._acked_sent_at_ms[voter] = sent_at_ms

    def forget(self, voter: str) -> None:
        """A voter lost its memory: what it acknowledged before counts no more."""
        self._acked_sent_at_ms.pop(voter, None)

    def is_current(self, voter: str, now: float) -> bool:
        """Whether a voter acknowledged something sent within the last lease."""
        return now - self._acked_sent_at_ms.get(voter, _NEVER) < self._settings.lease_ms

    def permits(
        self,
        record: Record,
        now: float,
        own_ballots: GrantedBallots,
        ineligible: Collection[str] = (),
        margin_ms: float = 0.0,
    ) -> bool:
        """Whether this member may act on a record now, and for `margin_ms` more.

        It counts itself only while its own ballots admit the record: a holder that granted a higher claim has stepped
        down, whatever others still acknowledge.

        Args:
            record: A record whose holder may be this member.
            now: This member's clock in ms.
            own_ballots: What this member granted as a voter.
            ineligible: Voters that don't count: they granted a higher claim, or lost their memory.
            margin_ms: For which the lease must go on.
        """
        if record.holder != self._member or not own_ballots.admits(record):
            return False
        since, acked = now + margin_ms - self._settings.lease_ms, self._acked_sent_at_ms
        current = sum(
            1
            for voter in record.voters
            if voter not in ineligible and (voter == self._member or acked.get(voter, _NEVER) > since)
        )
        return current >= quorum_of(record, self._settings)
