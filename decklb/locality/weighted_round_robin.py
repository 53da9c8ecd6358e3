"""Smooth weighted round robin (as in nginx): each item's number of picks always differs by at most one from its share.

`zone_selector.py` uses it to select a zone for each request according to the zones' shares.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class WeightedRoundRobin:
    """Items with weights that sum to 1, and the credit of each item."""

    weights: dict[str, float]
    credit: dict[str, float] = field(default_factory=dict)

    def pick(self) -> str:
        """Return the next item."""
        for name, weight in self.weights.items():
            self.credit[name] = self.credit.get(name, 0.0) + weight
        best = max(self.weights, key=lambda name: (self.credit[name], name))
        self.credit[best] -= 1.0
        return best

    def inherit_credit(self, previous: WeightedRoundRobin) -> None:
        """Continue with the credit of another round robin, so that items below their share are picked sooner."""
        self.credit = {name: credit for name, credit in previous.credit.items() if name in self.weights}
