"""The one plan of the fleet: jobs, their machines, and what may be done next (free of I/O).

A plan is a value that is never changed in place: each function takes one and returns the next. Which next one stands
is settled by `replicated_register.py`, so whoever proposes a step that another has done already proposes it on the plan
as it then is, where it is no step any more.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from enum import IntEnum
from fnmatch import fnmatchcase

from msgspec import Struct
from msgspec.structs import replace

from decklb.maintenance.errors import AlreadyPlanned, NobodyNamed, NoSuchJob, NotOut
from decklb.maintenance.settings import MaintenanceSettings


class Stage(IntEnum):
    """Of one machine in a job. Each follows the one before; `CANCELLED` may follow any but the last two."""

    WAITING = 0
    DRAINING = 1  # takes nothing new
    OUT = 2  # idle: work on it may begin
    WARMING = 3  # is back, and takes work as a cold engine does
    DONE = 4
    CANCELLED = 5


ENDED = (Stage.DONE, Stage.CANCELLED)
AWAY = (Stage.DRAINING, Stage.OUT)  # bears nothing
HELD = (*AWAY, Stage.WARMING)  # counts against the budgets


class Machine(Struct, array_like=True, frozen=True):
    """One machine of a job. `at` is when its stage began, Unix ms by the clock of whoever did the step."""

    name: str
    zone: str
    stage: Stage = Stage.WAITING
    at: int = 0
    gone: bool = False  # it was seen down since it is out, so that being up again tells of its return
    step: int = 0  # of the plan's steps, the one that brought it to this stage
    boot: int = 0  # of a manager: which run of its process was told to go


class Job(Struct, array_like=True, frozen=True):
    """What an operator asked for."""

    ident: str
    reason: str
    window: int  # ms for the work on one machine
    machines: tuple[Machine, ...]

    @property
    def live(self) -> bool:
        """Whether a machine of the job is still to be worked on."""
        return any(m.stage not in ENDED for m in self.machines)


MANAGERS = "managers"  # the zone of managers, which are machines too


class Plan(Struct, array_like=True, frozen=True):
    """All of it. `steps` counts every step ever done, for those that look for one done twice or left out."""

    jobs: tuple[Job, ...] = ()
    steps: int = 0
    hold: str = ""  # why nothing goes on, as the last step told

    def machine(self, name: str) -> Machine | None:
        """Where a machine stands in the job that has not ended."""
        return next((m for j in self.jobs for m in j.machines if m.name == name and m.stage not in ENDED), None)

    def away(self) -> frozenset[str]:
        """Machines that no work may be sent to."""
        return frozenset(m.name for j in self.jobs for m in j.machines if m.stage in AWAY)


class Engine(Struct, frozen=True):
    """An engine as the list and the members' words have it."""

    name: str
    zone: str
    cores: float
    up: bool = True  # most members reach it
    busy: int = 0  # attempts out there, of all members
    boot: int = 0  # of a manager: which run of its process it is
    went: bool = False  # most members saw it down at some time since it is out


class Facts(Struct, frozen=True):
    """What whoever does the next step knows. `load` is in cores, by zone of the callers."""

    wall: int
    engines: Mapping[str, Engine]
    load: Mapping[str, float]
    unwell: frozenset[str] = frozenset()  # zones that are out, degraded or returning
    told: bool = True  # every member alive has the plan as it stands, and its words count
    known: float = float("inf")  # ms for which whoever does the step has known the plan as it stands
    clear: bool = True  # no member has died or started so lately that what its process sent may run unseen


# What operators ask for.


def named(what: Iterable[str], engines: Mapping[str, Engine]) -> tuple[Engine, ...]:
    """The engines of ids, zones and patterns with `*`, zone by zone. Raises NobodyNamed."""
    found: dict[str, Engine] = {}
    for one in what:
        some = [e for e in engines.values() if one in (e.name, e.zone) or "*" in one and fnmatchcase(e.name, one)]
        if not some:
            raise NobodyNamed(one)
        found |= {e.name: e for e in some}
    return tuple(sorted(found.values(), key=lambda e: (e.zone, e.name)))


def request(
    plan: Plan,
    ident: str,
    what: Iterable[str],
    reason: str,
    window: int,
    engines: Mapping[str, Engine],
    settings: MaintenanceSettings,
) -> Plan:
    """A new job. One that is there under the same name already is the same request, made again. Raises
    MaintenanceError."""
    if any(j.ident == ident for j in plan.jobs):
        return plan
    some = named(what, engines)
    for e in some:
        for j in plan.jobs:
            if any(m.name == e.name and m.stage not in ENDED for m in j.machines):
                raise AlreadyPlanned(e.name, j.ident)
    job = Job(ident, reason, window, tuple(Machine(e.name, e.zone) for e in some))
    ended = [j.ident for j in plan.jobs if not j.live]
    dropped = set(ended[: max(0, len(ended) + 1 - settings.retained_jobs)])
    return replace(plan, jobs=(*(j for j in plan.jobs if j.ident not in dropped), job))


def cancel(plan: Plan, ident: str, wall: int) -> Plan:
    """At once: what waits or drains takes work again, what is out is told to come back by being in no plan. One that is
    cancelled already is the same word again: a proposal that is tried anew may find itself done. Raises NoSuchJob."""
    if any(j.ident == ident and not j.live and any(m.stage is Stage.CANCELLED for m in j.machines) for j in plan.jobs):
        return plan
    if not any(j.ident == ident and j.live for j in plan.jobs):
        raise NoSuchJob(ident)
    step = plan.steps + 1
    made = _each(
        plan,
        lambda j, m: (
            replace(m, stage=Stage.CANCELLED, at=wall, step=step) if j.ident == ident and m.stage not in ENDED else m
        ),
    )
    return replace(made, steps=step)


