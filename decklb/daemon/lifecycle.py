"""Lifecycle states of the process and its current state.

A process has one `Lifecycle`: the service and the drain change its state, readiness and discovery read it.
"""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """Lifecycle states of a process, in order."""

    STARTING = "starting"  # the components are being built; the port is not open yet
    SERVING = "serving"
    DRAINING = "draining"  # since SIGTERM: not ready, but requests are still accepted and answered
    STOPPING = "stopping"  # the last request has been answered; connections are being closed


class Lifecycle:
    """Current state of a process."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = LifecycleState.STARTING

    @property
    def shutting_down(self) -> bool:
        """Whether SIGTERM has been received."""
        return self.state in (LifecycleState.DRAINING, LifecycleState.STOPPING)
