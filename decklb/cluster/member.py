"""Rows of the member table: other members as this instance knows them, and this instance itself."""

from __future__ import annotations

from dataclasses import dataclass

from decklb.cluster.messages import Alive, MemberRecord, MemberState
from decklb.cluster.suspicion import Suspicion
from decklb.cluster.timers import Timer

Address = tuple[str, int]


@dataclass(slots=True, eq=False)
class Member:
    """One member as this instance knows it.

    Attributes:
        incarnation: SWIM's incarnation number; a claim with a lower one is outdated. Only the member itself raises it.
        run_id: identifies one run of the member's process; of two runs the older has the lower id.
        ready: whether the member has settled and may own duties.
        weight: the member's share of duties, relative to other members.
        state_since: when the state began, local monotonic ms.
        checksum: this row's contribution to the checksum of its bucket.
        suspicion: set while the state is SUSPECT.
        suspicion_timer: fires at the deadline of the suspicion.
    """

    name: str
    address: Address
    incarnation: int
    run_id: int
    ready: bool
    weight: float
    state: MemberState
    state_since: float
    checksum: int = 0
    suspicion: Suspicion | None = None
    suspicion_timer: Timer | None = None

    @property
    def is_live(self) -> bool:
        """Whether the member counts as alive; a suspected member does."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def announcement(self) -> Alive:
        """Return the broadcast that this member is alive."""
        return Alive(self.name, *self.address, self.incarnation, self.run_id, self.ready, self.weight)

    def record(self, now: float) -> MemberRecord:
        """Return this row for an anti-entropy exchange."""
        return MemberRecord(
            self.name,
            *self.address,
            self.incarnation,
            self.run_id,
            self.ready,
            self.weight,
            self.state,
            max(0, int(now - self.state_since)),
        )


@dataclass(slots=True, eq=False)
class LocalMember(Member):
    """This instance's own row. Its `incarnation` starts above that of earlier runs.

    Attributes:
        is_synced: whether the table has at any time since the start been equal to another member's.
        has_left: whether this instance has left the cluster.
        is_yielding: whether this instance sends nothing because an older process has the same name.
    """

    is_synced: bool = False
    has_left: bool = False
    is_yielding: bool = False

    @property
    def can_own(self) -> bool:
        """Whether this instance may own duties."""
        return self.ready and not (self.has_left or self.is_yielding)
