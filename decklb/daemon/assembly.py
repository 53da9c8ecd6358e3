"""Builds the components of a process as configured; the modules of disabled subsystems are not imported."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from decklb.config import Config
from decklb.core.dispatcher import Dispatcher
from decklb.core.memory_account import MemoryAccount
from decklb.core.ports import Clock
from decklb.daemon.request_path import RequestPath
from decklb.daemon.subsystems.base import SubsystemContext
from decklb.daemon.subsystems.registry import Subsystems


def assemble_request_path(
    reactor: Any, clock: Clock, config: Config, random_below: Callable[[int], int], ready: Callable[[], bool]
) -> RequestPath:
    """Build the front and the engine client: those of PostgreSQL if its section is given, else the platform's."""
    account = MemoryAccount(config.max_held_bytes)
    if config.postgres is None:
        from decklb.net.engines import RespEngines
        from decklb.net.listener import FrameListener

        resp_engines = RespEngines(reactor, clock, config.connection_limits, account)
        dispatcher = Dispatcher(config.settings, config.seed, clock, resp_engines)
        frame_listener = FrameListener(dispatcher, ready, config.max_clients, config.max_extra_clients, account)
        return RequestPath(dispatcher, frame_listener, resp_engines, account)
    from decklb.pg.engines import PgEngines
    from decklb.pg.listener import PgListener

    pg_engines = PgEngines(reactor, clock, config.postgres, account)
    dispatcher = Dispatcher(config.settings, config.seed, clock, pg_engines)
    pg_listener = PgListener(dispatcher, config.postgres, random_below, config.max_clients, account)
    return RequestPath(dispatcher, pg_listener, pg_engines, account)


def assemble_subsystems(context: SubsystemContext) -> Subsystems:
    """Build the subsystems whose sections are given, each after those that it depends on.

    Raises:
        ConfigError: A subsystem can't use its settings, such as a file that they name.
    """
    config, subsystems = context.config, Subsystems()
    if config.bgp is not None:
        from decklb.daemon.subsystems.bgp import BgpSubsystem

        subsystems.bgp = BgpSubsystem(context, config.bgp)
    if config.cluster is None:  # the remaining subsystems depend on it
        return subsystems
    from decklb.daemon.subsystems.cluster import ClusterSubsystem

    subsystems.cluster = cluster = ClusterSubsystem(context, config.cluster)
    if config.handoff is not None:
        from decklb.daemon.subsystems.handoff import HandoffSubsystem

        subsystems.handoff = HandoffSubsystem(context, config.handoff, cluster)
    if config.locality is None:
        return subsystems
    from decklb.daemon.subsystems.locality import LocalitySubsystem

    subsystems.locality = locality = LocalitySubsystem(context, config.locality, cluster)
    if config.maintenance is not None:
        from decklb.daemon.subsystems.maintenance import MaintenanceSubsystem

        subsystems.maintenance = MaintenanceSubsystem(context, config.maintenance, cluster, locality)
    return subsystems
