"""The port to engines: what the dispatcher asks of the client of a protocol that engines speak."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from decklb.core.attempts import Attempt


class EngineClient(Protocol):
    """Runs attempts at engines; it calls `attempt.end` once for each, unless the attempt was abandoned before."""

    def start(self, attempt: Attempt) -> None:
        """Send the attempt to its engine."""

    def abandon(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel the attempt at its engine, and never call it again.

        `freed` is called once, later: when the attempt is no longer out, so that another may be sent elsewhere.
        """
