"""How long a suspect may take to refute, and how far this instance trusts itself.

Lifeguard (Dadgar, Phillips, Currey: "Lifeguard: SWIM-ing with Situational Awareness", 2017): a suspicion starts long
and shrinks as others suspect independently; an instance whose own probes and refutations go wrong slows its judgement.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from decklb.cluster.settings import MembershipSettings

# Of oneself. The paper has 8; then a side of a few members, which can't reach most it probes, takes a minute and more
# to see that it is parted.
MOST_DOUBT = 4
AGREE = 3  # others that suspect, after which the shortest time holds


def shortest(s: MembershipSettings, members: int) -> float:
    """Milliseconds that any suspect gets."""
    return s.suspicion_multiplier * max(1.0, math.log10(max(1, members))) * s.probe_interval_ms


@dataclass(slots=True)
class Suspicion:
    """One member under suspicion. `agree` is how many others can be expected to say so."""

    start: float
    least: float
    most: float
    agree: int
    by: set[str] = field(default_factory=set)

    @classmethod
    def begin(cls, s: MembershipSettings, now: float, members: int, by: str) -> Suspicion:
        """A new one; with two members nobody can agree, and the shortest time holds from the start."""
        least = shortest(s, members)
        agree = min(AGREE, max(0, members - 2))
        return cls(now, least, least * s.suspicion_max_multiplier if agree else least, agree, {by})

    def confirm(self, by: str) -> bool:
        """Another one's word; true if it counts, and is worth passing on."""
        if by in self.by or len(self.by) > self.agree:
            return False
        self.by.add(by)
        return True

    def ends(self) -> float:
        """When the suspect is dead unless it refutes."""
        others = len(self.by) - 1
        if not self.agree or others <= 0:
            return self.start + self.most
        share = math.log(min(others, self.agree) + 1) / math.log(self.agree + 1)
        return self.start + max(self.least, self.most - (self.most - self.least) * share)


class Awareness:
    """Doubt of oneself, from 0 for none: probes are slower and wait longer by one more than this."""

    def __init__(self) -> None:
        self.doubt = 0

    def good(self) -> None:
        """A probe of ours was answered."""
        self.doubt = max(0, self.doubt - 1)

    def bad(self, by: int = 1) -> None:
        """We were held up, had to refute, or those we asked did not answer either."""
        self.doubt = min(MOST_DOUBT, self.doubt + by)

    @property
    def factor(self) -> int:
        """By which to stretch time-outs."""
        return self.doubt + 1
