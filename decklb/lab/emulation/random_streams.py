"""Random streams of a run: independent numpy generators by name, all derived from one seed.

A change in the use of one stream (a policy that draws more numbers, an additional fault) does not affect the others, so
two policies see the same arrivals, work and faults (common random numbers, a variance reduction technique). The name of
a stream determines its numbers together with the seed, so renaming a stream changes the results.
"""

from __future__ import annotations

import hashlib

import numpy as np

NAME_HASH_BYTES = 16
MAX_SEED = 1 << 62  # exclusive


class Streams:
    """Generators by name. The same seed and name yield the same numbers, independent of all other streams."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def get(self, name: str) -> np.random.Generator:
        """Return a new generator at the beginning of the named stream."""
        digest = hashlib.blake2b(name.encode(), digest_size=NAME_HASH_BYTES).digest()
        entropy = [self.seed, *map(int, np.frombuffer(digest, dtype=np.uint32))]
        return np.random.Generator(np.random.PCG64(np.random.SeedSequence(entropy)))

    def number(self, name: str) -> int:
        """Return an integer seed derived from the named stream, e.g. for the decision module."""
        return int(self.get(name).integers(MAX_SEED))
