"""A process of an application as a member of a fleet: what one process took, another can take over.

`Members` joins the cluster and puts the handoff before the dispatcher; `WorkloadMiddleware` attaches and closes it. The
cluster and the handoff are Twisted's; they run on the application's own event loop, beside it.
"""

from __future__ import annotations

import asyncio
from typing import Any

from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from decklb.cluster.runtime import ClusterService
from decklb.config.operators import read_member_settings
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock
from decklb.handoff.protected_dispatcher import ProtectedDispatcher
from decklb.handoff.runtime import HandoffService
from decklb.middleware.codec import AsgiCodec
from decklb.wire.clock import use_monotonic_time
from decklb.wire.health_check import HealthChecker

# Headers that proxies, tracing and clients' retries set anew each time: they don't make another request of it.
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
    """One process's membership in the fleet.

    Attributes:
        codec: The form in which requests and responses go to other processes.
        cluster: Who is alive; None before `attach`.
        handoff: Copies of requests at other members; None before `attach`.
    """

    def __init__(self, settings: str, member: str, passing: frozenset[bytes] = PASSING) -> None:
        """Read the settings.

        Args:
            settings: Path of the operators' XML, with its <cluster> and <handoff>.
            member: Name of this process in the cluster.
            passing: Names, in lower case, of headers that may differ between retries of one request.

        Raises:
            SettingsError: The settings can't be used.
        """
        self.cluster_settings, self.handoff_settings = read_member_settings(settings, member)
        self.codec = AsgiCodec(passing)
        self.cluster: ClusterService | None = None
        self.handoff: HandoffService | None = None

    def attach(self, dispatcher: Dispatcher, clock: Clock, loop: asyncio.AbstractEventLoop) -> ProtectedDispatcher:
        """Open the sockets on the running loop; returns the request handler that stands before the dispatcher."""
        reactor: Any = use_monotonic_time(AsyncioSelectorReactor(loop))
        protected = ProtectedDispatcher(dispatcher, clock, self.codec, self.cluster_settings.member)
        self.cluster = ClusterService(
            reactor,
            clock,
            self.cluster_settings,
            HealthChecker(reactor, clock, _no_probes, 0.0),
            lambda _engine, _up: None,
        )
        self.handoff = HandoffService(reactor, clock, self.handoff_settings, self.cluster, protected)
        self.cluster.start()
        self.handoff.start()
        return protected

    def close(self) -> None:
        """Leave: other members take over at once what is held here."""
        if self.handoff is not None:
            self.handoff.close()
        if self.cluster is not None:
            self.cluster.close()


def _no_probes(*_: Any) -> Any:
    raise AssertionError("an application's members check no engines")
