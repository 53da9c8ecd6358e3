"""The status of the fleet at one moment, on which the next step of the plan is decided: machines, load and zones.

`fleet_observer.py` creates it from the members' reports; `scheduling.py`, `disruption_budget.py` and
`operator_requests.py` read it. Data only.
"""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct


class MachineStatus(Struct, frozen=True):
    """The status of an engine or a manager, from the endpoint list and the members' reports."""

    name: str
    zone: str
    cores: float  # 0 for a manager
    reachable: bool = True  # a majority of all members reaches it; for a manager: it is alive
    in_flight: int = 0  # number of attempts of all members there
    incarnation: int = 0  # for a manager: identifies the run of its process
    seen_down: bool = False  # a majority of all members has seen it down since it was taken out


class FleetStatus(Struct, frozen=True):
    """All machines, and which members know the plan."""

    unix_ms: int
    machines: Mapping[str, MachineStatus]
    load_cores: Mapping[str, float]  # load in cores by zone of the callers
    unhealthy_zones: frozenset[str] = frozenset()  # zones that are out, degraded or returning
    plan_known_to_all: bool = True  # every member that is not absent has recently reported the current plan
    plan_known_for_ms: float = float("inf")  # how long the member that does the step has known the plan
    in_flight_certain: bool = True  # no member ended or started so recently that work of its process may be uncounted
