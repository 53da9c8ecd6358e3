"""Makes the health checkers of subsystems, which speak the engines' own protocol."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from decklb.daemon.subsystems.base import Process
from decklb.wire.health_check import HealthCheckConnection, HealthChecker


def make_health_checker(process: Process, idle_timeout_ms: float) -> HealthChecker:
    """A health checker whose connection to an engine closes after that many milliseconds without a check."""
    make_connection: Callable[..., HealthCheckConnection]
    if process.config.postgres is None:
        from decklb.net.health_check import RespHealthCheckConnection

        make_connection = RespHealthCheckConnection
    else:
        from decklb.pg.health_check import PgHealthCheckConnection

        make_connection = partial(PgHealthCheckConnection, process.config.postgres.startup)
    return HealthChecker(process.reactor, process.clock, make_connection, idle_timeout_ms)
