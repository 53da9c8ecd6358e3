"""A holder's leases: whether enough voters of a record have answered recently for the holder to act on it.

After Gray and Cheriton, "Leases" (SOSP 1989). A holder acts on a record only while a quorum of the record's voters has
acknowledged a message that was sent within the last lease; the holder counts itself if it is a voter. A lease starts
when the acknowledged message was sent, on this member's own clock. The state is that time for each voter.
"""

from __future__ import annotations

from collections.abc import Collection

from decklb.handoff.ballots import GrantedBallots, quorum_of
from decklb.handoff.records import Record
from decklb.handoff.settings import HandoffSettings

_NEVER = -float("inf")


class LeaseTracker:
    """Tracks when the latest message was sent that each voter acknowledged."""

    def __init__(self, settings: HandoffSettings, member: str) -> None:
        """`settings` defines the length of a lease; `member` is this member's name."""
        self._settings, self._member = settings, member
        self._acked_sent_at_ms: dict[str, float] = {}  # when the latest acknowledged message was sent, by voter

    def record_ack(self, voter: str, sent_at_ms: float) -> None:
        """Record that a voter acknowledged a message sent at `sent_at_ms`."""
        if sent_at_ms > self._acked_sent_at_ms.get(voter, _NEVER):
            self._acked_sent_at_ms[voter] = sent_at_ms

    def forget(self, voter: str) -> None:
        """Discard the acknowledgements of a voter that lost its memory."""
        self._acked_sent_at_ms.pop(voter, None)

    def is_current(self, voter: str, now: float) -> bool:
        """Whether a voter acknowledged a message sent within the last lease."""
        return now - self._acked_sent_at_ms.get(voter, _NEVER) < self._settings.lease_ms

    def permits(
        self,
        record: Record,
        now: float,
        own_ballots: GrantedBallots,
        ineligible: Collection[str] = (),
        margin_ms: float = 0.0,
    ) -> bool:
        """Whether this member may act on a record now and for the next `margin_ms`.

        It may not if its own ballots no longer admit the record: a holder that granted a higher claim has stepped down,
        whatever other voters still acknowledge.

        Args:
            record: A record whose holder may be this member.
            now: Current time on this member's clock in ms.
            own_ballots: The ballots that this member granted as a voter.
            ineligible: Voters that don't count because they granted a higher claim or lost their memory.
            margin_ms: Time in ms for which the lease must remain valid.
        """
        if record.holder != self._member or not own_ballots.admits(record):
            return False
        sent_after_ms, acked = now + margin_ms - self._settings.lease_ms, self._acked_sent_at_ms
        current = sum(
            1
            for voter in record.voters
            if voter not in ineligible and (voter == self._member or acked.get(voter, _NEVER) > sent_after_ms)
        )
        return current >= quorum_of(record, self._settings)
