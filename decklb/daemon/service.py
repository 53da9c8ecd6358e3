"""The workload manager process: opens its port, reports readiness, reloads on SIGHUP and drains on SIGTERM.

Owns the components built by `assembly`. The command `serve` creates and runs a `Service`.
"""

from __future__ import annotations

import random
import signal
from collections.abc import Callable
from typing import Any

from loguru import logger

from decklb.config import Config
from decklb.daemon.assembly import assemble_request_path, assemble_subsystems
from decklb.daemon.discovery import Discovery
from decklb.daemon.drain import ACCEPT_BACKLOG, Drain
from decklb.daemon.endpoint_updates import EndpointUpdates
from decklb.daemon.gc_tuning import IdleGarbageCollector
from decklb.daemon.lifecycle import Lifecycle, LifecycleState
from decklb.daemon.memory_allocator import return_large_buffers
from decklb.daemon.readiness import Readiness
from decklb.daemon.reload import Reload
from decklb.daemon.resource_monitor import ResourceMonitor
from decklb.daemon.signals import install_signal_handlers
from decklb.daemon.subsystems.base import SubsystemContext
from decklb.interface import Outcome
from decklb.wire.clock import ReactorClock


class Service:
    """One workload manager process."""

    def __init__(self, reactor: Any, config: Config, read_config: Callable[[], Config]) -> None:
        """Build the components without opening any socket.

        Args:
            reactor: The Twisted reactor, or an object with the same interface.
            config: The configuration of the process.
            read_config: Reads the configuration again for a reload; may raise ConfigError.

        Raises:
            ConfigError: A component can't use its settings.
        """
        self._reactor, self._config = reactor, config
        self._clock = ReactorClock(reactor)
        random_below = random.Random(config.seed).randrange
        self._lifecycle = Lifecycle()
        self._readiness = Readiness(self._lifecycle, lambda: self._discovery.engines_known)
        self._request_path = assemble_request_path(reactor, self._clock, config, random_below, self.ready)
        self._measure_unread_time()
        self._subsystems = assemble_subsystems(self._subsystem_context())
        self._endpoint_updates = EndpointUpdates(
            self._request_path, self._subsystems, self._readiness, on_updated=self._announce_readiness
        )
        self._discovery = Discovery(
            reactor,
            self._clock,
            config,
            self._lifecycle,
            random_below,
            on_endpoints=self._endpoint_updates.update,
            on_timeout=self._announce_readiness,
        )
        self._reload = Reload(config, read_config, self._discovery, self._subsystems)
        longest_deadline_ms = max(spec.deadline_ms for spec in config.settings.classes.values())
        self._drain = Drain(
            reactor,
            self._clock,
            self._lifecycle,
            self._request_path,
            self._discovery,
            self._subsystems,
            longest_deadline_ms,
        )

    def _subsystem_context(self) -> SubsystemContext:
        """Return what the subsystems are built from."""
        return SubsystemContext(
            self._reactor,
            self._clock,
            self._config,
            self._request_path,
            on_health_check=self._health_checked,
            on_maintenance_plan=lambda: self._endpoint_updates.refresh(),
            terminate=self.terminate,
        )

    def _measure_unread_time(self) -> None:
        """Subtract the time that requests waited unread from their budgets, if the reactor measures it."""
        if (unread_for := getattr(self._reactor, "unread_for_s", None)) is not None:
            self._request_path.dispatcher.unread_for_ms = lambda: 1000.0 * unread_for()

    def start(self) -> None:
        """Open all sockets. Raises Twisted's exception if the port can't be opened."""
        config = self._config
        host, port = config.listen
        self._discovery.start()
        listening_port = self._reactor.listenTCP(port, self._request_path.front, backlog=ACCEPT_BACKLOG, interface=host)
        self._request_path.front.attach_port(listening_port)
        self._drain.port = listening_port
        if not self._lifecycle.shutting_down:
            self._lifecycle.state = LifecycleState.SERVING
        self._subsystems.start()
        if config.control:
            self._open_control_socket(config.control)
        self._announce_readiness()
        logger.info(
            "{name} listens on {host}:{port}, {clients} clients at most",
            event="listening",
            name=config.name,
            host=host,
            port=listening_port.getHost().port,
            clients=config.max_clients,
        )

    def _open_control_socket(self, path: str) -> None:
        from decklb.management.control_server import listen

        listen(self._reactor, path, self._subsystems.queries(), self._subsystems.commands())

    def ready(self) -> bool:
        """Whether the process is ready."""
        return self._readiness.ready()

    def _announce_readiness(self) -> None:
        self._subsystems.readiness_changed(self.ready())

    def _health_checked(self, engine: str, up: bool) -> None:
        """Pass the result of the members' health checks of an engine to the dispatcher."""
        self._request_path.dispatcher.health_checked(engine, Outcome.SUCCESS if up else Outcome.UNREACHABLE)

    def reload(self) -> None:
        """SIGHUP: read the configuration again and apply what can change without a restart."""
        if not self._lifecycle.shutting_down:
            self._reload.run()

    def terminate(self) -> None:
        """SIGTERM: become not ready, answer the requests that are still open or on their way, and exit."""
        if self._lifecycle.shutting_down:
            return
        self._lifecycle.state = LifecycleState.DRAINING
        logger.info(
            "SIGTERM: draining, {open} requests open",
            event="draining",
            open=self._request_path.dispatcher.open_requests,
        )
        self._announce_readiness()
        self._drain.begin()

    def run(self) -> None:
        """Serve until the reactor stops."""
        install_signal_handlers(
            self._reactor,
            {
                signal.SIGHUP: self.reload,
                signal.SIGTERM: self.terminate,
                signal.SIGINT: self._reactor.stop,
            },
        )
        self.start()
        return_large_buffers()
        ResourceMonitor(self._clock, self._request_path.account, self._request_path.front.turns).start()
        IdleGarbageCollector(self._clock, lambda: not self._request_path.dispatcher.open_requests).start()
        self._reactor.run(installSignalHandlers=False)
