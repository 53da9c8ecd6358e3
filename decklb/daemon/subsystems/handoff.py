"""The handoff as a subsystem: members take over one another's requests in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from decklb.config import ConfigError
from decklb.daemon.subsystems.base import Process, Subsystem
from decklb.daemon.subsystems.cluster import ClusterSubsystem
from decklb.handoff.errors import HandoffError
from decklb.handoff.protected_dispatcher import ProtectedDispatcher
from decklb.handoff.runtime import HandoffService
from decklb.handoff.settings import HandoffSettings
from decklb.pg.codec import PgCodec
from decklb.pg.listener import PgListener

if TYPE_CHECKING:
    from decklb.management.control_server import Query


class HandoffSubsystem(Subsystem):
    """Stands between the PostgreSQL front and the dispatcher."""

    def __init__(self, process: Process, settings: HandoffSettings, cluster: ClusterSubsystem) -> None:
        """Raises ConfigError where the store can't be opened."""
        front = process.request_path.front
        assert isinstance(front, PgListener)  # the settings are rejected without that front
        member = cluster.service
        name = process.config.cluster.member if process.config.cluster else ""
        protected = ProtectedDispatcher(
            process.request_path.dispatcher, process.clock, PgCodec(front.new_request_id), name
        )
        front.enable_handoff(protected)
        try:
            self._service = HandoffService(process.reactor, process.clock, settings, member, protected)
        except HandoffError as error:
            raise ConfigError(f"<handoff>: {error}") from error

    def start(self) -> None:
        """Connect to the other members."""
        self._service.start()

    def reload(self) -> None:
        """Take the cluster's new keys."""
        self._service.reload()

    def stop(self) -> None:
        """Close the connections and the store."""
        self._service.close()

    def queries(self) -> dict[str, Query]:
        """The requests in flight that this member holds for itself and for others."""
        return {"handoff": lambda: self._service.coordinator.figures()}
