"""How long a suspected member has to refute before it is declared dead.

SWIM section 4.2, with Lifeguard's dynamic timeout (Dadgar, Phillips, Currey, 2017, section 3.2): a suspicion starts
with a long timeout, which shrinks as other members report the same suspicion independently. Each suspected `Member` has
one `Suspicion`; `member_states` creates it and sets the timer for its deadline.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from decklb.cluster.settings import MembershipSettings

# Independent confirmations after which the shortest timeout holds (Lifeguard's K).
MAX_EXPECTED_CONFIRMATIONS = 3


def min_suspicion_timeout_ms(settings: MembershipSettings, members: int) -> float:
    """The shortest timeout of any suspicion in a cluster of so many members."""
    return settings.suspicion_multiplier * max(1.0, math.log10(max(1, members))) * settings.probe_interval_ms


@dataclass(slots=True)
class Suspicion:
    """One member under suspicion.

    Attributes:
        started_at: local monotonic time, ms.
        min_timeout_ms: the timeout once all expected confirmations have come.
        max_timeout_ms: the timeout without any.
        expected_confirmations: other members that can be expected to report the suspicion as well.
        reporters: names of the members that have reported it.
    """

    started_at: float
    min_timeout_ms: float
    max_timeout_ms: float
    expected_confirmations: int
    reporters: set[str] = field(default_factory=set)

    @classmethod
    def start(cls, settings: MembershipSettings, now: float, members: int, reporter: str) -> Suspicion:
        """A new suspicion. With two members nobody can confirm it, and the shortest timeout holds from the start."""
        min_timeout_ms = min_suspicion_timeout_ms(settings, members)
        expected = min(MAX_EXPECTED_CONFIRMATIONS, max(0, members - 2))
        max_timeout_ms = min_timeout_ms * settings.suspicion_max_multiplier if expected else min_timeout_ms
        return cls(now, min_timeout_ms, max_timeout_ms, expected, {reporter})

    def confirm(self, reporter: str) -> bool:
        """Another member's report; true if it counts, and is worth passing on."""
        if reporter in self.reporters or len(self.reporters) > self.expected_confirmations:
            return False
        self.reporters.add(reporter)
        return True

    def deadline(self) -> float:
        """When the member is declared dead unless it refutes; local monotonic time, ms."""
        confirmations = len(self.reporters) - 1
        if not self.expected_confirmations or confirmations <= 0:
            return self.started_at + self.max_timeout_ms
        progress = math.log(min(confirmations, self.expected_confirmations) + 1) / math.log(
            self.expected_confirmations + 1
        )
        shrunk_ms = self.max_timeout_ms - (self.max_timeout_ms - self.min_timeout_ms) * progress
        return self.started_at + max(self.min_timeout_ms, shrunk_ms)
