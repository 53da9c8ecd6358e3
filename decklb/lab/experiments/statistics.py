"""Comparisons: paired by cell, with confidence intervals by bootstrap (Efron, 1979). Free of I/O; draws come in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

DRAWS = 4000


@dataclass(frozen=True, slots=True)
class Difference:
    """Mean of B - A over pairs, and the interval in which 95 of 100 resampled means lie."""

    what: str
    group: str
    pairs: int
    a: float
    b: float
    low: float
    high: float

    @property
    def mean(self) -> float:
        """B - A."""
        return self.b - self.a

    @property
    def clear(self) -> bool:
        """Whether the interval leaves out 0."""
        return self.low > 0 or self.high < 0


def interval(values: np.ndarray, rng: np.random.Generator, share: float = 0.95) -> tuple[float, float]:
    """Percentile bootstrap of the mean. One value has no width to tell: all numbers are possible."""
    if len(values) < 2:
        return float("-inf"), float("inf")
    means = values[rng.integers(0, len(values), (DRAWS, len(values)))].mean(axis=1)
    low, high = np.quantile(means, [(1 - share) / 2, (1 + share) / 2])
    return float(low), float(high)


def compare(
    a: list[dict[str, Any]], b: list[dict[str, Any]], what: list[str], rng: np.random.Generator
) -> list[Difference]:
    """Pairs are cells with the same factors and seed: they saw the same arrivals. One line a figure and factors."""

    def key(s: dict[str, Any]) -> tuple[Any, ...]:
        return (*(v for k, v in sorted(s.items()) if k.startswith("factor_")), s["managers"], s["engines"], s["seed"])

    left, right = {key(s): s for s in a}, {key(s): s for s in b}
    groups: dict[str, list[tuple[Any, ...]]] = {}
    for k in [k for k in left if k in right]:
        groups.setdefault(f"{k[-3]}x{k[-2]}" + "".join(f" {v:g}" for v in k[:-3]), []).append(k)
    found = []
    for group, keys in groups.items():
        for name in what:
            pairs = [(left[k].get(name), right[k].get(name)) for k in keys]
            both = np.array([(x, y) for x, y in pairs if x is not None and y is not None], dtype=float)
            if len(both):
                low, high = interval(both[:, 1] - both[:, 0], rng)
                found.append(
                    Difference(name, group, len(both), float(both[:, 0].mean()), float(both[:, 1].mean()), low, high)
                )
    return found


def spread(values: list[float], rng: np.random.Generator) -> tuple[float, float, float]:
    """Mean and interval."""
    array = np.array(values, dtype=float)
    low, high = interval(array, rng)
    return float(array.mean()), low, high
