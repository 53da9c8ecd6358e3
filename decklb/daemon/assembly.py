"""Builds the parts of a process that its configuration asks for; what it leaves off is not even imported."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from decklb.config import Config
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock
from decklb.daemon.request_path import RequestPath
from decklb.daemon.subsystems.base import Process
from decklb.daemon.subsystems.registry import Subsystems


def assemble_request_path(
    reactor: Any, clock: Clock, config: Config, random_below: Callable[[int], int], ready: Callable[[], bool]
) -> RequestPath:
    """The platform's front and engine client, or those of PostgreSQL where its section is given."""
    if config.postgres is None:
        from decklb.net.engines import RespEngines
        from decklb.net.listener import FrameListener

        resp = RespEngines(reactor, clock, config.connection_limits)
        dispatcher = Dispatcher(config.settings, config.seed, clock, resp)
        listener = FrameListener(
            dispatcher, ready, config.max_clients, config.max_extra_clients, config.max_client_bytes
        )
        return RequestPath(dispatcher, listener, resp)
    from decklb.pg.engines import PgEngines
    from decklb.pg.listener import PgListener

    pg = PgEngines(reactor, clock, config.postgres)
    dispatcher = Dispatcher(config.settings, config.seed, clock, pg)
    front = PgListener(dispatcher, config.postgres, random_below, config.max_clients)
    return RequestPath(dispatcher, front, pg)


def assemble_subsystems(process: Process) -> Subsystems:
    """The subsystems whose sections are given, each after those that it is built on.

    Raises:
        ConfigError: A subsystem can't use its settings, such as a file that they name.
    """
    config, subsystems = process.config, Subsystems()
    if config.bgp is not None:
        from decklb.daemon.subsystems.bgp import BgpSubsystem

        subsystems.bgp = BgpSubsystem(process, config.bgp)
    if config.cluster is None:  # what follows is built on it
        return subsystems
    from decklb.daemon.subsystems.cluster import ClusterSubsystem

    subsystems.cluster = cluster = ClusterSubsystem(process, config.cluster)
    if config.handoff is not None:
        from decklb.daemon.subsystems.handoff import HandoffSubsystem

        subsystems.handoff = HandoffSubsystem(process, config.handoff, cluster)
    if config.locality is None:
        return subsystems
    from decklb.daemon.subsystems.locality import LocalitySubsystem

    subsystems.locality = locality = LocalitySubsystem(process, config.locality, cluster)
    if config.maintenance is not None:
        from decklb.daemon.subsystems.maintenance import MaintenanceSubsystem

        subsystems.maintenance = MaintenanceSubsystem(process, config.maintenance, cluster, locality)
    return subsystems
