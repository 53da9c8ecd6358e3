"""BGP subsystem: announces the service address to routers while the process is ready."""

from __future__ import annotations

from decklb.bgp.settings import BgpSettings
from decklb.bgp.speaker import Speaker
from decklb.daemon.subsystems.base import Subsystem, SubsystemContext


class BgpSubsystem(Subsystem):
    """Runs the BGP sessions. In a drain it is stopped separately, once no request is open any more."""

    def __init__(self, context: SubsystemContext, settings: BgpSettings) -> None:
        self._speaker = Speaker(context.reactor, context.clock, settings)

    def start(self) -> None:
        """Connect to the routers."""
        self._speaker.start()

    def stop(self) -> None:
        """Withdraw the route and close the sessions."""
        self._speaker.close()

    def readiness_changed(self, ready: bool) -> None:
        """Announce the service address if the process is ready, else withdraw it."""
        self._speaker.announce(ready)
