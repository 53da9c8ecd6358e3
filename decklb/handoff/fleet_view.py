"""The fleet as this member sees it: who is known, alive and connected, and who votes on which key.

Membership tells who is alive (`HandoffCoordinator.update_members`), the runtime who is connected. A member that answers
heartbeats counts as alive whatever membership says: clocks that jump, or lost datagrams, part members that can still
talk.
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
        """`member` and `incarnation` are this process's own; `leases` says who answered a heartbeat lately."""
        self._settings, self._member, self._leases = settings, member, leases
        self._placement = Placement(settings.bucket_count)
        self._alive_by_membership = {member: incarnation}
        self.alive = {member: incarnation}  # by membership or by an answered heartbeat
        self.known = {member}  # dead or alive: they are who voters are chosen from
        self.connected: dict[str, int] = {}
        self.changed = False  # `alive` changed since the last review for lost holders

    def update(self, now: float, alive: Mapping[str, int], known: Collection[str]) -> None:
        """What membership says: who is alive, and whom it knows at all."""
        self.known |= set(known) | alive.keys()
        for name in sorted(self.known - set(known) - {self._member}):
            # One that is forgotten keeps its votes until the fleet is larger than the operators say.
            if len(self.known) > self._settings.fleet_size:
                self.known.discard(name)
        self._placement.set_members(self.known)
        self._alive_by_membership = dict(alive)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Look anew at who answers heartbeats."""
        answering = {peer: run for peer, run in self.connected.items() if self._leases.is_current(peer, now)}
        alive = self._alive_by_membership | answering
        if alive != self.alive:
            self.alive, self.changed = alive, True

    def holder_alive(self, record: Record) -> bool:
        """Whether the holder of a record is alive, in the incarnation that holds it."""
        return self.alive.get(record.holder) == record.holder_incarnation

    @property
    def complete(self) -> bool:
        """Whether enough members are known that two sides can't each form a quorum."""
        return len(self.known) >= self._settings.fleet_size

    def voters(self, key: str) -> tuple[str, ...]:
        """The voters of a key, best first."""
        return self._placement.voters(key, self._settings.voter_count)
