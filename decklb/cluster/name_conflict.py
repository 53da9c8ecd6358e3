"""Detects, resolves and reports two live processes with the same member name.

Such processes would refute each other's claims forever. The older run keeps the name; the younger one yields: it sends
nothing for a while and then joins again. Both sides compare the run ids and so come to the same decision. Called by
`membership` for datagrams sent under this instance's name, and by `member_states` for claims about it.
"""

from __future__ import annotations

from collections.abc import Callable

from decklb.cluster.events import MembershipCounters, MembershipEvents
from decklb.cluster.member import Address, LocalMember
from decklb.cluster.messages import MemberState
from decklb.cluster.timers import TimerQueue

# Number of sightings after which another run with this instance's name is considered alive. Fewer may be caused by
# messages about an earlier run of this instance that are still in circulation.
MIN_SIGHTINGS = 3

# How long a yielding instance sends nothing before it joins again.
YIELD_DURATION_MS = 60_000.0


class NameConflicts:
    """Counts the sightings of each other run with the local member's name."""

    def __init__(
        self,
        local: LocalMember,
        timers: TimerQueue,
        events: MembershipEvents,
        counters: MembershipCounters,
        rejoin: Callable[[float], None],
    ) -> None:
        """Create the detector; `rejoin` is called when a yielding instance may join again."""
        self.local = local
        self.timers = timers
        self.events = events
        self.counters = counters
        self.rejoin = rejoin
        self._sightings: dict[int, int] = {}  # by run id

    def record_sighting(self, now: float, run_id: int, address: Address) -> None:
        """Record a sighting of another run with this instance's name at `address`."""
        sightings = self._sightings.get(run_id, 0) + 1
        self._sightings[run_id] = sightings
        if sightings < MIN_SIGHTINGS or self.local.is_yielding:
            return
        self._sightings.clear()
        self.counters.name_conflicts += 1
        if run_id < self.local.run_id:
            self._yield(now)
        self.events.name_conflict(now, address, self.local.is_yielding)

    def _yield(self, now: float) -> None:
        self.local.is_yielding = True
        self.local.ready = False
        self.timers.call_at(now + YIELD_DURATION_MS, self._end_yield)
        self.events.member_changed(now, self.local, MemberState.ALIVE)

    def _end_yield(self, now: float) -> None:
        self.local.is_yielding = False
        self.rejoin(now)
