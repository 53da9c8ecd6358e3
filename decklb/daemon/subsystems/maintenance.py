"""Maintenance subsystem: takes machines out of service for maintenance, by a plan that the members agree on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from decklb.config import Address, ConfigError
from decklb.daemon.subsystems.base import Subsystem, SubsystemContext
from decklb.daemon.subsystems.cluster import ClusterSubsystem
from decklb.daemon.subsystems.health_checkers import make_health_checker
from decklb.daemon.subsystems.locality import IDLE_TIMEOUT_PER_RESULT_TTL, LocalitySubsystem
from decklb.interface import Endpoint
from decklb.maintenance.errors import MaintenanceError
from decklb.maintenance.runtime import MaintenanceService
from decklb.maintenance.settings import MaintenanceSettings

if TYPE_CHECKING:
    from decklb.management.control_server import Command, Query


class MaintenanceSubsystem(Subsystem):
    """Applies the maintenance plan to the endpoint list and carries out operators' commands."""

    def __init__(
        self,
        context: SubsystemContext,
        settings: MaintenanceSettings,
        cluster: ClusterSubsystem,
        locality: LocalitySubsystem,
    ) -> None:
        """Raises ConfigError if the plan's store can't be opened."""
        health_checker = make_health_checker(context, IDLE_TIMEOUT_PER_RESULT_TTL * settings.report_ttl_ms)
        try:
            self._service = MaintenanceService(
                context.clock,
                settings,
                cluster.service,
                locality.service,
                context.request_path.dispatcher,
                health_checker,
                context.on_maintenance_plan,
                context.terminate,
            )
        except MaintenanceError as error:
            raise ConfigError(f"<maintenance>: {error}") from error

    def start(self) -> None:
        """Start to carry out the plan."""
        self._service.start()

    def stop(self) -> None:
        """Stop carrying out the plan, without changing it."""
        self._service.close()

    def filter_endpoints(self, entries: list[Endpoint], addresses: dict[str, Address]) -> list[Endpoint]:
        """Return the list without the machines that the plan has taken out of service."""
        return self._service.apply_plan(entries, addresses)

    def queries(self) -> dict[str, Query]:
        """Query: the plan and its progress."""
        return {"plan": self._service.status}

    def commands(self) -> dict[str, Command]:
        """Commands: request maintenance of machines, cancel a job, and report a machine as returned."""
        return {
            "plan-request": self._service.request_maintenance,
            "plan-cancel": self._service.cancel,
            "plan-back": self._service.mark_returned,
        }
