"""The maintenance plan of the fleet: jobs, their machines, and the stage of each machine.

The order of the types' fields is the stored and transmitted form of the plan. Plans are immutable: functions return a
changed copy. `operator_requests.py` and `scheduling.py` compute changes; through `replicated_register.py` the members
agree on which changes are applied. Does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import IntEnum

from msgspec import Struct
from msgspec.structs import replace

MANAGERS_ZONE = "managers"  # zone of the managers, which are machines of a plan like engines


class Stage(IntEnum):
    """Stage of a machine in a job, in order; `CANCELLED` may follow any stage before `DONE`."""

    WAITING = 0
    DRAINING = 1  # receives no new work
    OUT = 2  # idle, so maintenance may begin
    WARMING = 3  # has returned and is in slow start
    DONE = 4
    CANCELLED = 5


FINISHED_STAGES = (Stage.DONE, Stage.CANCELLED)
UNAVAILABLE_STAGES = (Stage.DRAINING, Stage.OUT)  # no work may be sent there
DISRUPTED_STAGES = (*UNAVAILABLE_STAGES, Stage.WARMING)  # counted against the disruption budget


class Machine(Struct, array_like=True, frozen=True):
    """One machine of a job."""

    name: str  # an engine's id, or `manager:NAME`
    zone: str
    stage: Stage = Stage.WAITING
    stage_since_unix_ms: int = 0  # wall clock of the member that did the step
    seen_down: bool = False  # seen down since it was taken out, so it has returned once it is reachable again
    step: int = 0  # number of the step that moved it to this stage
    incarnation: int = 0  # for a manager: identifies the run of its process that has to restart


class Job(Struct, array_like=True, frozen=True):
    """A request of an operator to take machines out for maintenance."""

    job_id: str
    reason: str
    window_ms: int  # expected duration of the work on one machine, after which the machine is overdue
    machines: tuple[Machine, ...]

    @property
    def active(self) -> bool:
        """Whether any machine of the job is not finished."""
        return any(machine.stage not in FINISHED_STAGES for machine in self.machines)


class Plan(Struct, array_like=True, frozen=True):
    """All jobs that are active, and the finished jobs that are retained."""

    jobs: tuple[Job, ...] = ()
    step_count: int = 0  # number of all steps so far; shows a step that was done twice or skipped
    blocked_reason: str = ""  # why no waiting machine may be drained; "": none is waiting, or one may be drained

    def machines_in(self, stages: Collection[Stage]) -> list[Machine]:
        """Return the machines in one of these stages, in the order of the plan."""
        return [machine for job in self.jobs for machine in job.machines if machine.stage in stages]

    def active_machine(self, name: str) -> Machine | None:
        """Return the entry of a machine that is not finished, in whichever job; None if there is none."""
        return next(
            (m for job in self.jobs for m in job.machines if m.name == name and m.stage not in FINISHED_STAGES), None
        )

    def unavailable_machines(self) -> frozenset[str]:
        """Return the names of machines that no work may be sent to."""
        return frozenset(machine.name for machine in self.machines_in(UNAVAILABLE_STAGES))


def overdue_machines(plan: Plan, unix_ms: int) -> list[Machine]:
    """Return the machines that have been out for longer than their window.

    The plan still waits for them, and they still count against the disruption budget.
    """
    return [
        machine
        for job in plan.jobs
        for machine in job.machines
        if machine.stage is Stage.OUT and unix_ms - machine.stage_since_unix_ms > job.window_ms
    ]


def map_machines(plan: Plan, change: Callable[[Job, Machine], Machine]) -> Plan:
    """Return the plan with `change` applied to each machine."""
    return replace(
        plan,
        jobs=tuple(replace(job, machines=tuple(change(job, machine) for machine in job.machines)) for job in plan.jobs),
    )


def replace_machine(plan: Plan, old: Machine, new: Machine) -> Plan:
    """Return the plan with one machine replaced."""
    return map_machines(plan, lambda _job, machine: new if machine is old else machine)


def move_machine(plan: Plan, machine: Machine, stage: Stage, unix_ms: int, incarnation: int | None = None) -> Plan:
    """Return the plan after the step that moves one machine to a stage.

    Args:
        plan: The plan before the step.
        machine: A machine of that plan.
        stage: The machine's next stage.
        unix_ms: Time at which the stage begins.
        incarnation: For a manager, the run of its process that has to restart; None: unchanged.
    """
    step = plan.step_count + 1
    moved = replace(
        machine,
        stage=stage,
        stage_since_unix_ms=unix_ms,
        seen_down=False,
        step=step,
        incarnation=machine.incarnation if incarnation is None else incarnation,
    )
    return replace(replace_machine(plan, machine, moved), step_count=step)
