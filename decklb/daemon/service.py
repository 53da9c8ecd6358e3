"""The process: opens its port, answers whether it is ready, reloads on SIGHUP and drains on SIGTERM.

Owns the parts that assembly has built. The command `serve` makes one and runs it.
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
from decklb.daemon.gc_tuning import Collector
from decklb.daemon.lifecycle import Lifecycle, LifecycleState
from decklb.daemon.readiness import Readiness
from decklb.daemon.reload import Reload
from decklb.daemon.signals import install_signal_handlers
from decklb.daemon.subsystems.base import Process
from decklb.interface import Outcome
from decklb.wire.clock import ReactorClock


class Service:
    """One workload manager."""

    def __init__(self, reactor: Any, config: Config, read_config: Callable[[], Config]) -> None:
        """Build the parts; nothing is opened yet. Raises ConfigError where a part can't use its settings.

        Args:
            reactor: Twisted's, or one like it.
            config: What the process serves by.
            read_config: Reads the configuration anew, for each SIGHUP; may raise ConfigError.
        """
        self._reactor, self._config = reactor, config
        self._clock = ReactorClock(reactor)
        random_below = random.Random(config.seed).randrange
        self._lifecycle = Lifecycle()
        self._readiness = Readiness(self._lifecycle, lambda: self._discovery.engines_known)
        self._request_path = assemble_request_path(reactor, self._clock, config, random_below, self.ready)
        self._measure_unread_time()
        self._subsystems = assemble_subsystems(self._process())
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
        longest = max(spec.deadline_ms for spec in config.settings.classes.values())
        self._drain = Drain(
            reactor, self._clock, self._lifecycle, self._request_path, self._discovery, self._subsystems, longest
        )

    def _process(self) -> Process:
        """What subsystems are built from."""
        return Process(
            self._reactor,
            self._clock,
            self._config,
            self._request_path,
            on_health_check=self._health_checked,
            on_maintenance_plan=lambda: self._endpoint_updates.refresh(),
            terminate=self.terminate,
        )

    def _measure_unread_time(self) -> None:
        """Take the time that requests lay unread in sockets off their budgets, where the reactor knows it."""
        if (unread_for := getattr(self._reactor, "unread_for_s", None)) is not None:
            self._request_path.dispatcher.unread_for_ms = lambda: 1000.0 * unread_for()

    def start(self) -> None:
        """Open everything. Raises what Twisted raises when the address can't be had."""
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
        """Whether a request sent now would be served as well as any."""
        return self._readiness.ready()

    def _announce_readiness(self) -> None:
        self._subsystems.readiness_changed(self.ready())

    def _health_checked(self, engine: str, up: bool) -> None:
        """What the members' probes find of an engine that the list calls up."""
        self._request_path.dispatcher.health_checked(engine, Outcome.SUCCESS if up else Outcome.UNREACHABLE)

    def reload(self) -> None:
        """SIGHUP: take what can change without a restart from a new configuration."""
        if not self._lifecycle.shutting_down:
            self._reload.run()

    def terminate(self) -> None:
        """SIGTERM: not ready from now on, but what is under way to us is still taken, and then the process exits."""
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
        """Serve until the end."""
        install_signal_handlers(
            self._reactor,
            {
                signal.SIGHUP: self.reload,
                signal.SIGTERM: self.terminate,
                signal.SIGINT: self._reactor.stop,
            },
        )
        self.start()
        Collector(self._clock, lambda: not self._request_path.dispatcher.open_requests).start()
        self._reactor.run(installSignalHandlers=False)
