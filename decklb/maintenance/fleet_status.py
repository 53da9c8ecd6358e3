"""What the next step of the plan is decided by: machines, load and zones at one moment.

Made by `fleet_observer.py` from members' reports; read by `scheduling.py`, `disruption_budget.py` and
`operator_requests.py`. No state.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct


class MachineStatus(Struct, frozen=True):
    """An engine or a manager, by the endpoint list and the members' reports."""

    name: str
    zone: str
    cores: float  # 0 of a manager
    reachable: bool = True  # by most members; a manager: alive
    in_flight: int = 0  # attempts there, of all members
    incarnation: int = 0  # of a manager: which run of its process it is
    seen_down: bool = False  # by most members, at some time since it is out


class FleetStatus(Struct, frozen=True):
    """All machines, and how far the members know the plan."""

    unix_ms: int
    machines: Mapping[str, MachineStatus]
    load_cores: Mapping[str, float]  # by zone of the callers
    unhealthy_zones: frozenset[str] = frozenset()  # out, degraded or returning
    plan_known_to_all: bool = True  # every member alive has the plan as it stands, and its report counts
    plan_known_for_ms: float = float("inf")  # to the member that does the step
    in_flight_certain: bool = True  # no member died or started so lately that work of its process may run unseen
