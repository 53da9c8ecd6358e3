"""The next step of the plan: which machine moves to its next stage, by what is known of the fleet.

Called by `orchestrator.py` through the replicated register, so that a member which proposes a step that another has
done already proposes it on the plan as it then is, where it is no step any more. No state, free of I/O.
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
    """The plan after the next step, or the same plan. At most one machine moves, so that a step is done once or not."""
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
    """The next step of a machine that is draining, out or warming; the same plan where it has to wait."""
    status = fleet.machines.get(machine.name)
    stage_age_ms = fleet.unix_ms - machine.stage_since_unix_ms
    if machine.stage is Stage.DRAINING:
        if _drained(status, stage_age_ms, fleet, settings):
            return move_machine(plan, machine, Stage.OUT, fleet.unix_ms)
    elif machine.stage is Stage.OUT:
        if not machine.seen_down and (status is None or status.seen_down):  # down for its work, maybe for a moment
            return replace_machine(plan, machine, replace(machine, seen_down=True))
        if status is not None and _returned(machine, status):
            return move_machine(plan, machine, Stage.WARMING, fleet.unix_ms)
    elif stage_age_ms >= _warm_up_ms(machine, settings) and status is not None and status.reachable:
        return move_machine(plan, machine, Stage.DONE, fleet.unix_ms)
    return plan


def _drained(
    status: MachineStatus | None, stage_age_ms: float, fleet: FleetStatus, settings: MaintenanceSettings
) -> bool:
    """Whether no work runs there by every member's report, or the drain has timed out.

    The time-out counts from when the member that does the step came to know the plan: before that it sent work there.
    """
    idle = fleet.plan_known_to_all and fleet.in_flight_certain and (status is None or status.in_flight == 0)
    return idle or min(stage_age_ms, fleet.plan_known_for_ms) >= settings.drain_timeout_ms


def _returned(machine: Machine, status: MachineStatus) -> bool:
    """Whether a machine is up again; a manager, whether another run of its process is."""
    return status.reachable and (machine.seen_down or status.incarnation != machine.incarnation)


def _warm_up_ms(machine: Machine, settings: MaintenanceSettings) -> float:
    """How long a machine warms. While a manager votes on no records, another restart would leave too few voters."""
    if machine.zone == MANAGERS_ZONE:
        return max(settings.warm_up_ms, settings.manager_voting_delay_ms)
    return settings.warm_up_ms


def _with_blocked_reason(plan: Plan, reason: str) -> Plan:
    return plan if plan.blocked_reason == reason else replace(plan, blocked_reason=reason)
