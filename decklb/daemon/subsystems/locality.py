"""Locality as a subsystem: keeps traffic in its zone while that zone is healthy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from decklb.config import Address
from decklb.daemon.subsystems.base import Process, Subsystem
from decklb.daemon.subsystems.cluster import ClusterSubsystem
from decklb.daemon.subsystems.health_checkers import make_health_checker
from decklb.interface import Endpoint
from decklb.locality.runtime import LocalityService
from decklb.locality.settings import LocalitySettings

if TYPE_CHECKING:
    from decklb.management.control_server import Query

# A health checker's connection stays for as many times the age up to which its finding counts.
IDLE_FRESHNESS_PERIODS = 4


class LocalitySubsystem(Subsystem):
    """Stands beside the dispatcher, which asks it for the zone of each request."""

    def __init__(self, process: Process, settings: LocalitySettings, cluster: ClusterSubsystem) -> None:
        health_checker = make_health_checker(process, IDLE_FRESHNESS_PERIODS * settings.observation_ttl_ms)
        self.service = LocalityService(
            process.clock, settings, cluster.service, process.request_path.dispatcher, health_checker
        )

    def start(self) -> None:
        """Begin to watch the zones."""
        self.service.start()

    def stop(self) -> None:
        """End watching."""
        self.service.close()

    def endpoints_changed(self, entries: list[Endpoint], addresses: dict[str, Address]) -> None:
        """Watch these engines."""
        self.service.update_engines(entries, addresses)

    def queries(self) -> dict[str, Query]:
        """The zones' states, and where this process' requests go."""
        return {"zones": self.service.status}
