"""Makes the probers of subsystems: health checks that speak the engines' own protocol."""

from __future__ import annotations

from decklb.daemon.subsystems.base import Process
from decklb.wire.prober import ProbeLink, Prober


def make_prober(process: Process, idle_timeout_ms: float) -> Prober:
    """A prober whose connection to an engine closes after that many milliseconds without a probe."""
    link: type[ProbeLink]
    if process.config.postgres is None:
        from decklb.net.prober import RespProbe

        link = RespProbe
    else:
        from decklb.pg.prober import links

        link = links(process.config.postgres.startup)
    return Prober(process.reactor, process.clock, link, idle_timeout_ms)
