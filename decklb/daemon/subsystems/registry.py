"""The enabled subsystems of a process and the order in which they are called."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from decklb.config import Address
from decklb.daemon.subsystems.base import Subsystem
from decklb.interface import Endpoint

if TYPE_CHECKING:
    from decklb.management.control_server import Command, Query

# Results of the queries of disabled subsystems, with the usual structure, so that operators' programs can read them.
EMPTY_QUERY_RESULTS: dict[str, object] = {
    "members": {"members": [], "health": {"minority": False, "yielding": False}},
    "duties": [],
    "handoff": {},
    "zones": {},
    "plan": {},
}


@dataclass(slots=True)
class Subsystems:
    """The subsystems of one process; None for disabled ones."""

    bgp: Subsystem | None = None
    cluster: Subsystem | None = None
    handoff: Subsystem | None = None
    locality: Subsystem | None = None
    maintenance: Subsystem | None = None

    def _present(self, *subsystems: Subsystem | None) -> Iterator[Subsystem]:
        return (subsystem for subsystem in subsystems if subsystem is not None)

    def _in_start_order(self) -> Iterator[Subsystem]:
        """Each subsystem comes after those that it depends on."""
        return self._present(self.bgp, self.cluster, self.handoff, self.locality, self.maintenance)

    def start(self) -> None:
        """Start all subsystems."""
        for subsystem in self._in_start_order():
            subsystem.start()

    def reload(self) -> None:
        """Reload all subsystems."""
        for subsystem in self._in_start_order():
            subsystem.reload()

    def leave_cluster(self) -> None:
        """Stop the subsystems that communicate with other members; the cluster last, as the others send through it."""
        for subsystem in self._present(self.handoff, self.maintenance, self.locality, self.cluster):
            subsystem.stop()

    def stop_bgp(self) -> None:
        """Close the sessions with routers."""
        if self.bgp is not None:
            self.bgp.stop()

    def filter_endpoints(self, entries: list[Endpoint], addresses: dict[str, Address]) -> list[Endpoint]:
        """Return the entries that the dispatcher and the subsystems may use."""
        for subsystem in self._in_start_order():
            entries = subsystem.filter_endpoints(entries, addresses)
        return entries

    def endpoints_changed(self, entries: list[Endpoint], addresses: dict[str, Address]) -> None:
        """Pass a filtered endpoint list to all subsystems."""
        for subsystem in self._in_start_order():
            subsystem.endpoints_changed(entries, addresses)

    def readiness_changed(self, ready: bool) -> None:
        """Pass the readiness of the process to all subsystems."""
        for subsystem in self._in_start_order():
            subsystem.readiness_changed(ready)

    def queries(self) -> dict[str, Query]:
        """Return all queries by name; those of disabled subsystems have an empty result."""
        queries: dict[str, Query] = {name: partial(_identity, result) for name, result in EMPTY_QUERY_RESULTS.items()}
        for subsystem in self._in_start_order():
            queries |= subsystem.queries()
        return queries

    def commands(self) -> dict[str, Command]:
        """Return all commands by name."""
        commands: dict[str, Command] = {}
        for subsystem in self._in_start_order():
            commands |= subsystem.commands()
        return commands


def _identity(result: object) -> object:
    return result
