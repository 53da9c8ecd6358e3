"""Faults between the processes of a fleet: conditions of links, and schedules of faults drawn from a seed.

Free of I/O. The fleets of `fault_runs` draw a schedule and execute it; `network_proxy` applies the conditions of links.
Times are milliseconds.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """What happens to traffic in one direction between two processes.

    Attributes:
        drop: Fraction of datagrams that are lost.
        duplicate: Fraction of datagrams that are sent twice.
        delay_ms: Minimum delay.
        jitter_ms: Maximum of the additional, uniformly distributed delay, which reorders datagrams.
        cut: Whether no traffic passes.
    """

    drop: float = 0.0
    duplicate: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    cut: bool = False

    def __post_init__(self) -> None:
        if not (0 <= self.drop <= 1 and 0 <= self.duplicate <= 1 and self.delay_ms >= 0 and self.jitter_ms >= 0):
            raise ValueError("drop and duplicate must be from 0 to 1, delay and jitter at least 0")

    def arrival_delays_ms(self, rng: random.Random) -> list[float]:
        """Draw the delay of each copy of a datagram that arrives; the list is empty if the datagram is lost."""
        if self.cut or rng.random() < self.drop:
            return []
        count = 2 if rng.random() < self.duplicate else 1
        return [self.delay_ms + rng.uniform(0, self.jitter_ms) for _ in range(count)]


CLEAN = LinkConditions()
CUT = LinkConditions(cut=True)
LOSSY = LinkConditions(drop=0.15, duplicate=0.1, delay_ms=5.0, jitter_ms=40.0)


class FleetFaultKind(Enum):
    """Kind of a fault in a fleet, or of the action that undoes one. The values are those of the command line."""

    CUT = "cut"  # one direction between two members is cut
    PARTITION = "partition"  # both directions between a member and all others are cut
    LOSSY = "lossy"  # both directions between two members lose, duplicate, delay and reorder datagrams
    ENGINES = "engines"  # both directions between a member and all engines are cut
    HEAL = "heal"  # all links are clean again
    KILL = "kill"  # SIGKILL
    STOP = "stop"  # SIGSTOP: the member does not respond until CONT
    CONT = "cont"  # SIGCONT
    RESTART = "restart"  # restart after a kill
    AHEAD = "ahead"  # the wall clock jumps an hour ahead
    BEHIND = "behind"  # the wall clock jumps a minute behind
    CLOCK = "clock"  # the wall clock is reset to the machine's


@dataclass(frozen=True, slots=True)
class FleetFault:
    """One fault, or the action that undoes one.

    Attributes:
        at_ms: Time from the start of the run.
        kind: What is done.
        target: Affected member.
        other: Member at the other end of the link, for faults of a single link; "" otherwise.
    """

    at_ms: float
    kind: FleetFaultKind
    target: str
    other: str = ""


DEFAULT_KINDS = (
    FleetFaultKind.CUT,
    FleetFaultKind.PARTITION,
    FleetFaultKind.LOSSY,
    FleetFaultKind.KILL,
    FleetFaultKind.STOP,
)
LINK_KINDS = (FleetFaultKind.CUT, FleetFaultKind.LOSSY)  # faults of a single link
# Kinds that are not listed are undone by HEAL.
UNDONE_BY = {
    FleetFaultKind.KILL: FleetFaultKind.RESTART,
    FleetFaultKind.STOP: FleetFaultKind.CONT,
    FleetFaultKind.AHEAD: FleetFaultKind.CLOCK,
    FleetFaultKind.BEHIND: FleetFaultKind.CLOCK,
}


def draw_schedule(
    seed: int,
    members: list[str],
    duration_ms: float,
    count: int,
    kinds: tuple[FleetFaultKind, ...] = DEFAULT_KINDS,
) -> list[FleetFault]:
    """Draw `count` faults at random times, each followed by the action that undoes it before the next fault.

    After the schedule every member is up and every link is clean.
    """
    rng = random.Random(seed)
    if len(members) < 2 or count < 1:
        return []
    slot_ms = duration_ms / count
    faults: list[FleetFault] = []
    for number in range(count):
        start_ms = number * slot_ms + rng.uniform(0, slot_ms / 3)
        end_ms = start_ms + rng.uniform(slot_ms / 4, slot_ms / 2)
        target, other = rng.sample(members, 2)
        kind = rng.choice(kinds)
        faults.append(FleetFault(start_ms, kind, target, other if kind in LINK_KINDS else ""))
        faults.append(FleetFault(end_ms, UNDONE_BY.get(kind, FleetFaultKind.HEAL), target))
    return faults
