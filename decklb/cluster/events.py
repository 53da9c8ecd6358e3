"""What membership tells its owner: callbacks on changes, and counters for operators. `node` provides both."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from decklb.cluster.member import Address, Member
from decklb.cluster.messages import MemberState


@dataclass(slots=True)
class MembershipEvents:
    """Callbacks; the first argument of each is the time (local monotonic ms).

    Attributes:
        member_changed: the member as it is now, and its state before, None if it was unknown.
        name_conflict: the address of another process with our name, and whether we yield to it.
        ready: this instance has settled and may own duties.
    """

    member_changed: Callable[[float, Member, MemberState | None], None]
    name_conflict: Callable[[float, Address, bool], None]
    ready: Callable[[float], None]


@dataclass(slots=True)
class MembershipCounters:
    """Counts since the start.

    Attributes:
        probes: probes of members sent.
        failed_probes: of these, without an answer in their interval.
        refutations: claims against this instance that it refuted.
        stalls: times that this process did not run for two probe intervals or more.
        name_conflicts: times that another live process with our name was noticed.
    """

    probes: int = 0
    failed_probes: int = 0
    refutations: int = 0
    stalls: int = 0
    name_conflicts: int = 0
