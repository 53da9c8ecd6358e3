"""The states that a process goes through, and which one it is in.

One `Lifecycle` belongs to a process; the service and its drain move it on, readiness and discovery look at it.
"""

from __future__ import annotations

from enum import Enum


class LifecycleState(Enum):
    """The states of a process, in the order in which it goes through them."""

    STARTING = "starting"  # parts are built, the port is not open yet
    SERVING = "serving"
    DRAINING = "draining"  # from SIGTERM on: not ready, but requests still come in and are answered
    STOPPING = "stopping"  # the last request has been answered; connections end


class Lifecycle:
    """The state of one process."""

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = LifecycleState.STARTING

    @property
    def shutting_down(self) -> bool:
        """Whether SIGTERM has come."""
        return self.state in (LifecycleState.DRAINING, LifecycleState.STOPPING)
