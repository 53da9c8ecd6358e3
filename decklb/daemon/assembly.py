"""Which parts a configuration asks for. What it leaves off is not even imported."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from decklb.config import Config, ConfigError
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock

if TYPE_CHECKING:
    from decklb.bgp.speaker import Speaker
    from decklb.cluster.runtime import ClusterService
    from decklb.handoff.runtime import HandoffService
    from decklb.locality.runtime import LocalityService
    from decklb.maintenance.runtime import MaintenanceService
    from decklb.net.engines import RespEngines
    from decklb.net.listener import FrameListener
    from decklb.pg.engines import PgEngines
    from decklb.pg.listener import PgListener
    from decklb.wire.health_check import HealthChecker


@dataclass(slots=True)
class Parts:
    """One core between a front and its engines."""

    dispatcher: Dispatcher
    front: FrameListener | PgListener
    engines: RespEngines | PgEngines


def assemble(
    reactor: Any, clock: Clock, config: Config, draw: Callable[[int], int], ready: Callable[[], bool]
) -> Parts:
    """The platform's front, or that of PostgreSQL where its section is given."""
    if config.postgres is None:
        from decklb.net.engines import RespEngines
        from decklb.net.listener import FrameListener

        resp = RespEngines(reactor, clock, config.limits)
        core = Dispatcher(config.settings, config.seed, clock, resp)
        listener = FrameListener(core, ready, config.most_clients, config.spare_clients, config.most_held)
        return Parts(core, listener, resp)
    from decklb.pg.engines import PgEngines
    from decklb.pg.listener import PgListener

    pg = PgEngines(reactor, clock, config.postgres)
    core = Dispatcher(config.settings, config.seed, clock, pg)
    return Parts(core, PgListener(core, config.postgres, draw, config.most_clients), pg)


def speaker(reactor: Any, clock: Clock, config: Config) -> Speaker | None:
    """The BGP speaker, where there is a section for it."""
    if config.bgp is None:
        return None
    from decklb.bgp.speaker import Speaker

    return Speaker(reactor, clock, config.bgp)


def cluster(reactor: Any, clock: Clock, config: Config, probed: Callable[[str, bool], None]) -> ClusterService | None:
    """The member of a cluster, where there is a section for it; its probes speak as the engines do.

    Raises ConfigError where the key file can't be used.
    """
    if config.cluster is None:
        return None
    from decklb.cluster.errors import KeyFileError
    from decklb.cluster.runtime import ClusterService

    # Kept from one probe to the next, also where periods are stretched.
    duty = config.cluster.health_checks
    idle = 2.0 * duty.period_ms * duty.minority_factor * duty.warming_up_factor if duty is not None else 0.0
    try:
        return ClusterService(reactor, clock, config.cluster, prober(reactor, clock, config, idle), probed)
    except KeyFileError as error:
        raise ConfigError(str(error)) from error


def prober(reactor: Any, clock: Clock, config: Config, idle: float) -> HealthChecker:
    """Health checks that speak as the engines do; `idle`: ms without one after which a connection closes."""
    from decklb.wire.health_check import HealthCheckConnection, HealthChecker

    make_connection: Callable[..., HealthCheckConnection]
    if config.postgres is None:
        from decklb.net.health_check import RespHealthCheckConnection

        make_connection = RespHealthCheckConnection
    else:
        from decklb.pg.health_check import PgHealthCheckConnection

        make_connection = partial(PgHealthCheckConnection, config.postgres.startup)
    return HealthChecker(reactor, clock, make_connection, idle)


def locality(
    reactor: Any, clock: Clock, config: Config, parts: Parts, member: ClusterService | None
) -> LocalityService | None:
    """What keeps traffic near, where there is a section for it; it stands beside the dispatcher."""
    if config.locality is None or member is None:
        return None
    from decklb.locality.runtime import LocalityService

    s = config.locality
    return LocalityService(clock, s, member, parts.dispatcher, prober(reactor, clock, config, 4 * s.observation_ttl_ms))


def maintenance(
    reactor: Any,
    clock: Clock,
    config: Config,
    parts: Parts,
    member: ClusterService | None,
    near: LocalityService | None,
    changed: Callable[[], None],
    leave: Callable[[], None],
) -> MaintenanceService | None:
    """What takes machines out for work, where there is a section for it."""
    if config.maintenance is None or member is None or near is None:
        return None
    from decklb.maintenance.errors import MaintenanceError
    from decklb.maintenance.runtime import MaintenanceService

    s = config.maintenance
    probes = prober(reactor, clock, config, 4 * s.report_ttl_ms)
    try:
        return MaintenanceService(clock, s, member, near, parts.dispatcher, probes, changed, leave)
    except MaintenanceError as error:
        raise ConfigError(f"<maintenance>: {error}") from error


def handoff(
    reactor: Any, clock: Clock, config: Config, parts: Parts, member: ClusterService | None
) -> HandoffService | None:
    """What takes over work in hand, where there is a section for it; it stands between front and dispatcher."""
    if config.handoff is None or member is None:
        return None
    from decklb.handoff.errors import HandoffError
    from decklb.handoff.protected_dispatcher import ProtectedDispatcher
    from decklb.handoff.runtime import HandoffService
    from decklb.pg.codec import PgCodec
    from decklb.pg.listener import PgListener

    front = parts.front
    assert isinstance(front, PgListener)  # the settings are refused without that front
    protected = ProtectedDispatcher(
        parts.dispatcher, clock, PgCodec(front.new_request_id), config.cluster.member if config.cluster else ""
    )
    front.enable_handoff(protected)
    try:
        return HandoffService(reactor, clock, config.handoff, member, protected)
    except HandoffError as error:
        raise ConfigError(f"<handoff>: {error}") from error
