"""Port of the core to the engines, implemented by the client of each engine protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from decklb.core.attempts import Attempt


class EngineClient(Protocol):
    """Runs attempts at engines and calls `attempt.end` once for each attempt that was not abandoned before."""

    def start(self, attempt: Attempt) -> None:
        """Send the attempt to its engine."""

    def abandon(self, attempt: Attempt, on_released: Callable[[], None]) -> None:
        """Cancel the attempt at its engine and make no further calls on the attempt.

        `on_released` is called once, after this method has returned, when the attempt is no longer in flight: from then
        on another attempt of the request may be sent.
        """
