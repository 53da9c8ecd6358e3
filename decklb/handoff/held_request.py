"""A request that this member holds under its own term, and the callers that wait for its replication."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from decklb.handoff.admission_result import ResultCallback
from decklb.handoff.records import Record

QuorumCallback = Callable[[bool], None]  # called with whether a quorum acknowledged a version in time


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """A caller waiting for a quorum to acknowledge a version."""

    version: int
    expires_at_ms: float
    on_quorum: QuorumCallback


@dataclass(slots=True)
class HeldRequest:
    """The newest version of a record held here, and the progress of its replication to its voters.

    `MemberState.held` owns these from admission or takeover until the record is released, lost to another member or
    expired. Times are in ms on this member's clock.
    """

    record: Record
    held_since_ms: float
    on_admission: ResultCallback | None = None  # the front's callback, until the admission is decided
    acked_versions: dict[str, int] = field(default_factory=dict)  # highest acknowledged version, by voter
    sent_at_ms: dict[str, float] = field(default_factory=dict)  # when the newest version was last sent, by voter
    voters_with_body: set[str] = field(default_factory=set)  # voters that have the request itself
    ineligible_voters: set[str] = field(default_factory=set)  # voters that granted a higher claim or lost their memory
    pending: list[PendingCommit] = field(default_factory=list)
    suspended: bool = False  # must not be acted on: its lease ended, or was not gained yet after a takeover
    reclaim_at_ms: float = 0.0  # when to claim it again after its votes were lost to claims that failed

    @property
    def key(self) -> str:
        """The key of the record."""
        return self.record.key

    def fail_pending(self) -> None:
        """Report to all waiting callers that the quorum was not reached."""
        pending, self.pending = self.pending, []
        for commit in pending:
            commit.on_quorum(False)
