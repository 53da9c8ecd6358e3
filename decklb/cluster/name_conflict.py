"""Two live processes under one member name: noticed, settled and reported here.

Both would refute one another's claims without end. The older run keeps the name; the younger yields: it falls silent
and tries again after a while. Both sides compare run ids, so that they settle it alike. Called by `membership`, for
datagrams sent under our name, and by `member_states`, for claims about it.
"""

from __future__ import annotations

from collections.abc import Callable

from decklb.cluster.events import MembershipCounters, MembershipEvents
from decklb.cluster.member import Address, LocalMember
from decklb.cluster.messages import MemberState
from decklb.cluster.timers import TimerQueue

# Signs of another run under our name after which it must be alive; fewer may be echoes of an earlier run of ours.
SIGNS_REQUIRED = 3

# For which a yielding instance stays silent before it tries again.
YIELD_MS = 60_000.0


class NameConflicts:
    """Counts the signs of each other run under the local member's name."""

    def __init__(
        self,
        local: LocalMember,
        timers: TimerQueue,
        events: MembershipEvents,
        counters: MembershipCounters,
        rejoin: Callable[[float], None],
    ) -> None:
        """`rejoin` is called when a yielding instance is to try again."""
        self.local = local
        self.timers = timers
        self.events = events
        self.counters = counters
        self.rejoin = rejoin
        self._signs: dict[int, int] = {}  # by run id

    def record_sign(self, now: float, run_id: int, address: Address) -> None:
        """Another run uses our name at `address`."""
        signs = self._signs.get(run_id, 0) + 1
        self._signs[run_id] = signs
        if signs < SIGNS_REQUIRED or self.local.is_yielding:
            return
        self._signs.clear()
        self.counters.name_conflicts += 1
        if run_id < self.local.run_id:
            self._yield(now)
        self.events.name_conflict(now, address, self.local.is_yielding)

    def _yield(self, now: float) -> None:
        self.local.is_yielding = True
        self.local.ready = False
        self.timers.call_at(now + YIELD_MS, self._try_again)
        self.events.member_changed(now, self.local, MemberState.ALIVE)

    def _try_again(self, now: float) -> None:
        self.local.is_yielding = False
        self.rejoin(now)