def back(plan: Plan, name: str, wall: int) -> Plan:
    """An operator's word that the work on a machine is done, also said again. Raises NotOut."""
    m = plan.machine(name)
    if m is not None and m.stage is Stage.WARMING:
        return plan
    if m is None or m.stage is not Stage.OUT:
        raise NotOut(name)
    return _move(plan, m, Stage.WARMING, wall)


# What follows by itself.


def advance(plan: Plan, facts: Facts, settings: MaintenanceSettings) -> Plan:
    """The plan after the next step, or the same plan: at most one machine moves, so that a step is done once or not."""
    for j in plan.jobs:
        for m in j.machines:
            if m.stage in HELD and (moved := _onward(plan, m, facts, settings)) is not plan:
                return moved
    waiting = [m for j in plan.jobs for m in j.machines if m.stage is Stage.WAITING]
    if not waiting:
        return _held(plan, "")
    reasons = []
    for m in waiting:
        why = hindered(plan, m, facts, settings)
        if not why:
            return _held(_move(plan, m, Stage.DRAINING, facts.wall, facts.engines[m.name].boot), "")
        reasons.append(why)
    return _held(plan, reasons[0])


def hindered(plan: Plan, m: Machine, facts: Facts, settings: MaintenanceSettings) -> str:
    """Why a machine may not go now; "" where it may. Of several reasons the first that holds."""
    e = facts.engines.get(m.name)
    if e is None:
        return f"{m.name} is on no list"
    if not facts.told:
        return "not every member has the plan yet, or its word is missing"
    if facts.unwell:
        return f"zone {min(facts.unwell)} is not well"
    held = [x for j in plan.jobs for x in j.machines if x.stage in HELD]
    near = [x for x in held if x.zone == m.zone]
    if len(held) >= settings.max_unavailable:
        return f"{len(held)} of {settings.max_unavailable} machines are out or warming: {held[0].name}"
    if len(near) >= settings.max_unavailable_per_zone:
        most = settings.max_unavailable_per_zone
        return f"{len(near)} of {most} machines of zone {m.zone} are out or warming: {near[0].name}"
    if m.zone == MANAGERS:
        return "" if e.up else f"{m.name} is not heard"
    gone = {x.name for x in held} | {m.name}
    zone = [x for x in facts.engines.values() if x.zone == m.zone]
    whole = sum(x.cores for x in zone)
    out = sum(x.cores for x in zone if x.name in gone)
    most_share = settings.max_unavailable_zone_fraction
    if out > most_share * whole + 1e-9:
        return f"{out:g} of {whole:g} cores of zone {m.zone} would be out; {100 * most_share:g}% may be"
    left = sum(x.cores for x in zone if x.up and x.name not in gone)
    load = facts.load.get(m.zone, 0.0)
    if load > settings.max_utilization * left:
        return f"zone {m.zone} would have {left:g} cores left, too few for its load"
    rest = sum(x.cores for x in facts.engines.values() if x.up and x.name not in gone)
    if sum(facts.load.values()) > settings.max_utilization * rest:
        return f"the fleet would have {rest:g} cores left, too few for its load"
    return ""


def overdue(plan: Plan, wall: int) -> list[Machine]:
    """Machines that are out for longer than their window: they are waited for, and count as out."""
    return [m for j in plan.jobs for m in j.machines if m.stage is Stage.OUT and wall - m.at > j.window]


def _onward(plan: Plan, m: Machine, facts: Facts, settings: MaintenanceSettings) -> Plan:
    """The next stage of a machine that is under way, if it has come to that."""
    e = facts.engines.get(m.name)
    age = facts.wall - m.at
    if m.stage is Stage.DRAINING:
        idle = facts.told and facts.clear and (e is None or e.busy == 0)
        # While nobody knew of it nobody kept work from there.
        if idle or min(age, facts.known) >= settings.drain_timeout_ms:
            return _move(plan, m, Stage.OUT, facts.wall)
    elif m.stage is Stage.OUT:
        if not m.gone and (e is None or e.went):  # it went down for its work, maybe only for a moment
            return _each(plan, lambda j, x: replace(x, gone=True) if x is m else x)
        if e is not None and e.up and (m.gone or e.boot != m.boot):
            return _move(plan, m, Stage.WARMING, facts.wall)
    elif m.stage is Stage.WARMING and age >= _warm(m, settings) and e is not None and e.up:
        return _move(plan, m, Stage.DONE, facts.wall)
    return plan


def _warm(m: Machine, settings: MaintenanceSettings) -> float:
    """How long a machine warms. With one that votes on no records yet the next would leave too few voters."""
    return max(settings.warm_up_ms, settings.manager_voting_delay_ms) if m.zone == MANAGERS else settings.warm_up_ms


def _move(plan: Plan, m: Machine, stage: Stage, wall: int, boot: int | None = None) -> Plan:
    step = plan.steps + 1
    to = replace(m, stage=stage, at=wall, gone=False, step=step, boot=m.boot if boot is None else boot)
    moved = _each(plan, lambda j, x: to if x is m else x)
    return replace(moved, steps=step)


def _each(plan: Plan, change: Callable[[Job, Machine], Machine]) -> Plan:
    return replace(plan, jobs=tuple(replace(j, machines=tuple(change(j, m) for m in j.machines)) for j in plan.jobs))


def _held(plan: Plan, why: str) -> Plan:
    return plan if plan.hold == why else replace(plan, hold=why)
