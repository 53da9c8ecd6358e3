"""What the daemon asks of every subsystem, and what a subsystem may ask of the process."""

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
class Process:
    """What a subsystem is built from: reactor, configuration and request path, and calls back into the process."""

    reactor: Any
    clock: Clock
    config: Config
    request_path: RequestPath
    on_health_check: Callable[[str, bool], None]  # an engine id, and whether probes of any member find it up
    on_maintenance_plan: Callable[[], None]  # the plan has changed what may be used of the list of engines
    terminate: Callable[[], None]  # drain and exit, as on SIGTERM


class Subsystem:
    """One subsystem of the process. Each method is called by the daemon alone; those not needed do nothing."""

    def start(self) -> None:
        """Open sockets and set timers; the port for clients is open already."""

    def reload(self) -> None:
        """SIGHUP: read files again that may change while the process runs."""

    def stop(self) -> None:
        """Say goodbye to others and close sockets and files."""

    def filter_endpoints(self, entries: list[Endpoint], addresses: dict[str, Address]) -> list[Endpoint]:
        """The list as others may use it, before they get it."""
        return entries

    def endpoints_changed(self, entries: list[Endpoint], addresses: dict[str, Address]) -> None:
        """A new list of engines, already filtered."""

    def readiness_changed(self, ready: bool) -> None:
        """Whether the process is ready, also when it is as before."""

    def queries(self) -> dict[str, Query]:
        """What operators may ask over the control socket, by name."""
        return {}

    def commands(self) -> dict[str, Command]:
        """What operators may order over the control socket, by name."""
        return {}
