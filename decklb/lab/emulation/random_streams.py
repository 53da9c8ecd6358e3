"""Random numbers: one numpy Generator for each concern, all from one seed.

A change in one concern (a policy that draws more, one fault more) leaves the others' draws as they were, so that two
policies see the same arrivals, works and faults (common random numbers).
"""

from __future__ import annotations

import hashlib

import numpy as np


class Streams:
    """Generators by name. The same seed and name give the same numbers, whatever else is drawn."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def get(self, name: str) -> np.random.Generator:
        """A fresh generator of one concern, at its beginning."""
        words = np.frombuffer(hashlib.blake2b(name.encode(), digest_size=16).digest(), dtype=np.uint32)
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence([self.seed, *map(int, words)])))

    def number(self, name: str) -> int:
        """A seed for what takes one, such as the decision module."""
        return int(self.get(name).integers(1 << 62))
