"""Locality subsystem: keeps traffic in its zone while that zone is healthy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from decklb.config import Address
from decklb.daemon.subsystems.base import Subsystem, SubsystemContext
from decklb.daemon.subsystems.cluster import ClusterSubsystem
from decklb.daemon.subsystems.health_checkers import make_health_checker
from decklb.interface import Endpoint
from decklb.locality.runtime import LocalityService
from decklb.locality.settings import LocalitySettings

if TYPE_CHECKING:
    from decklb.management.control_server import Query

# Idle timeout of a health checker's connections, as a multiple of the time for which a result is valid.
IDLE_TIMEOUT_PER_RESULT_TTL = 4


class LocalitySubsystem(Subsystem):
    """Selects the zones of requests for the dispatcher."""

    def __init__(self, context: SubsystemContext, settings: LocalitySettings, cluster: ClusterSubsystem) -> None:
        health_checker = make_health_checker(context, IDLE_TIMEOUT_PER_RESULT_TTL * settings.observation_ttl_ms)
        self.service = LocalityService(
            context.clock, settings, cluster.service, context.request_path.dispatcher, health_checker
        )

    def start(self) -> None:
        """Start to monitor the zones."""
        self.service.start()

    def stop(self) -> None:
        """Stop monitoring the zones."""
        self.service.close()

    def endpoints_changed(self, entries: list[Endpoint], addresses: dict[str, Address]) -> None:
        """Monitor the listed engines."""
        self.service.update_engines(entries, addresses)

    def queries(self) -> dict[str, Query]:
        """Query: the states of the zones and the distribution of this process' requests."""
        return {"zones": self.service.status}
