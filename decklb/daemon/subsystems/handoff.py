"""Handoff subsystem: members take over the requests in flight of other members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from decklb.config import ConfigError
from decklb.daemon.subsystems.base import Subsystem, SubsystemContext
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
    """Puts a `ProtectedDispatcher` between the PostgreSQL front and the dispatcher."""

    def __init__(self, context: SubsystemContext, settings: HandoffSettings, cluster: ClusterSubsystem) -> None:
        """Raises ConfigError if the store can't be opened."""
        front = context.request_path.front
        assert isinstance(front, PgListener)  # settings with handoff but without this front are rejected
        cluster_service = cluster.service
        member_name = context.config.cluster.member if context.config.cluster else ""
        protected = ProtectedDispatcher(
            context.request_path.dispatcher, context.clock, PgCodec(front.new_request_id), member_name
        )
        front.enable_handoff(protected)
        try:
            self._service = HandoffService(context.reactor, context.clock, settings, cluster_service, protected)
        except HandoffError as error:
            raise ConfigError(f"<handoff>: {error}") from error

    def start(self) -> None:
        """Connect to the other members."""
        self._service.start()

    def reload(self) -> None:
        """Use the cluster's new keys."""
        self._service.reload()

    def stop(self) -> None:
        """Close the connections and the store."""
        self._service.close()

    def queries(self) -> dict[str, Query]:
        """Query: figures on the requests in flight that this member holds for itself and for others."""
        return {"handoff": lambda: self._service.coordinator.figures()}
