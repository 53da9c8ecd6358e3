"""Discovery of the engines: the list of the configuration, and the polling of the directory from a UDP socket.

Owns the directory client and its socket. The service starts it, reloads it on SIGHUP and stops it at the end.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError

from decklb.config import Address, Config
from decklb.core.ports import Clock
from decklb.daemon.lifecycle import Lifecycle
from decklb.interface import Endpoint
from decklb.net.directory_client import DirectoryClient

# ms after which the list of the configuration must do where the directory does not answer.
FIRST_ANSWER_TIMEOUT_MS = 3000.0
# ms until the socket is tried again where the machine had none to give.
SOCKET_RETRY_MS = 500.0
# Bytes: a UDP message over IPv4 can't be larger.
MAX_DATAGRAM_BYTES = 65536


class Discovery:
    """Keeps the list of engines current; `on_endpoints` gets entries and addresses each time they change."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        config: Config,
        lifecycle: Lifecycle,
        random_below: Callable[[int], int],
        on_endpoints: Callable[[list[Endpoint], dict[str, Address]], None],
        on_timeout: Callable[[], None],
    ) -> None:
        """`on_timeout` is called when the first answer has stayed away, and the configuration's list has to do."""
        self._reactor, self._clock, self._config, self._lifecycle = reactor, clock, config, lifecycle
        self._on_timeout = on_timeout
        self._first_answer_overdue = False
        self.directory = DirectoryClient(
            clock, config.resolver, random_below, on_endpoints, config.settings.drain_grace_ms
        )

    @property
    def engines_known(self) -> bool:
        """Whether the directory has answered, or is not waited for any more."""
        return self.directory.synchronized or self._first_answer_overdue

    def start(self) -> None:
        """Take the configuration's list and begin to poll, where there is a directory."""
        self.directory.load_updates(self._config.endpoint_list_version, self._config.endpoint_list_updates)
        if self._config.resolver is None:
            self._first_answer_overdue = True
        else:
            self._open_socket()
            self._clock.call_later(FIRST_ANSWER_TIMEOUT_MS, self._first_answer_timed_out)

    def take_newer_endpoints(self, config: Config) -> None:
        """Take the list of a new configuration if its number is higher than that of the present one."""
        if config.endpoint_list_version > self.directory.serial:
            self.directory.load_updates(config.endpoint_list_version, config.endpoint_list_updates)

    def change_resolver(self, resolver: Address | None) -> None:
        """Poll another directory from now on, or none. The list stays until the new one answers."""
        if resolver == self.directory.resolver:
            return
        self.directory.change_resolver(resolver)
        if self.directory.transport is None:
            self._open_socket()

    def stop(self) -> None:
        """End polling."""
        self.directory.stop()

    def _open_socket(self) -> None:
        if self._lifecycle.shutting_down or self.directory.transport is not None:
            return
        interface = self._config.listen[0]
        try:
            self._reactor.listenUDP(0, self.directory, interface=interface, maxPacketSize=MAX_DATAGRAM_BYTES)
        except CannotListenError as error:  # the list of the start serves until then
            logger.warning(
                "directory: no socket to poll from: {error}", event="directory-no-socket", error=str(error.socketError)
            )
            self._clock.call_later(SOCKET_RETRY_MS, self._open_socket)

    def _first_answer_timed_out(self) -> None:
        self._first_answer_overdue = True
        self._on_timeout()
