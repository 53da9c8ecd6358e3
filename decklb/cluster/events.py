"""Callbacks through which membership notifies `node` of changes, and membership's counters for operators."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from decklb.cluster.member import Address, Member
from decklb.cluster.messages import MemberState


@dataclass(slots=True)
class MembershipEvents:
    """Callbacks; the first argument of each is the time (local monotonic ms).

    Attributes:
        member_changed: called with the changed member and its previous state (None if it was unknown).
        name_conflict: called with the address of another process that has this instance's name, and whether this
            instance yields to it.
        ready: called when this instance has settled and may own duties.
    """

    member_changed: Callable[[float, Member, MemberState | None], None]
    name_conflict: Callable[[float, Address, bool], None]
    ready: Callable[[float], None]


@dataclass(slots=True)
class MembershipCounters:
    """Counts since the start of the instance.

    Attributes:
        probes: probes sent to members.
        failed_probes: probes that were not answered within their interval.
        refutations: claims about this instance that it refuted.
        stalls: pauses of this process of two probe intervals or more.
        name_conflicts: detections of another live process with this instance's name.
    """

    probes: int = 0
    failed_probes: int = 0
    refutations: int = 0
    stalls: int = 0
    name_conflicts: int = 0
