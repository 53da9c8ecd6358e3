"""The disruption budget: whether a waiting machine may be drained now, and if not, why.

Limits the machines that are disrupted at the same time (in total, per zone, and as a fraction of a zone's cores), and
the utilization of the machines that remain. Stateless and does no I/O. Called by `scheduling.py`. The reasons are texts
for operators; they are stored in the plan and so are part of its stored and transmitted form.
"""

from __future__ import annotations

from decklb.maintenance.fleet_status import FleetStatus, MachineStatus
from decklb.maintenance.plan import DISRUPTED_STAGES, MANAGERS_ZONE, Machine, Plan
from decklb.maintenance.settings import MaintenanceSettings

ROUNDING_TOLERANCE = 1e-9  # rounding error in cores that sums may have


def blocking_reason(plan: Plan, machine: Machine, fleet: FleetStatus, settings: MaintenanceSettings) -> str:
    """Return the first reason why a machine may not be drained now; "" if it may be drained."""
    status = fleet.machines.get(machine.name)
    if status is None:
        return f"{machine.name} is on no list"
    if not fleet.plan_known_to_all:
        return "not every member has the plan yet, or its word is missing"
    if fleet.unhealthy_zones:
        return f"zone {min(fleet.unhealthy_zones)} is not well"
    disrupted = plan.machines_in(DISRUPTED_STAGES)
    if reason := _count_reason(machine, disrupted, settings):
        return reason
    if machine.zone == MANAGERS_ZONE:
        return "" if status.reachable else f"{machine.name} is not heard"
    unavailable = {other.name for other in disrupted} | {machine.name}
    return _zone_reason(machine.zone, unavailable, fleet, settings) or _fleet_reason(unavailable, fleet, settings)


def _count_reason(machine: Machine, disrupted: list[Machine], settings: MaintenanceSettings) -> str:
    limit = settings.max_unavailable
    if len(disrupted) >= limit:
        return f"{len(disrupted)} of {limit} machines are out or warming: {disrupted[0].name}"
    in_zone = [other for other in disrupted if other.zone == machine.zone]
    limit = settings.max_unavailable_per_zone
    if len(in_zone) >= limit:
        return f"{len(in_zone)} of {limit} machines of zone {machine.zone} are out or warming: {in_zone[0].name}"
    return ""


def _zone_reason(zone: str, unavailable: set[str], fleet: FleetStatus, settings: MaintenanceSettings) -> str:
    """Return a reason if the zone would lose too large a fraction of its cores, or too many for its load."""
    machines = [status for status in fleet.machines.values() if status.zone == zone]
    total = sum(status.cores for status in machines)
    out = sum(status.cores for status in machines if status.name in unavailable)
    fraction = settings.max_unavailable_zone_fraction
    if out > fraction * total + ROUNDING_TOLERANCE:
        return f"{out:g} of {total:g} cores of zone {zone} would be out; {100 * fraction:g}% may be"
    remaining = _remaining_cores(machines, unavailable)
    if fleet.load_cores.get(zone, 0.0) > settings.max_utilization * remaining:
        return f"zone {zone} would have {remaining:g} cores left, too few for its load"
    return ""


def _fleet_reason(unavailable: set[str], fleet: FleetStatus, settings: MaintenanceSettings) -> str:
    remaining = _remaining_cores(list(fleet.machines.values()), unavailable)
    if sum(fleet.load_cores.values()) > settings.max_utilization * remaining:
        return f"the fleet would have {remaining:g} cores left, too few for its load"
    return ""


def _remaining_cores(machines: list[MachineStatus], unavailable: set[str]) -> float:
    return sum(status.cores for status in machines if status.reachable and status.name not in unavailable)
