"""Readiness of this process to accept requests.

The platform's front answers readiness queries with it, and the BGP speaker announces the service address only while the
process is ready.
"""

from __future__ import annotations

from collections.abc import Callable

from decklb.daemon.lifecycle import Lifecycle, LifecycleState


class Readiness:
    """The process is ready while it is serving, its endpoint list is known and at least one engine is up."""

    __slots__ = ("_lifecycle", "_engines_known", "engines_up")

    def __init__(self, lifecycle: Lifecycle, engines_known: Callable[[], bool]) -> None:
        """`engines_known` returns whether the endpoint list can be relied on."""
        self._lifecycle = lifecycle
        self._engines_known = engines_known
        self.engines_up = 0  # number of engines that are up in the latest list

    def ready(self) -> bool:
        """Whether the process is ready."""
        return self._lifecycle.state is LifecycleState.SERVING and self.engines_up > 0 and self._engines_known()
