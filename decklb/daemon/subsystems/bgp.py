"""The BGP speaker as a subsystem: announces the service address while the process is ready."""

from __future__ import annotations

from decklb.bgp.settings import BgpSettings
from decklb.bgp.speaker import Speaker
from decklb.daemon.subsystems.base import Process, Subsystem


class BgpSubsystem(Subsystem):
    """Sessions with routers. Stopped apart from the cluster's subsystems, when no request is open any more."""

    def __init__(self, process: Process, settings: BgpSettings) -> None:
        self._speaker = Speaker(process.reactor, process.clock, settings)

    def start(self) -> None:
        """Connect to the routers."""
        self._speaker.start()

    def stop(self) -> None:
        """Withdraw and end the sessions."""
        self._speaker.close()

    def readiness_changed(self, ready: bool) -> None:
        """Announce the service address exactly while the process is ready."""
        self._speaker.announce(ready)
