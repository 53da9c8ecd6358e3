"""Distributes the endpoint list in the process: from discovery, filtered by subsystems, to all components that use it.

Keeps the latest unfiltered list, so that it can be filtered and distributed again when the maintenance plan changes.
"""

from __future__ import annotations

from collections.abc import Callable

from decklb.config import Address
from decklb.daemon.readiness import Readiness
from decklb.daemon.request_path import RequestPath
from decklb.daemon.subsystems.registry import Subsystems
from decklb.interface import Endpoint, Phase


class EndpointUpdates:
    """Distributes each endpoint list, then calls `on_updated`."""

    def __init__(
        self, request_path: RequestPath, subsystems: Subsystems, readiness: Readiness, on_updated: Callable[[], None]
    ) -> None:
        self._request_path, self._subsystems, self._readiness = request_path, subsystems, readiness
        self._on_updated = on_updated
        self._discovered: tuple[list[Endpoint], dict[str, Address]] = [], {}

    def update(self, entries: list[Endpoint], addresses: dict[str, Address]) -> None:
        """Distribute a new list from discovery."""
        self._discovered = entries, addresses
        usable = self._subsystems.filter_endpoints(entries, addresses)
        self._readiness.engines_up = sum(entry.phase is Phase.UP for entry in usable)
        self._request_path.engines.update_endpoints(addresses)
        self._request_path.dispatcher.update_endpoints(usable)
        self._subsystems.endpoints_changed(usable, addresses)
        self._on_updated()

    def refresh(self) -> None:
        """Distribute the latest list again, because the maintenance plan has changed."""
        self.update(*self._discovered)
