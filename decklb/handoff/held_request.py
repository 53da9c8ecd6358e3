"""A request that this member holds under a term of its own, and what it waits for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from decklb.handoff.admission_result import ResultCallback
from decklb.handoff.records import Record

QuorumCallback = Callable[[bool], None]  # told whether a quorum acknowledged a version in time


@dataclass(frozen=True, slots=True)
class PendingCommit:
    """Somebody waits for a quorum to acknowledge a version."""

    version: int
    expires_at_ms: float
    on_quorum: QuorumCallback


@dataclass(slots=True)
class HeldRequest:
    """The newest version of a record held here, and how far its voters have it.

    `MemberState.held` owns these, from admission or takeover until the record is released, lost or expired. Times are
    this member's own clock in milliseconds.
    """

    record: Record
    held_since_ms: float
    on_admission: ResultCallback | None = None  # the front that brought it, until its admission is decided
    acked_versions: dict[str, int] = field(default_factory=dict)  # the highest, by voter
    sent_at_ms: dict[str, float] = field(default_factory=dict)  # the newest version, by voter
    voters_with_body: set[str] = field(default_factory=set)  # they have the request itself
    ineligible_voters: set[str] = field(default_factory=set)  # they granted a higher claim, or lost their memory
    pending: list[PendingCommit] = field(default_factory=list)
    suspended: bool = False  # its lease ended, or was not yet gained after a takeover: it must not be acted on
    reclaim_at_ms: float = 0.0  # when to claim it anew, where its votes were lost to claims that came to nothing

    @property
    def key(self) -> str:
        """The key of its record."""
        return self.record.key

    def fail_pending(self) -> None:
        """Tell whoever waits that the quorum was not reached."""
        pending, self.pending = self.pending, []
        for commit in pending:
            commit.on_quorum(False)
