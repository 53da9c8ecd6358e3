"""Cluster subsystem: membership and the periodic duties that the members share."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from decklb.cluster.errors import KeyFileError
from decklb.cluster.runtime import ClusterService
from decklb.cluster.settings import ClusterSettings
from decklb.config import Address, ConfigError
from decklb.daemon.subsystems.base import Subsystem, SubsystemContext
from decklb.daemon.subsystems.health_checkers import make_health_checker
from decklb.interface import Endpoint, Phase

if TYPE_CHECKING:
    from decklb.management.control_server import Query


class ClusterSubsystem(Subsystem):
    """Makes the process a member of a cluster."""

    def __init__(self, context: SubsystemContext, settings: ClusterSettings) -> None:
        """Raises ConfigError if the key file can't be used."""
        self._context = context
        health_checker = make_health_checker(context, _idle_timeout_ms(settings))
        try:
            self.service = ClusterService(
                context.reactor, context.clock, settings, health_checker, context.on_health_check
            )
        except KeyFileError as error:
            raise ConfigError(str(error)) from error

    def start(self) -> None:
        """Join the cluster."""
        self.service.start()

    def reload(self) -> None:
        """Read the key file again."""
        self.service.reload()

    def stop(self) -> None:
        """Leave the cluster."""
        self.service.close()

    def endpoints_changed(self, entries: list[Endpoint], addresses: dict[str, Address]) -> None:
        """Check the health of the listed engines; recently started ones are in slow start until their warm-up ends."""
        clock, warm_up_ms = self._context.clock, self._context.config.settings.slow_start_window_ms
        # Added to a start time, this gives the end of the warm-up in wall-clock time, which members can compare.
        warm_up_offset_ms = time.time() * 1000.0 - clock.now() + warm_up_ms
        self.service.set_engines(
            {
                entry.engine_id: entry.started_at_ms + warm_up_offset_ms if entry.started_at_ms else 0.0
                for entry in entries
            },
            {entry.engine_id for entry in entries if entry.phase is Phase.UP},
            addresses,
        )

    def queries(self) -> dict[str, Query]:
        """Queries: the members, and the duties with their owners."""
        return {"members": self._members, "duties": self.service.duty_rows}

    def _members(self) -> dict[str, Any]:
        return {"members": self.service.member_rows(), "health": self.service.health()}


def _idle_timeout_ms(settings: ClusterSettings) -> float:
    """Return twice the longest period of health checks in ms, so that connections stay open between two checks."""
    duty = settings.health_checks
    return 2.0 * duty.period_ms * duty.minority_factor * duty.warming_up_factor if duty is not None else 0.0
