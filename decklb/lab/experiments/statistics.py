"""Paired comparisons of experiments, with bootstrap confidence intervals (Efron, 1979).

Does no I/O; callers supply the random generator. Used by `decklb lab compare` and the report.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

import numpy as np

RESAMPLES = 4000
CONFIDENCE = 0.95

Summary = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Difference:
    """Comparison of one figure between two experiments A and B, over pairs of cells.

    Attributes:
        figure: Name of the figure.
        group: Description of the sizes and factor values that the pairs have in common.
        pairs: Number of pairs.
        a, b: Mean of the figure in A and in B.
        low, high: Confidence interval of the mean of B - A, at the level CONFIDENCE.
    """

    figure: str
    group: str
    pairs: int
    a: float
    b: float
    low: float
    high: float

    @property
    def mean(self) -> float:
        """Mean of B - A."""
        return self.b - self.a

    @property
    def significant(self) -> bool:
        """Whether the interval excludes 0."""
        return self.low > 0 or self.high < 0


def interval(values: np.ndarray, rng: np.random.Generator, confidence: float = CONFIDENCE) -> tuple[float, float]:
    """Return the percentile bootstrap interval of the mean; with fewer than two values it is unbounded."""
    if len(values) < 2:
        return float("-inf"), float("inf")
    resamples = rng.integers(0, len(values), (RESAMPLES, len(values)))
    means = values[resamples].mean(axis=1)
    low, high = np.quantile(means, [(1 - confidence) / 2, (1 + confidence) / 2])
    return float(low), float(high)


class _PairKey(NamedTuple):
    """What two cells must have in common to form a pair; they then had the same arrivals."""

    factors: tuple[float, ...]
    managers: int
    engines: int
    seed: int

    @property
    def group(self) -> str:
        """Name of the group of pairs that differ only in their seeds."""
        return f"{self.managers}x{self.engines}" + "".join(f" {value:g}" for value in self.factors)


def _pair_key(summary: Summary) -> _PairKey:
    factors = tuple(value for name, value in sorted(summary.items()) if name.startswith("factor_"))
    return _PairKey(factors, summary["managers"], summary["engines"], summary["seed"])


def compare(
    a: Iterable[Summary], b: Iterable[Summary], figures: list[str], rng: np.random.Generator
) -> list[Difference]:
    """Compare the summaries of two experiments.

    Args:
        a: Summaries of the cells of experiment A.
        b: Summaries of the cells of experiment B.
        figures: Names of the figures to compare.
        rng: Random generator of the bootstrap.

    Returns:
        One difference for each group of pairs and figure; figures that no pair of a group has are left out.
    """
    left, right = {_pair_key(summary): summary for summary in a}, {_pair_key(summary): summary for summary in b}
    groups: dict[str, list[_PairKey]] = {}
    for key in left:
        if key in right:
            groups.setdefault(key.group, []).append(key)
    differences = []
    for group, keys in groups.items():
        for figure in figures:
            values = [(left[key].get(figure), right[key].get(figure)) for key in keys]
            pairs = np.array([pair for pair in values if None not in pair], dtype=float)
            if len(pairs):
                mean_a, mean_b = float(pairs[:, 0].mean()), float(pairs[:, 1].mean())
                low, high = interval(pairs[:, 1] - pairs[:, 0], rng)
                differences.append(Difference(figure, group, len(pairs), mean_a, mean_b, low, high))
    return differences


def mean_with_interval(values: list[float], rng: np.random.Generator) -> tuple[float, float, float]:
    """Return the mean of the values and the bounds of its confidence interval."""
    array = np.array(values, dtype=float)
    low, high = interval(array, rng)
    return float(array.mean()), low, high
