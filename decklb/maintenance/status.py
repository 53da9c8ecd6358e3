"""The plan as shown to operators: the answer of the management listener to `plan`.

The keys are a public interface: `decklb maint` and other programs read them. Stateless and does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

from decklb.maintenance.paxos_messages import Ballot
from decklb.maintenance.plan import Job, Plan, overdue_machines


def status_report(
    plan: Plan,
    unix_ms: int,
    *,
    driver: str,
    plan_known_to_all: bool,
    recovering: bool,
    committed_ballot: Ballot,
    machines: Iterable[str],
    counts: Mapping[str, int],
) -> dict[str, Any]:
    """Return the jobs with the stage of each machine, why waiting machines are blocked, and the members' agreement."""
    overdue = {machine.name for machine in overdue_machines(plan, unix_ms)}
    return {
        "jobs": [_job_row(job, overdue, unix_ms) for job in plan.jobs],
        "hold": plan.blocked_reason,
        "steps": plan.step_count,
        "driver": driver,
        "told": plan_known_to_all,
        "remembers": not recovering,
        "settled": list(committed_ballot),
        "machines": sorted(machines),
        "counts": dict(counts),
    }


def _job_row(job: Job, overdue: set[str], unix_ms: int) -> dict[str, Any]:
    return {
        "job": job.job_id,
        "reason": job.reason,
        "open": job.active,
        "window_ms": job.window_ms,
        "machines": [
            {
                "machine": machine.name,
                "zone": machine.zone,
                "stage": machine.stage.name.lower(),
                "overdue": machine.name in overdue,
                "since_ms": max(0, unix_ms - machine.stage_since_unix_ms) if machine.stage_since_unix_ms else None,
            }
            for machine in job.machines
        ],
    }
