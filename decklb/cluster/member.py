"""One row of the member table: another member as this instance knows it, and this instance itself."""

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
        incarnation: SWIM's number; a claim of a lower one is outdated. Only the member itself raises it.
        run_id: the run of its process; the lower of two is the older.
        ready: whether it has settled and may own duties.
        weight: its share of duties, relative to others'.
        state_since: when the state began, local monotonic ms.
        checksum: this row's contribution to the checksum of its bucket.
        suspicion: set while the state is SUSPECT.
        suspicion_timer: fires at the suspicion's deadline.
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
        """Whether it is alive as far as is known: a suspect still counts."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def announcement(self) -> Alive:
        """The broadcast that this member is alive."""
        return Alive(self.name, *self.address, self.incarnation, self.run_id, self.ready, self.weight)

    def record(self, now: float) -> MemberRecord:
        """This row for an anti-entropy exchange."""
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
        is_synced: whether another member's table has equalled ours since the start.
        has_left: whether it has said good-bye.
        is_yielding: whether it is silent because an older run of a process has its name.
    """

    is_synced: bool = False
    has_left: bool = False
    is_yielding: bool = False

    @property
    def can_own(self) -> bool:
        """Whether it may own duties."""
        return self.ready and not (self.has_left or self.is_yielding)
