"""Whether this process is ready: whether a request sent now would be served as well as any.

Fronts ask before they take new clients; the BGP speaker announces the service address exactly while it holds.
"""

from __future__ import annotations

from collections.abc import Callable

from decklb.daemon.lifecycle import Lifecycle, LifecycleState


class Readiness:
    """Ready while the process serves, knows its engines, and at least one of them is up."""

    __slots__ = ("_lifecycle", "_engines_known", "engines_up")

    def __init__(self, lifecycle: Lifecycle, engines_known: Callable[[], bool]) -> None:
        """`engines_known`: whether the list of engines can be relied on."""
        self._lifecycle = lifecycle
        self._engines_known = engines_known
        self.engines_up = 0  # engines that the latest list calls up

    def ready(self) -> bool:
        """Whether a request sent now would be served as well as any."""
        return self._lifecycle.state is LifecycleState.SERVING and self.engines_up > 0 and self._engines_known()
