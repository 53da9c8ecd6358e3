"""What the fault rig does to each datagram, and when it strikes: drawn from a seed, bounded (free of I/O)."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class Link:
    """What one direction between two members does. Times are milliseconds."""

    drop: float = 0.0  # share of datagrams lost
    duplicate: float = 0.0  # share sent twice
    delay: float = 0.0  # least delay
    jitter: float = 0.0  # added delay, uniform up to this: datagrams overtake one another
    cut: bool = False  # nothing passes

    def __post_init__(self) -> None:
        if not (0 <= self.drop <= 1 and 0 <= self.duplicate <= 1 and self.delay >= 0 and self.jitter >= 0):
            raise ValueError("drop and duplicate are shares from 0 to 1; delay and jitter at least 0")

    def fate(self, rng: random.Random) -> list[float]:
        """The delays after which a datagram arrives, one for each copy; none where it is lost."""
        if self.cut or rng.random() < self.drop:
            return []
        copies = 2 if rng.random() < self.duplicate else 1
        return [self.delay + rng.uniform(0, self.jitter) for _ in range(copies)]


CLEAN = Link()


class Kind(Enum):
    """Kinds of faults between the processes of a fleet."""

    CUT = "cut"  # one direction between two members
    PARTITION = "partition"  # both directions between a member and all others
    LOSSY = "lossy"  # a direction loses, duplicates and reorders
    ENGINES = "engines"  # both directions between a member and all engines
    HEAL = "heal"  # every link is clean again
    KILL = "kill"  # SIGKILL
    STOP = "stop"  # SIGSTOP: a slow peer, until CONT
    CONT = "cont"
    RESTART = "restart"  # started again, after a kill
    AHEAD = "ahead"  # its wall clock jumps an hour ahead
    BEHIND = "behind"  # or a minute behind
    CLOCK = "clock"  # and back


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, from its moment until it is undone."""

    at: float  # ms from the start
    kind: Kind
    target: str
    other: str = ""  # the far end of a link


STRIKES = (Kind.CUT, Kind.PARTITION, Kind.LOSSY, Kind.KILL, Kind.STOP)
UNDO = {Kind.KILL: Kind.RESTART, Kind.STOP: Kind.CONT, Kind.AHEAD: Kind.CLOCK, Kind.BEHIND: Kind.CLOCK}


def schedule(seed: int, members: list[str], span: float, count: int, kinds: tuple[Kind, ...] = STRIKES) -> list[Fault]:
    """`count` faults at random moments within `span`, each healed or undone before the next one strikes, so that the
    run ends with every member up and every link clean."""
    rng = random.Random(seed)
    if len(members) < 2 or count < 1:
        return []
    slot = span / count
    faults: list[Fault] = []
    for i in range(count):
        start = i * slot + rng.uniform(0, slot / 3)
        end = start + rng.uniform(slot / 4, slot / 2)
        a, b = rng.sample(members, 2)
        kind = rng.choice(kinds)
        faults.append(Fault(start, kind, a, b if kind in (Kind.CUT, Kind.LOSSY) else ""))
        faults.append(Fault(end, UNDO.get(kind, Kind.HEAL), a))
    return faults
