"""Membership of an application process in a fleet, whose processes can take over each other's requests.

`Members` joins the cluster and puts the handoff in front of the dispatcher; `WorkloadMiddleware` attaches and closes
it. Cluster and handoff use Twisted; they run on the application's event loop.
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

# Headers that proxies, tracing and retries may change: a request that differs only in them is still the same request.
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
    """Membership of this process in the fleet.

    Attributes:
        codec: Encodes requests and responses for other processes.
        cluster: Tracks which members are alive; None before `attach`.
        handoff: Copies requests to other members; None before `attach`.
    """

    def __init__(self, settings: str, member: str, passing: frozenset[bytes] = PASSING) -> None:
        """Read the settings.

        Args:
            settings: Path of the operators' XML file, which contains <cluster> and <handoff>.
            member: Name of this process in the cluster.
            passing: Lower-case names of headers that may differ between retries of a request.

        Raises:
            SettingsError: The settings are invalid.
        """
        self.cluster_settings, self.handoff_settings = read_member_settings(settings, member)
        self.codec = AsgiCodec(passing)
        self.cluster: ClusterService | None = None
        self.handoff: HandoffService | None = None

    def attach(self, dispatcher: Dispatcher, clock: Clock, loop: asyncio.AbstractEventLoop) -> ProtectedDispatcher:
        """Open the sockets on the running loop and return the request handler to use in front of the dispatcher."""
        reactor: Any = use_monotonic_time(AsyncioSelectorReactor(loop))
        protected_dispatcher = ProtectedDispatcher(dispatcher, clock, self.codec, self.cluster_settings.member)
        self.cluster = ClusterService(
            reactor,
            clock,
            self.cluster_settings,
            HealthChecker(reactor, clock, _reject_health_check, 0.0),
            lambda _engine, _up: None,
        )
        self.handoff = HandoffService(reactor, clock, self.handoff_settings, self.cluster, protected_dispatcher)
        self.cluster.start()
        self.handoff.start()
        return protected_dispatcher

    def close(self) -> None:
        """Leave the fleet: other members take over the requests of this process at once."""
        if self.handoff is not None:
            self.handoff.close()
        if self.cluster is not None:
            self.cluster.close()


def _reject_health_check(*_: Any) -> Any:
    raise AssertionError("members of an application do not run health checks of engines")
