"""The configuration of a process, whether it was read from the platform's JSON, the operators' XML or both."""

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
# Memory in MB (2**20 bytes) that the program itself uses under load. It is not available for what connections hold.
PROGRAM_MEMORY_MB = 44.0
MAX_MEMORY_USE = 0.9  # share of the memory in the settings that the process uses at most
CONNECTION_BYTES = 12_000  # of the records of a connection to a client or an engine
# Memory that a held byte takes: allocators leave gaps, and buffers that grow are larger than their contents.
MEMORY_OF_HELD_BYTE = 1.3
MIN_HELD_BYTES = 1 << 20
# The descriptors beyond RESERVED_DESCRIPTORS are divided as follows: 1/2 for client connections, 1/6 for further ones
# that are accepted while others are being closed; the remaining 1/3 is left for connections to engines. The half is
# sized as 1/3 for usual clients and 1/6 for connections that stay open and send nothing, but enforced only as a whole.
CLIENT_DESCRIPTORS_DIVISOR = 2
EXTRA_CLIENT_DESCRIPTORS_DIVISOR = 6

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
    # `limits` of the settings, unparsed: the platform's engine client reads those of connections (`connect_timeout`,
    # `conn_idle`, `streams_per_conn`), which the policy ignores.
    connection_limits: dict[str, Any]
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
        """Maximum number of client connections above `max_clients`, accepted while others are closed to make room.

        The PostgreSQL front does not use it.
        """
        return max(1, (self.max_descriptors - RESERVED_DESCRIPTORS) // EXTRA_CLIENT_DESCRIPTORS_DIVISOR)

    @property
    def max_held_bytes(self) -> int:
        """Limit of the account of what all connections hold, in bytes (see `decklb.core.memory_account`)."""
        available_mb = self.memory_mb * MAX_MEMORY_USE - PROGRAM_MEMORY_MB
        available_bytes = available_mb * (1 << 20) - self.max_descriptors * CONNECTION_BYTES
        return max(MIN_HELD_BYTES, int(available_bytes / MEMORY_OF_HELD_BYTE))


def parse_address(text: str) -> Address:
    """Parse `host:port`. Raises ConfigError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not int(port) < 65536:
        raise ConfigError(f"no address: {text!r}")
    return host, int(port)
