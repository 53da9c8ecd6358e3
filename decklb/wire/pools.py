"""The pools of an engine client: one for each engine id and address, on whatever wire."""

from __future__ import annotations

from typing import Generic, Protocol, TypeVar

from decklb.core.dispatcher import Attempt
from decklb.interface import Outcome


class EnginePool(Protocol):
    """The connections to one engine."""

    address: tuple[str, int]

    def start(self, attempt: Attempt) -> None:
        """Send the attempt on a connection of this pool."""

    def retire(self) -> None:
        """The engine has gone, or has moved: no new attempt, and an end with what is out."""


P = TypeVar("P", bound=EnginePool)


class Pools(Generic[P]):
    """Follows the list. An id that has moved gets a new pool: an address may come to belong to another engine."""

    def __init__(self) -> None:
        self.pools: dict[str, P] = {}

    def make(self, engine: str, address: tuple[str, int]) -> P:
        """A pool for an engine that is new, or has moved."""
        raise NotImplementedError

    def addresses(self, now: dict[str, tuple[str, int]]) -> None:
        """The engines by id, and where each listens."""
        for engine, pool in list(self.pools.items()):
            if now.get(engine) != pool.address:
                pool.retire()
                del self.pools[engine]
        for engine, address in now.items():
            if engine not in self.pools:
                self.pools[engine] = self.make(engine, address)

    def start(self, attempt: Attempt) -> None:
        """Send an attempt; its end is told by a callback."""
        pool = self.pools.get(attempt.engine)
        if pool is None:  # gone since the decision
            attempt.end(Outcome.NOCONN)
        else:
            pool.start(attempt)

    def close(self) -> None:
        """Close every connection."""
        for pool in self.pools.values():
            pool.retire()
