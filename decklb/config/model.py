"""The configuration of a process, as every reader of settings files makes it."""

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

# Descriptors for the log, the reactor, the directory and the listening sockets.
RESERVED_DESCRIPTORS = 16
# MB of the program itself under load.
PROGRAM_MEMORY_MB = 28.0
# Part of the descriptors, and of the memory that the program leaves free, for what is said beside each use.
CLIENT_DESCRIPTORS_DIVISOR = 2  # a third for usual clients, the rest for those that stay and send nothing
EXTRA_CLIENT_DESCRIPTORS_DIVISOR = 6  # while clients are being closed; what is left is for engines
CLIENT_MEMORY_DIVISOR = 3

Address = tuple[str, int]


@dataclass(slots=True)
class Config:
    """What a process is told at its start."""

    name: str
    listen: Address
    seed: int  # of all that the process draws
    max_descriptors: int
    memory_mb: float
    settings: Settings
    connection_limits: dict[str, Any]  # the settings' limits as they are written; those of connections decide nothing
    resolver: Address | None  # of the directory that is polled
    endpoint_list_version: int  # of the list of engines in `endpoint_list_updates`
    endpoint_list_updates: list[dict[str, Any]]  # the list at the start, in the directory's form
    postgres: PgSettings | None  # given: this front serves instead of the platform's
    bgp: BgpSettings | None
    cluster: ClusterSettings | None = None
    handoff: HandoffSettings | None = None
    locality: LocalitySettings | None = None
    maintenance: MaintenanceSettings | None = None
    control: str = ""  # path of the Unix socket for operators; "" for none

    @property
    def max_clients(self) -> int:
        """Connections of clients."""
        return max(1, (self.max_descriptors - RESERVED_DESCRIPTORS) // CLIENT_DESCRIPTORS_DIVISOR)

    @property
    def max_extra_clients(self) -> int:
        """Connections of clients beyond that, while others are closed for them."""
        return max(1, (self.max_descriptors - RESERVED_DESCRIPTORS) // EXTRA_CLIENT_DESCRIPTORS_DIVISOR)

    @property
    def max_client_bytes(self) -> int:
        """Bytes kept for all clients: messages read in part, and answers not yet taken."""
        return int(max(1.0, (self.memory_mb - PROGRAM_MEMORY_MB) / CLIENT_MEMORY_DIVISOR) * (1 << 20))


def parse_address(text: str) -> Address:
    """The host and port of `host:port`. Raises ConfigError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not int(port) < 65536:
        raise ConfigError(f"no address: {text!r}")
    return host, int(port)
