"""A process of an application as a member of a fleet: what one process took, another can take over.

The members' parts are Twisted's; they run on the application's own event loop, beside it.
"""

from __future__ import annotations

import asyncio
from typing import Any

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from decklb.cluster.runtime import ClusterService
from decklb.config.operators import members as settings_of
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock
from decklb.handoff.protected_dispatcher import ProtectedDispatcher
from decklb.handoff.runtime import HandoffService
from decklb.middleware.codec import AsgiCodec
from decklb.wire.clock import steady
from decklb.wire.prober import Prober

# Headers that proxies, tracing and clients' tries set anew each time: they don't make another request of it.
PASSING = frozenset(
    (
        b"host",
        b"connection",
        b"date",
        b"forwarded",
        b"x-forwarded-for",
        b"x-request-id",
        b"traceparent",
        b"tracestate",
        b"user-agent",
        b"content-length",
        b"transfer-encoding",
    )
)


class Members:
    """One process's membership. `settings` names the operators' XML, with its <cluster> and <handoff>."""

    def __init__(self, settings: str, member: str, passing: frozenset[bytes] = PASSING) -> None:
        """`member` names this process. Raises SettingsError."""
        self.cluster_settings, self.handoff_settings = settings_of(settings, member)
        self.codec = AsgiCodec(passing)
        self.cluster: ClusterService | None = None
        self.handoff: HandoffService | None = None

    def attach(self, dispatcher: Dispatcher, clock: Clock, loop: asyncio.AbstractEventLoop) -> ProtectedDispatcher:
        """Open the sockets on the running loop, and stand before the dispatcher."""
        reactor: Any = steady(AsyncioSelectorReactor(loop))
        protected = ProtectedDispatcher(dispatcher, clock, self.codec, self.cluster_settings.member)
        self.cluster = ClusterService(
            reactor, clock, self.cluster_settings, Prober(reactor, clock, _none, 0.0), lambda engine, up: None
        )
        self.handoff = HandoffService(reactor, clock, self.handoff_settings, self.cluster, protected)
        self.cluster.start()
        self.handoff.start()
        return protected

    def close(self) -> None:
        """Leave: others take over at once what is held here."""
        if self.handoff is not None:
            self.handoff.close()
        if self.cluster is not None:
            self.cluster.close()


def _none(*_: Any) -> Any:
    raise AssertionError("an application's members probe no engines")
