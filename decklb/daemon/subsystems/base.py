"""The interface between the daemon and its subsystems."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from decklb.config import Address, Config
from decklb.core.ports import Clock
from decklb.daemon.request_path import RequestPath
from decklb.interface import Endpoint

if TYPE_CHECKING:
    from decklb.management.control_server import Command, Query


@dataclass(frozen=True, slots=True)
class SubsystemContext:
    """What the process provides to its subsystems: reactor, configuration, request path and callbacks."""

    reactor: Any
    clock: Clock
    config: Config
    request_path: RequestPath
    on_health_check: Callable[[str, bool], None]  # gets an engine id and whether health checks of any member reach it
    on_maintenance_plan: Callable[[], None]  # called when the plan has changed the set of usable engines
    terminate: Callable[[], None]  # drain and exit, as on SIGTERM


class Subsystem:
    """Base class of subsystems. Only the daemon calls the methods; they do nothing unless overridden."""

    def start(self) -> None:
        """Open sockets and start timers; the port for clients is already open."""

    def reload(self) -> None:
        """SIGHUP: read files again that may have changed."""

    def stop(self) -> None:
        """Notify peers and close sockets and files."""

    def filter_endpoints(self, entries: list[Endpoint], addresses: dict[str, Address]) -> list[Endpoint]:
        """Return the entries of a new endpoint list that other components may use."""
        return entries

    def endpoints_changed(self, entries: list[Endpoint], addresses: dict[str, Address]) -> None:
        """Handle a new endpoint list that all subsystems have filtered."""

    def readiness_changed(self, ready: bool) -> None:
        """Handle the readiness of the process; also called when it has not changed."""

    def queries(self) -> dict[str, Query]:
        """Return the subsystem's queries for the control socket, by name."""
        return {}

    def commands(self) -> dict[str, Command]:
        """Return the subsystem's commands for the control socket, by name."""
        return {}
