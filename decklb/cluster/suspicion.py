"""The time that a suspected member has to refute the suspicion before it is declared dead.

Described in SWIM, section 4.2, with the dynamic timeout of Lifeguard (Dadgar, Phillips, Currey, 2017, section 3.2): a
suspicion starts with a long timeout, which shrinks as other members report the same suspicion independently. Each
suspected `Member` has one `Suspicion`; `member_states` creates it and sets the timer for its deadline.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from decklb.cluster.settings import MembershipSettings

# Number of independent confirmations after which the shortest timeout applies (Lifeguard's K).
MAX_EXPECTED_CONFIRMATIONS = 3


def min_suspicion_timeout_ms(settings: MembershipSettings, members: int) -> float:
    """Return the shortest timeout of a suspicion in a cluster with that many members."""
    return settings.suspicion_multiplier * max(1.0, math.log10(max(1, members))) * settings.probe_interval_ms


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one member.

    Attributes:
        started_at: start of the suspicion, local monotonic ms.
        min_timeout_ms: timeout after all expected confirmations.
        max_timeout_ms: timeout without any confirmation.
        expected_confirmations: number of other members expected to report the suspicion as well.
        reporters: names of the members that have reported the suspicion.
    """

    started_at: float
    min_timeout_ms: float
    max_timeout_ms: float
    expected_confirmations: int
    reporters: set[str] = field(default_factory=set)

    @classmethod
    def start(cls, settings: MembershipSettings, now: float, members: int, reporter: str) -> Suspicion:
        """Start a suspicion. With two members nobody can confirm it, so the shortest timeout applies from the start."""
        min_timeout_ms = min_suspicion_timeout_ms(settings, members)
        expected = min(MAX_EXPECTED_CONFIRMATIONS, max(0, members - 2))
        max_timeout_ms = min_timeout_ms * settings.suspicion_max_multiplier if expected else min_timeout_ms
        return cls(now, min_timeout_ms, max_timeout_ms, expected, {reporter})

    def confirm(self, reporter: str) -> bool:
        """Record another member's report; return whether it counts and should be forwarded."""
        if reporter in self.reporters or len(self.reporters) > self.expected_confirmations:
            return False
        self.reporters.add(reporter)
        return True

    def deadline(self) -> float:
        """Return when the member is declared dead unless it refutes the suspicion, in local monotonic ms."""
        confirmations = len(self.reporters) - 1
        if not self.expected_confirmations or confirmations <= 0:
            return self.started_at + self.max_timeout_ms
        progress = math.log(min(confirmations, self.expected_confirmations) + 1) / math.log(
            self.expected_confirmations + 1
        )
        shrunk_ms = self.max_timeout_ms - (self.max_timeout_ms - self.min_timeout_ms) * progress
        return self.started_at + max(self.min_timeout_ms, shrunk_ms)
