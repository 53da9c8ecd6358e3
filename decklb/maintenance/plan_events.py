"""Turns changes of the plan into notices for the log.

Owns the plan as last logged, and the machines already logged as overdue. Called by `orchestrator.py` at each tick.
Does no I/O. `docs/operations/maintenance.md` lists the events.
"""

from __future__ import annotations

from decklb.cluster.notices import Notice
from decklb.maintenance.plan import Plan, overdue_machines


class PlanEvents:
    """Detects changes since the plan was last logged."""

    def __init__(self) -> None:
        self._logged_plan = Plan()
        self._overdue: set[str] = set()

    def changed(self, plan: Plan) -> bool:
        """Return whether the plan differs from the one last logged."""
        return plan is not self._logged_plan

    def notices(self, plan: Plan, unix_ms: int) -> list[Notice]:
        """Return notices of newly overdue machines, of each step, and of a new reason that blocks waiting machines."""
        notices = self._overdue_notices(plan, unix_ms)
        previous, self._logged_plan = self._logged_plan, plan
        if plan is previous:
            return notices
        notices += _step_notices(previous, plan)
        if plan.blocked_reason != previous.blocked_reason and plan.blocked_reason:
            notices.append(Notice("maintenance-blocked", {"reason": plan.blocked_reason}))
        return notices

    def _overdue_notices(self, plan: Plan, unix_ms: int) -> list[Notice]:
        overdue = {machine.name for machine in overdue_machines(plan, unix_ms)}
        new, self._overdue = overdue - self._overdue, overdue
        return [Notice("maintenance-overdue", {"machine": name}) for name in sorted(new)]


def _step_notices(previous: Plan, plan: Plan) -> list[Notice]:
    stages = {(job.job_id, machine.name): machine.stage for job in previous.jobs for machine in job.machines}
    return [
        Notice(
            "maintenance-step",
            {
                "job": job.job_id,
                "machine": machine.name,
                "zone": machine.zone,
                "stage": machine.stage.name.lower(),
                "step": machine.step,
            },
        )
        for job in plan.jobs
        for machine in job.machines
        if stages.get((job.job_id, machine.name)) is not machine.stage
    ]
