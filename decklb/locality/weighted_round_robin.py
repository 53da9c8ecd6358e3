"""Smooth weighted round robin (as in nginx): after any number of picks each item is within one of its share.

Used by `zone_selector.py` to turn shares of requests into the zone of each request.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class WeightedRoundRobin:
    """Items with weights that come to 1, and the credit of each."""

    weights: dict[str, float]
    credit: dict[str, float] = field(default_factory=dict)

    def pick(self) -> str:
        """The next item."""
        for name, weight in self.weights.items():
            self.credit[name] = self.credit.get(name, 0.0) + weight
        best = max(self.weights, key=lambda name: (self.credit[name], name))
        self.credit[best] -= 1.0
        return best

    def take_over(self, previous: WeightedRoundRobin) -> None:
        """Go on with another's credit: what was short of its share stays so."""
        self.credit = {name: credit for name, credit in previous.credit.items() if name in self.weights}
