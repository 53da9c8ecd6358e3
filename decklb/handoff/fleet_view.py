"""The fleet as this member sees it: which members are known, alive and connected, and which of them vote on a key.

The membership protocol reports who is alive (`HandoffCoordinator.update_members`), the runtime who is connected. A
member that answers heartbeats counts as alive whatever the membership protocol reports: clock jumps or lost datagrams
can make it declare members dead that are still able to communicate.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from decklb.handoff.lease_tracker import LeaseTracker
from decklb.handoff.placement import Placement
from decklb.handoff.records import Record
from decklb.handoff.settings import HandoffSettings


class FleetView:
    """Members by name, each with the incarnation of its process."""

    def __init__(self, settings: HandoffSettings, member: str, incarnation: int, leases: LeaseTracker) -> None:
        """`member` and `incarnation` identify this process; `leases` records who answered a heartbeat recently."""
        self._settings, self._member, self._leases = settings, member, leases
        self._placement = Placement(settings.bucket_count)
        self._alive_by_membership = {member: incarnation}
        self.alive = {member: incarnation}  # according to the membership protocol or an answered heartbeat
        self.known = {member}  # dead or alive; voters are chosen from these
        self.connected: dict[str, int] = {}  # incarnation, by peer
        self.changed = False  # `alive` has changed since the last review for lost holders

    def update(self, now: float, alive: Mapping[str, int], known: Collection[str]) -> None:
        """Apply the membership view: the members that are alive, and all that are known."""
        self.known |= set(known) | alive.keys()
        for name in sorted(self.known - set(known) - {self._member}):
            # A member that membership has forgotten remains a voter unless more members are known than `fleet_size`.
            if len(self.known) > self._settings.fleet_size:
                self.known.discard(name)
        self._placement.set_members(self.known)
        self._alive_by_membership = dict(alive)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Recompute `alive` from the members that answer heartbeats."""
        answering = {
            peer: incarnation for peer, incarnation in self.connected.items() if self._leases.is_current(peer, now)
        }
        alive = self._alive_by_membership | answering
        if alive != self.alive:
            self.alive, self.changed = alive, True

    def holder_alive(self, record: Record) -> bool:
        """Whether the holder of a record is alive, in the incarnation that holds the record."""
        return self.alive.get(record.holder) == record.holder_incarnation

    @property
    def complete(self) -> bool:
        """Whether enough members are known that the two sides of a partition can't both form a quorum."""
        return len(self.known) >= self._settings.fleet_size

    def voters(self, key: str) -> tuple[str, ...]:
        """Return the voters of a key in order of rank."""
        return self._placement.voters(key, self._settings.voter_count)
