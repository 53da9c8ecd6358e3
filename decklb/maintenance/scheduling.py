"""The next step of the plan: decides from the status of the fleet which machine moves to its next stage.

Called by `orchestrator.py` through the replicated register, which applies it to the newest plan: a step that another
member has already done is not repeated. Stateless and does no I/O.
"""

from __future__ import annotations

from msgspec.structs import replace

from decklb.maintenance.disruption_budget import blocking_reason
from decklb.maintenance.fleet_status import FleetStatus, MachineStatus
from decklb.maintenance.plan import (
    DISRUPTED_STAGES,
    MANAGERS_ZONE,
    Machine,
    Plan,
    Stage,
    move_machine,
    replace_machine,
)
from decklb.maintenance.settings import MaintenanceSettings


def advance(plan: Plan, fleet: FleetStatus, settings: MaintenanceSettings) -> Plan:
    """Return the plan after the next step, or the same plan if no step is due.

    A step moves at most one machine, so that it is either done completely or not at all.
    """
    for machine in plan.machines_in(DISRUPTED_STAGES):
        moved = _advance_disrupted(plan, machine, fleet, settings)
        if moved is not plan:
            return moved
    waiting = plan.machines_in((Stage.WAITING,))
    if not waiting:
        return _with_blocked_reason(plan, "")
    reasons = []
    for machine in waiting:
        reason = blocking_reason(plan, machine, fleet, settings)
        if not reason:
            incarnation = fleet.machines[machine.name].incarnation
            draining = move_machine(plan, machine, Stage.DRAINING, fleet.unix_ms, incarnation)
            return _with_blocked_reason(draining, "")
        reasons.append(reason)
    return _with_blocked_reason(plan, reasons[0])


def _advance_disrupted(plan: Plan, machine: Machine, fleet: FleetStatus, settings: MaintenanceSettings) -> Plan:
    """Return the plan after the next step of a draining, out or warming machine; the same plan if none is due."""
    status = fleet.machines.get(machine.name)
    stage_age_ms = fleet.unix_ms - machine.stage_since_unix_ms
    if machine.stage is Stage.DRAINING:
        if _drained(status, stage_age_ms, fleet, settings):
            return move_machine(plan, machine, Stage.OUT, fleet.unix_ms)
    elif machine.stage is Stage.OUT:
        if not machine.seen_down and (status is None or status.seen_down):  # it went down, even if only briefly
            return replace_machine(plan, machine, replace(machine, seen_down=True))
        if status is not None and _returned(machine, status):
            return move_machine(plan, machine, Stage.WARMING, fleet.unix_ms)
    elif stage_age_ms >= _warm_up_ms(machine, settings) and status is not None and status.reachable:
        return move_machine(plan, machine, Stage.DONE, fleet.unix_ms)
    return plan


def _drained(
    status: MachineStatus | None, stage_age_ms: float, fleet: FleetStatus, settings: MaintenanceSettings
) -> bool:
    """Return whether all members report that no work runs on a machine, or the drain has timed out.

    The timeout starts when the member that does the step learned of the plan, as it may have sent work there before.
    """
    idle = fleet.plan_known_to_all and fleet.in_flight_certain and (status is None or status.in_flight == 0)
    return idle or min(stage_age_ms, fleet.plan_known_for_ms) >= settings.drain_timeout_ms


def _returned(machine: Machine, status: MachineStatus) -> bool:
    """Return whether a machine is up again: reachable after it was down or, for a manager, in a new process."""
    return status.reachable and (machine.seen_down or status.incarnation != machine.incarnation)


def _warm_up_ms(machine: Machine, settings: MaintenanceSettings) -> float:
    """Return how many ms a machine has to stay in the stage `WARMING`.

    A restarted manager does not vote on handoff records at first; restarting another one during that time could leave
    too few voters.
    """
    if machine.zone == MANAGERS_ZONE:
        return max(settings.warm_up_ms, settings.manager_voting_delay_ms)
    return settings.warm_up_ms


def _with_blocked_reason(plan: Plan, reason: str) -> Plan:
    return plan if plan.blocked_reason == reason else replace(plan, blocked_reason=reason)
