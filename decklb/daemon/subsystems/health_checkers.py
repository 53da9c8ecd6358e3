"""Creates the health checkers of the subsystems for the protocol of the engines."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from decklb.daemon.subsystems.base import SubsystemContext
from decklb.wire.health_check import HealthCheckConnection, HealthChecker


def make_health_checker(context: SubsystemContext, idle_timeout_ms: float) -> HealthChecker:
    """Create a health checker that closes its connection to an engine after `idle_timeout_ms` without a check."""
    make_connection: Callable[..., HealthCheckConnection]
    if context.config.postgres is None:
        from decklb.net.health_check import RespHealthCheckConnection

        make_connection = RespHealthCheckConnection
    else:
        from decklb.pg.health_check import PgHealthCheckConnection

        make_connection = partial(PgHealthCheckConnection, context.config.postgres.startup)
    return HealthChecker(context.reactor, context.clock, make_connection, idle_timeout_ms)
