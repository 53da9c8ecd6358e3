"""Discovers the engines: from the endpoint list of the configuration and from the directory, polled over UDP.

Owns the directory client and its socket. The service starts and stops it and passes it new configurations on SIGHUP.
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

# ms to wait for the directory's first answer before the configured endpoint list alone is used.
FIRST_ANSWER_TIMEOUT_MS = 3000.0
# ms after which opening the socket is retried if the operating system refused it.
SOCKET_RETRY_MS = 500.0
# Bytes; larger than any UDP datagram over IPv4.
MAX_DATAGRAM_BYTES = 65536


class Discovery:
    """Keeps the endpoint list current; `on_endpoints` gets its entries and addresses each time they change."""

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
        """`on_timeout` is called when the time for the directory's first answer is over, also if it has arrived."""
        self._reactor, self._clock, self._config, self._lifecycle = reactor, clock, config, lifecycle
        self._on_timeout = on_timeout
        self._first_answer_wait_over = False
        self.directory = DirectoryClient(
            clock, config.resolver, random_below, on_endpoints, config.settings.drain_grace_ms
        )

    @property
    def engines_known(self) -> bool:
        """Whether the directory has answered or is no longer waited for."""
        return self.directory.synchronized or self._first_answer_wait_over

    def start(self) -> None:
        """Load the configured endpoint list, and start to poll the directory if there is one."""
        self.directory.load_updates(self._config.endpoint_list_version, self._config.endpoint_list_updates)
        if self._config.resolver is None:
            self._first_answer_wait_over = True
        else:
            self._open_socket()
            self._clock.call_later(FIRST_ANSWER_TIMEOUT_MS, self._on_first_answer_timeout)

    def load_newer_endpoints(self, config: Config) -> None:
        """Load the endpoint list of a new configuration if its version is higher than that of the current list."""
        if config.endpoint_list_version > self.directory.serial:
            self.directory.load_updates(config.endpoint_list_version, config.endpoint_list_updates)

    def change_resolver(self, resolver: Address | None) -> None:
        """Poll another directory from now on, or none. The current list is kept until the new directory answers."""
        if resolver == self.directory.resolver:
            return
        self.directory.change_resolver(resolver)
        if self.directory.transport is None:
            self._open_socket()

    def stop(self) -> None:
        """Stop polling."""
        self.directory.stop()

    def _open_socket(self) -> None:
        if self._lifecycle.shutting_down or self.directory.transport is not None:
            return
        interface = self._config.listen[0]
        try:
            self._reactor.listenUDP(0, self.directory, interface=interface, maxPacketSize=MAX_DATAGRAM_BYTES)
        except CannotListenError as error:  # until a retry succeeds the current list is used
            logger.warning(
                "directory: can't open a socket for polling: {error}",
                event="directory-no-socket",
                error=str(error.socketError),
            )
            self._clock.call_later(SOCKET_RETRY_MS, self._open_socket)

    def _on_first_answer_timeout(self) -> None:
        self._first_answer_wait_over = True
        self._on_timeout()
