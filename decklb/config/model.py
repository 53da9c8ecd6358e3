"""The configuration of a process: the common result of reading either configuration file."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from decklb.config.errors import ConfigError
from decklb.interface import Settings

if TYPE_CHECKING:
    from decklb.bgp.settings import BgpSettings
    from decklb.cluster.settings import ClusterSettings
    from decklb.handoff.settings import HandoffSettings
    from decklb.locality.settings import LocalitySettings
    from decklb.maintenance.settings import MaintenanceSettings
    from decklb.pg.settings import PgSettings

# File descriptors for the log, the reactor, the service directory and the listening sockets.
RESERVED_DESCRIPTORS = 16
# Memory in MB that the program itself needs under load, without buffers for clients.
PROGRAM_MEMORY_MB = 28.0
# One part in this many of the unreserved descriptors, or of the memory that the program leaves free, is for clients.
CLIENT_DESCRIPTORS_DIVISOR = 2  # of all, a third for active clients; the rest of the half for idle connections
EXTRA_CLIENT_DESCRIPTORS_DIVISOR = 6  # for new clients while others are being closed; the remainder is for engines
CLIENT_MEMORY_DIVISOR = 3

Address = tuple[str, int]


@dataclass(slots=True)
class Config:
    """Configuration of one process."""

    name: str
    listen: Address
    seed: int  # seed of all random numbers of the process
    max_descriptors: int
    memory_mb: float
    settings: Settings
    connection_limits: dict[str, Any]  # `limits` of the settings as written; the policy ignores those of connections
    resolver: Address | None  # address of the service directory that is polled; None: there is none
    endpoint_list_version: int  # version of the endpoint list in `endpoint_list_updates`
    endpoint_list_updates: list[dict[str, Any]]  # initial endpoint list, in the format of the directory
    postgres: PgSettings | None  # if given, the PostgreSQL front replaces the platform's
    bgp: BgpSettings | None
    cluster: ClusterSettings | None = None
    handoff: HandoffSettings | None = None
    locality: LocalitySettings | None = None
    maintenance: MaintenanceSettings | None = None
    control: str = ""  # path of the control socket (a Unix socket for operators); "": none

    @property
    def max_clients(self) -> int:
        """Maximum number of client connections."""
        return max(1, (self.max_descriptors - RESERVED_DESCRIPTORS) // CLIENT_DESCRIPTORS_DIVISOR)

    @property
    def max_extra_clients(self) -> int:
        """Maximum number of client connections above `max_clients`, while others are closed to make room."""
        return max(1, (self.max_descriptors - RESERVED_DESCRIPTORS) // EXTRA_CLIENT_DESCRIPTORS_DIVISOR)

    @property
    def max_client_bytes(self) -> int:
        """Maximum size of the buffers of all clients: partially read messages and answers not yet received."""
        return int(max(1.0, (self.memory_mb - PROGRAM_MEMORY_MB) / CLIENT_MEMORY_DIVISOR) * (1 << 20))


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raises ConfigError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not int(port) < 65536:
        raise ConfigError(f"no address: {text!r}")
    return host, int(port)
