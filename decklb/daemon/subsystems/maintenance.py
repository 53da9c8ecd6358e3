"""Maintenance as a subsystem: takes machines out of service for work, by a plan that the members agree on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from decklb.config import Address, ConfigError
from decklb.daemon.subsystems.base import Process, Subsystem
from decklb.daemon.subsystems.cluster import ClusterSubsystem
from decklb.daemon.subsystems.health_checkers import make_health_checker
from decklb.daemon.subsystems.locality import IDLE_FRESHNESS_PERIODS, LocalitySubsystem
from decklb.interface import Endpoint
from decklb.maintenance.errors import MaintenanceError
from decklb.maintenance.runtime import MaintenanceService
from decklb.maintenance.settings import MaintenanceSettings

if TYPE_CHECKING:
    from decklb.management.control_server import Command, Query


class MaintenanceSubsystem(Subsystem):
    """Lays the plan over the list of engines, and takes operators' commands."""

    def __init__(
        self, process: Process, settings: MaintenanceSettings, cluster: ClusterSubsystem, locality: LocalitySubsystem
    ) -> None:
        """Raises ConfigError where the plan's store can't be opened."""
        health_checker = make_health_checker(process, IDLE_FRESHNESS_PERIODS * settings.report_ttl_ms)
        try:
            self._service = MaintenanceService(
                process.clock,
                settings,
                cluster.service,
                locality.service,
                process.request_path.dispatcher,
                health_checker,
                process.on_maintenance_plan,
                process.terminate,
            )
        except MaintenanceError as error:
            raise ConfigError(f"<maintenance>: {error}") from error

    def start(self) -> None:
        """Begin to carry out the plan."""
        self._service.start()

    def stop(self) -> None:
        """End with the plan as it is."""
        self._service.close()

    def filter_endpoints(self, entries: list[Endpoint], addresses: dict[str, Address]) -> list[Endpoint]:
        """The list without the machines that the plan has taken out."""
        return self._service.apply_plan(entries, addresses)

    def queries(self) -> dict[str, Query]:
        """The plan and its progress."""
        return {"plan": self._service.status}

    def commands(self) -> dict[str, Command]:
        """Take machines out, call a job off, and report work as done."""
        return {
            "plan-request": self._service.request_maintenance,
            "plan-cancel": self._service.cancel,
            "plan-back": self._service.mark_returned,
        }
