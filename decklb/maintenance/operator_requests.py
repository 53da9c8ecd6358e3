"""Changes of the plan that operators request: take machines out, cancel a job, report a machine as returned.

Each function takes a plan and returns the changed plan. The functions are idempotent, as a proposal that is retried may
already have been committed. Called by `orchestrator.py` through the replicated register. Does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from fnmatch import fnmatchcase
from typing import Any

from msgspec.structs import replace

from decklb.maintenance.errors import (
    InvalidRequestError,
    MachineAlreadyPlannedError,
    MachineNotOutError,
    UnknownJobError,
    UnknownMachineError,
)
from decklb.maintenance.fleet_status import MachineStatus
from decklb.maintenance.plan import FINISHED_STAGES, Job, Machine, Plan, Stage, map_machines, move_machine

MAX_JOB_ID_LENGTH = 64  # characters
MAX_REASON_LENGTH = 200  # characters; a longer reason is truncated


@dataclass(frozen=True, slots=True)
class MaintenanceRequest:
    """An operator's request to take machines out."""

    job_id: str
    targets: tuple[str, ...]  # engines by id, zone or pattern, managers as `manager:NAME`
    reason: str
    window_ms: float  # expected duration of the work on one machine in ms; 0: the default

    @classmethod
    def parse(cls, fields: Mapping[str, Any]) -> MaintenanceRequest:
        """Parse a request with the fields `job` and `machines`, and optionally `reason` and `window`.

        Raises:
            InvalidRequestError: A field is missing or invalid.
        """
        job_id, machines = str(fields.get("job", "")), fields.get("machines")
        if not job_id or len(job_id) > MAX_JOB_ID_LENGTH or not isinstance(machines, list) or not machines:
            raise InvalidRequestError("a request needs a job's name of at most 64 characters, and machines")
        window_ms = fields.get("window") or 0
        if not isinstance(window_ms, int | float) or window_ms < 0:
            raise InvalidRequestError("window is a number of ms above 0")
        reason = str(fields.get("reason", ""))[:MAX_REASON_LENGTH]
        return cls(job_id, tuple(str(machine) for machine in machines), reason, window_ms)


def resolve_machines(targets: Iterable[str], known: Mapping[str, MachineStatus]) -> tuple[MachineStatus, ...]:
    """Return the machines that match names, zones and patterns with `*`: each machine once, sorted by zone.

    Raises:
        UnknownMachineError: A target matches no machine.
    """
    resolved: dict[str, MachineStatus] = {}
    for target in targets:
        matching = [machine for machine in known.values() if _matches(target, machine)]
        if not matching:
            raise UnknownMachineError(target)
        resolved |= {machine.name: machine for machine in matching}
    return tuple(sorted(resolved.values(), key=lambda machine: (machine.zone, machine.name)))


def add_job(
    plan: Plan,
    job_id: str,
    targets: Iterable[str],
    reason: str,
    window_ms: int,
    known: Mapping[str, MachineStatus],
    retained_jobs: int,
) -> Plan:
    """Return the plan with a new job added; the same plan if it already has a job of that name.

    Args:
        plan: The current plan.
        job_id: The name of the job.
        targets: Machines by name, zone or pattern.
        reason: Why the machines are taken out, for readers of the plan.
        window_ms: Expected duration of the work on one machine.
        known: All machines that may be named.
        retained_jobs: Number of finished jobs that the plan keeps; the oldest are dropped.

    Raises:
        UnknownMachineError: A target matches no machine.
        MachineAlreadyPlannedError: A machine is in another job that has not finished.
    """
    if any(job.job_id == job_id for job in plan.jobs):
        return plan
    machines = resolve_machines(targets, known)
    for machine in machines:
        for job in plan.jobs:
            if any(m.name == machine.name and m.stage not in FINISHED_STAGES for m in job.machines):
                raise MachineAlreadyPlannedError(machine.name, job.job_id)
    new = Job(job_id, reason, window_ms, tuple(Machine(machine.name, machine.zone) for machine in machines))
    finished = [job.job_id for job in plan.jobs if not job.active]
    dropped = set(finished[: max(0, len(finished) + 1 - retained_jobs)])
    return replace(plan, jobs=(*(job for job in plan.jobs if job.job_id not in dropped), new))


def cancel_job(plan: Plan, job_id: str, unix_ms: int) -> Plan:
    """Return the plan with a job cancelled at once; the same plan if it is already cancelled.

    The job's machines receive work again.

    Raises:
        UnknownJobError: No active job has that name.
    """
    if any(job.job_id == job_id and _cancelled(job) for job in plan.jobs):
        return plan
    if not any(job.job_id == job_id and job.active for job in plan.jobs):
        raise UnknownJobError(job_id)
    step = plan.step_count + 1

    def cancel(job: Job, machine: Machine) -> Machine:
        if job.job_id != job_id or machine.stage in FINISHED_STAGES:
            return machine
        return replace(machine, stage=Stage.CANCELLED, stage_since_unix_ms=unix_ms, step=step)

    return replace(map_machines(plan, cancel), step_count=step)


def mark_returned(plan: Plan, name: str, unix_ms: int) -> Plan:
    """Return the plan with a machine warming after its maintenance; the same plan if it is already warming.

    Raises:
        MachineNotOutError: The machine is not out.
    """
    machine = plan.active_machine(name)
    if machine is not None and machine.stage is Stage.WARMING:
        return plan
    if machine is None or machine.stage is not Stage.OUT:
        raise MachineNotOutError(name)
    return move_machine(plan, machine, Stage.WARMING, unix_ms)


def _matches(target: str, machine: MachineStatus) -> bool:
    return target in (machine.name, machine.zone) or ("*" in target and fnmatchcase(machine.name, target))


def _cancelled(job: Job) -> bool:
    return not job.active and any(machine.stage is Stage.CANCELLED for machine in job.machines)
