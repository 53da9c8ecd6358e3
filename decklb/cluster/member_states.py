"""State transitions of members (alive, suspect, dead, left) and the refutation of claims about this instance.

Described in SWIM, section 4.2. A claim is applied only if its incarnation is high enough; each transition is broadcast
and reported through `MembershipEvents`. Called by the failure detector (suspicions), by `membership` (received claims)
and by `anti_entropy` (received records). Changes the member table and has no state of its own.
"""

from __future__ import annotations

from decklb.cluster.events import MembershipCounters, MembershipEvents
from decklb.cluster.gossip import Gossip
from decklb.cluster.local_health import LocalHealth
from decklb.cluster.member import Member
from decklb.cluster.member_table import MemberTable
from decklb.cluster.messages import Alive, Dead, MemberState, Suspect
from decklb.cluster.name_conflict import NameConflicts
from decklb.cluster.probe_ring import ProbeRing
from decklb.cluster.settings import MembershipSettings
from decklb.cluster.suspicion import Suspicion
from decklb.cluster.timers import TimerQueue


class MemberStates:
    """Applies claims about members to the table."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        gossip: Gossip,
        ring: ProbeRing,
        conflicts: NameConflicts,
        health: LocalHealth,
        timers: TimerQueue,
        events: MembershipEvents,
        counters: MembershipCounters,
    ) -> None:
        self.settings = settings
        self.table = table
        self.local = table.local
        self.gossip = gossip
        self.ring = ring
        self.conflicts = conflicts
        self.health = health
        self.timers = timers
        self.events = events
        self.counters = counters

    # Alive.

    def on_alive(self, now: float, alive: Alive, *, from_exchange: bool = False) -> None:
        """Apply a claim that a member is alive; `from_exchange`: it came in an anti-entropy exchange, not by gossip."""
        if alive.name == self.local.name:
            self._on_own_name_alive(now, alive)
            return
        member = self.table.get(alive.name)
        if member is not None and alive.incarnation <= member.incarnation:
            return
        before = None if member is None else member.state
        address = (alive.host, alive.port)
        if member is None:
            member = Member(
                alive.name, address, alive.incarnation, alive.run_id, alive.ready, alive.weight, MemberState.ALIVE, now
            )
            self.table.add(member)
            self.ring.insert(member.name)
        member.address = address
        member.incarnation = alive.incarnation
        member.run_id = alive.run_id
        member.ready = alive.ready
        member.weight = alive.weight
        self.table.set_state(now, member, MemberState.ALIVE)
        # A new member learnt in an exchange is known to other members already, so it is not announced again.
        if not from_exchange or before is not None:
            self.gossip.announce(member)
        self.events.member_changed(now, member, before)

    def _on_own_name_alive(self, now: float, alive: Alive) -> None:
        if alive.run_id != self.local.run_id:
            self._on_other_run(now, alive)
        elif alive.incarnation > self.local.incarnation:  # only possible if the state of this process was restored
            self.renew(alive.incarnation)

    def _on_other_run(self, now: float, alive: Alive) -> None:
        """Handle a claim about another run with this instance's name: an earlier run, or a live process."""
        if alive.incarnation < self.local.incarnation or self.local.is_yielding:
            return
        # An earlier run announces nothing new, so one refutation settles its claim. Only a live process repeats it.
        self._refute(alive.incarnation)
        self.conflicts.record_sighting(now, alive.run_id, (alive.host, alive.port))

    # Suspect.

    def on_suspect(self, now: float, suspect: Suspect) -> None:
        """Apply another member's suspicion of a member, possibly of this instance."""
        if suspect.name == self.local.name:
            self.refute_if_current(suspect.incarnation)
            return
        member = self.table.get(suspect.name)
        if member is not None and suspect.incarnation >= member.incarnation:
            self.suspect(now, member, suspect.incarnation, suspect.reported_by)

    def suspect(self, now: float, member: Member, incarnation: int, reporter: str) -> None:
        """Start or confirm a suspicion."""
        if not member.is_live:
            return
        if member.state == MemberState.SUSPECT and member.suspicion is not None:
            if not member.suspicion.confirm(reporter):
                return
        else:
            member.incarnation = incarnation
            self.table.set_state(now, member, MemberState.SUSPECT)
            member.suspicion = Suspicion.start(self.settings, now, self.table.live_count, reporter)
            self.events.member_changed(now, member, MemberState.ALIVE)
        self.gossip.broadcast(member.name, Suspect(member.name, member.incarnation, reporter))
        self._arm_suspicion_timer(now, member, member.suspicion)

    def _arm_suspicion_timer(self, now: float, member: Member, suspicion: Suspicion) -> None:
        if member.suspicion_timer is not None:
            member.suspicion_timer.cancel()
        member.suspicion_timer = self.timers.call_at(
            max(now, suspicion.deadline()), lambda at: self._on_suspicion_timeout(at, member)
        )

    def _on_suspicion_timeout(self, now: float, member: Member) -> None:
        member.suspicion_timer = None
        if member.suspicion is None or member.state != MemberState.SUSPECT:
            return
        if now < member.suspicion.deadline():  # postponed after a stall of this process
            self._arm_suspicion_timer(now, member, member.suspicion)
            return
        self.on_dead(now, Dead(member.name, member.incarnation, self.local.name))

    # Dead and left.

    def on_dead(self, now: float, dead: Dead) -> None:
        """Apply a claim that a member is dead; if the member itself reports it, it has left."""
        if dead.name == self.local.name:
            self.refute_if_current(dead.incarnation)
            return
        member = self.table.get(dead.name)
        if member is None or dead.incarnation < member.incarnation or not member.is_live:
            return
        before = member.state
        member.incarnation = dead.incarnation
        has_left = dead.reported_by == dead.name
        self.table.set_state(now, member, MemberState.LEFT if has_left else MemberState.DEAD)
        self.gossip.broadcast(member.name, dead)
        self.events.member_changed(now, member, before)

    # This instance.

    def refute_if_current(self, incarnation: int) -> None:
        """Refute a claim about this instance unless it is outdated.

        A claim about an earlier run can have a higher incarnation if the clock has gone back since.
        """
        if incarnation >= self.local.incarnation:
            self._refute(incarnation)

    def _refute(self, incarnation: int) -> None:
        self.counters.refutations += 1
        self.health.record_failure()
        self.renew(incarnation)

    def renew(self, claimed: int) -> None:
        """Announce this instance with an incarnation above its current one and the claimed one."""
        self.local.incarnation = max(self.local.incarnation, claimed) + 1
        self.table.update_checksum(self.local)
        self.gossip.announce(self.local)

    def make_ready(self, now: float) -> None:
        """Mark this instance as settled: from now on it may own duties."""
        if self.local.ready or self.local.has_left or self.local.is_yielding:
            return
        self.local.ready = True
        self.renew(self.local.incarnation)
        self.events.ready(now)
