"""Random numbers of a run: one numpy generator for each concern, all derived from one seed.

A change in one concern (a policy that draws more, one fault more) leaves the others' draws as they were, so that two
policies see the same arrivals, work and faults (common random numbers, a variance reduction technique). Names of
concerns are part of what fixes the draws of a seed.
"""

from __future__ import annotations

import hashlib

import numpy as np

NAME_HASH_BYTES = 16
MAX_SEED = 1 << 62  # exclusive


class Streams:
    """Generators by name. The same seed and name give the same numbers, whatever else is drawn."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def get(self, name: str) -> np.random.Generator:
        """Return a fresh generator of one concern, at its beginning."""
        digest = hashlib.blake2b(name.encode(), digest_size=NAME_HASH_BYTES).digest()
        entropy = [self.seed, *map(int, np.frombuffer(digest, dtype=np.uint32))]
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(entropy)))

    def number(self, name: str) -> int:
        """Return a seed of one concern, for what takes a number, such as the decision module."""
        return int(self.get(name).integers(MAX_SEED))
