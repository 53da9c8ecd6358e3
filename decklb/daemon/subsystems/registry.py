"""The subsystems of one process, those that its settings switch on, and the orders in which they are called."""

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

# What is answered for subsystems that are off, so that operators' programs get the same shapes.
ANSWERS_WITHOUT_SUBSYSTEM: dict[str, object] = {
    "members": {"members": [], "health": {"minority": False, "yielding": False}},
    "duties": [],
    "handoff": {},
    "zones": {},
    "plan": {},
}


@dataclass(slots=True)
class Subsystems:
    """The subsystems of one process; None where the settings leave one off."""

    bgp: Subsystem | None = None
    cluster: Subsystem | None = None
    handoff: Subsystem | None = None
    locality: Subsystem | None = None
    maintenance: Subsystem | None = None

    def _present(self, *subsystems: Subsystem | None) -> Iterator[Subsystem]:
        return (subsystem for subsystem in subsystems if subsystem is not None)

    def _in_start_order(self) -> Iterator[Subsystem]:
        """Each after those that it is built on."""
        return self._present(self.bgp, self.cluster, self.handoff, self.locality, self.maintenance)

    def start(self) -> None:
        """Start all."""
        for subsystem in self._in_start_order():
            subsystem.start()

    def reload(self) -> None:
        """Reload all."""
        for subsystem in self._in_start_order():
            subsystem.reload()

    def leave_cluster(self) -> None:
        """Stop all that speak with other members; the membership itself last, since the others send over it."""
        for subsystem in self._present(self.handoff, self.maintenance, self.locality, self.cluster):
            subsystem.stop()

    def stop_bgp(self) -> None:
        """End the sessions with routers."""
        if self.bgp is not None:
            self.bgp.stop()

    def filter_endpoints(self, entries: list[Endpoint], addresses: dict[str, Address]) -> list[Endpoint]:
        """The list as the dispatcher and the subsystems may use it."""
        for subsystem in self._in_start_order():
            entries = subsystem.filter_endpoints(entries, addresses)
        return entries

    def endpoints_changed(self, entries: list[Endpoint], addresses: dict[str, Address]) -> None:
        """Hand a new list to all."""
        for subsystem in self._in_start_order():
            subsystem.endpoints_changed(entries, addresses)

    def readiness_changed(self, ready: bool) -> None:
        """Tell all whether the process is ready."""
        for subsystem in self._in_start_order():
            subsystem.readiness_changed(ready)

    def queries(self) -> dict[str, Query]:
        """What operators may ask, by name; what belongs to a subsystem that is off has an empty answer."""
        found: dict[str, Query] = {name: partial(_unchanged, a) for name, a in ANSWERS_WITHOUT_SUBSYSTEM.items()}
        for subsystem in self._in_start_order():
            found |= subsystem.queries()
        return found

    def commands(self) -> dict[str, Command]:
        """What operators may order, by name."""
        found: dict[str, Command] = {}
        for subsystem in self._in_start_order():
            found |= subsystem.commands()
        return found


def _unchanged(answer: object) -> object:
    return answer
