"""The maintenance plan of the fleet: jobs, their machines, and the stage of each.

The types are the plan's stored and transmitted form: the order of their fields is the wire format. A plan is a value
that is never changed in place: each function takes one and returns the next. Which next one stands is agreed on by
`replicated_register.py`. Plans are changed by `operator_requests.py` and `scheduling.py`. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from enum import IntEnum

from msgspec import Struct
from msgspec.structs import replace

MANAGERS_ZONE = "managers"  # the zone of managers, which are machines too


class Stage(IntEnum):
    """Of one machine in a job. Each follows the one before; `CANCELLED` may follow any but the last two."""

    WAITING = 0
    DRAINING = 1  # takes no new work
    OUT = 2  # idle: maintenance may begin
    WARMING = 3  # is back, and takes work as a cold engine does (slow start)
    DONE = 4
    CANCELLED = 5


FINISHED_STAGES = (Stage.DONE, Stage.CANCELLED)
UNAVAILABLE_STAGES = (Stage.DRAINING, Stage.OUT)  # no work may be sent there
DISRUPTED_STAGES = (*UNAVAILABLE_STAGES, Stage.WARMING)  # count against the disruption budget


class Machine(Struct, array_like=True, frozen=True):
    """One machine of a job."""

    name: str  # an engine's id, or `manager:NAME`
    zone: str
    stage: Stage = Stage.WAITING
    stage_since_unix_ms: int = 0  # by the clock of the member that did the step
    seen_down: bool = False  # it was seen down since it is out, so that being up again tells of its return
    step: int = 0  # number of the step that brought it to this stage
    incarnation: int = 0  # of a manager: which run of its process is to restart


class Job(Struct, array_like=True, frozen=True):
    """An operator's request."""

    job_id: str
    reason: str
    window_ms: int  # for the work on one machine; past it the machine is overdue
    machines: tuple[Machine, ...]

    @property
    def active(self) -> bool:
        """Whether a machine of the job is not finished."""
        return any(machine.stage not in FINISHED_STAGES for machine in self.machines)


class Plan(Struct, array_like=True, frozen=True):
    """All jobs that are active or retained."""

    jobs: tuple[Job, ...] = ()
    step_count: int = 0  # steps ever done, by which one done twice or left out is found
    blocked_reason: str = ""  # why no waiting machine may be drained, as of the last step

    def machines_in(self, stages: Collection[Stage]) -> list[Machine]:
        """Machines in one of these stages, in the order of the plan."""
        return [machine for job in self.jobs for machine in job.machines if machine.stage in stages]

    def active_machine(self, name: str) -> Machine | None:
        """A machine in the job of its that has not finished."""
        return next(
            (m for job in self.jobs for m in job.machines if m.name == name and m.stage not in FINISHED_STAGES), None
        )

    def unavailable_machines(self) -> frozenset[str]:
        """Names of machines that no work may be sent to."""
        return frozenset(machine.name for machine in self.machines_in(UNAVAILABLE_STAGES))


def overdue_machines(plan: Plan, unix_ms: int) -> list[Machine]:
    """Machines that are out for longer than their window; the plan waits for them, and they count as out."""
    return [
        machine
        for job in plan.jobs
        for machine in job.machines
        if machine.stage is Stage.OUT and unix_ms - machine.stage_since_unix_ms > job.window_ms
    ]


def map_machines(plan: Plan, change: Callable[[Job, Machine], Machine]) -> Plan:
    """The plan with `change` applied to each machine."""
    return replace(
        plan,
        jobs=tuple(replace(job, machines=tuple(change(job, machine) for machine in job.machines)) for job in plan.jobs),
    )


def replace_machine(plan: Plan, old: Machine, new: Machine) -> Plan:
    """The plan with one machine replaced."""
    return map_machines(plan, lambda _job, machine: new if machine is old else machine)


def move_machine(plan: Plan, machine: Machine, stage: Stage, unix_ms: int, incarnation: int | None = None) -> Plan:
    """The plan after the step that brings one machine to a stage.

    Args:
        plan: The plan before.
        machine: A machine of that plan.
        stage: Its next stage.
        unix_ms: When the stage begins.
        incarnation: Of a manager, the run of its process that is to end; None leaves it.
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
