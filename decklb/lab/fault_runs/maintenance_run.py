"""Fault runs of maintenance between real processes.

Machines are taken out by the fleet's plan while callers send, its driver is killed, members are cut off, zones lost. On
loopback, bounded; see docs/faults.md.

The rig does the work that operators would: once the plan says that an engine is out it kills and restarts it, and it
starts a manager again that has ended at the plan's word. Callers whose manager ends ask another, as clients do.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from decklb.lab.checks.zone_verdict import CallRecord
from decklb.lab.fault_runs.handoff_run import Process
from decklb.lab.fault_runs.isolation import run_side_by_side
from decklb.lab.fault_runs.zone_run import REGION, Callers, Zonal
from decklb.lab.faults.network_proxy import MAX_LATE_MS
from decklb.management.control_client import ControlError, query

CASES = ("rolling", "driver", "partition", "never-back", "overlapping", "zone", "managers", "named", "all-killed")
RATE = 12.0  # requests a second of each zone's callers: 2 of 8 cores that a zone has left with one engine out
LONGEST = 90.0  # seconds
DRAIN, WARM, WORK = 2000.0, 1500.0, 0.6  # ms, ms, seconds of work on a machine
MOST = 1
SETTINGS = (
    f'<maintenance members="5" most="{MOST}" most-zone="1" most-share="50%" drain="{DRAIN:g}ms" '
    f'warm="{WARM:g}ms" tick="100ms" patience="300ms" fresh="1500ms" absent="4s"{{data}}/>\n  '
)
HANDOFF = (
    '<handoff members="5" copies="3" lease="600ms" beat="100ms" patience="300ms" resend="60ms" stagger="250ms" '
    'longest="4s" linger="1500ms" slack="500ms"/>\n  '
)
LINE = "maintenance-step "


@dataclass(frozen=True, slots=True)
class Step:
    """A manager's log line on a machine of the plan."""

    manager: str
    job: str
    machine: str
    stage: str
    number: int
    at: float


@dataclass(slots=True)
class Told:
    """What one run showed."""

    case: str
    seed: int
    requests: int = 0
    errors: int = 0
    lost: int = 0
    over_budget: int = 0  # moments with more machines out than the budget
    doubled: list[str] = field(default_factory=list)  # steps done twice, or left out
    unsafe: int = 0  # machines on which work began while requests still ran there
    ended: bool = False  # the plan came to the end that its case allows
    seconds: float = 0.0  # from the request to the end of the plan
    overlapping: int = 0
    again: int = 0  # requests that ran more than once
    faults: int = 0
    late_ms: float = 0.0  # of the rig or a manager that nobody stopped, at worst
    seen: list[str] = field(default_factory=list)  # what the case asks to be seen

    @property
    def clean(self) -> bool:
        """Whether the run broke no rule and came to its end."""
        return self.ended and not (
            self.lost
            or self.errors
            or self.over_budget
            or self.doubled
            or self.unsafe
            or self.overlapping
            or self.faults
        )


class Anywhere(Callers):
    """Callers that go to another manager when theirs does not answer, or ends."""

    async def _one(self, sent: CallRecord) -> None:
        begun = time.monotonic()
        names = [sent.manager, *(n for n in self.fleet.names if n != sent.manager)]
        while not sent.answer and time.monotonic() - begun < 4.0:
            for name in names:
                sent.manager = name
                if name not in self.idle:
                    self.idle[name] = []
                with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
                    await asyncio.wait_for(self._ask(sent), 4.5 - (time.monotonic() - begun))
                if sent.answer in ("53000", "53300", "57P01"):  # turned away: asked again elsewhere, as it says
                    sent.answer = ""
                if sent.answer:
                    return
                for session in self.idle[name]:  # what is left of its sessions may be of a process that has ended
                    session.writer.close()
                self.idle[name] = []
            await asyncio.sleep(0.05)


class Upkeep(Zonal):
    """The fleet of the locality's runs, with a plan."""

    def __init__(self, case: str, seed: int, folder: str, index: int) -> None:
        super().__init__("common", seed, folder, index)
        self.named, self.kept = case == "named", case == "all-killed"
        self.working: set[str] = set()  # engines under work, by the rig
        self.frozen: set[str] = set()  # engines that the rig does not bring back
        self.over = 0
        self.unsafe = 0
        self.tasks: list[asyncio.Future[None]] = []  # the work of operators
        self.ever: list[tuple[str, Process]] = []  # all processes of managers

    def more(self, name: str) -> str:
        """Elements of a manager's settings beside those of all."""
        data = f' data="{name}.plan"' if self.kept else ""
        return SETTINGS.format(data=data) + (HANDOFF if self.named else "")

    async def up(self, name: str) -> None:
        """Start a manager, and remember its process."""
        await super().up(name)
        self.ever.append((name, self.managers[name]))

    async def ask(self, name: str, what: str, **more: Any) -> Any:
        """A question or an order to one manager."""
        return await asyncio.to_thread(lambda: query(str(self.folder / f"{name}.sock"), what, **more))

    async def plan(self) -> dict[str, Any]:
        """As the manager knows it that has come furthest."""
        best: dict[str, Any] = {"steps": -1, "jobs": []}
        for name in self.names:
            with contextlib.suppress(ControlError):
                found = await self.ask(name, "plan")
                if (found["steps"], len(found["jobs"])) > (best["steps"], len(best["jobs"])):
                    best = found
        return best

    async def remembering(self) -> None:
        """Wait until all members know the plan and one another."""
        end = time.monotonic() + 20.0
        while time.monotonic() < end:
            with contextlib.suppress(ControlError):
                rows = [await self.ask(n, "plan") for n in self.names]
                if all(r["remembers"] and r["told"] for r in rows):
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the members do not remember the plan")

    async def work(self) -> None:
        """What operators do: an engine that is out goes down and comes back; a manager that has ended starts again."""
        while True:
            plan = await self.plan()
            out = [m for j in plan["jobs"] for m in j["machines"] if m["stage"] == "out"]
            for m in out:
                name = m["machine"]
                if name in self.working or name in self.frozen or name.startswith("manager:"):
                    continue
                self.working.add(name)
                self.over += len(self.working) > MOST
                self.tasks.append(asyncio.ensure_future(self._work_on(name)))
            for name, p in self.managers.items():
                if p.code() == 0:  # ended by itself; those that were killed are the case's own to start
                    await self.up(name)
            await asyncio.sleep(0.1)

    async def _work_on(self, name: str) -> None:
        e = next(x for x in self.engines if x.name == name)
        self.unsafe += self.running(name)
        await e.kill()
        await asyncio.sleep(WORK)
        await self.serve(e, self.ports_of[name])
        while any(
            m["stage"] == "out" for j in (await self.plan())["jobs"] for m in j["machines"] if m["machine"] == name
        ):
            await asyncio.sleep(0.1)
        self.working.discard(name)

    def running(self, name: str) -> int:
        """Statements that run at an engine now, by its own log."""
        lines = [x for x in self.witnessed() if x.engine == name]
        return len({x.run for x in lines if x.what == "start"} - {x.run for x in lines if x.what != "start"})

    def steps(self, start: float) -> list[Step]:
        """All managers' log lines on the plan's steps, by time; those of processes that ended too."""
        made = []
        for name, p in self.ever:
            for line, at in zip(p.lines, p.stamps, strict=False):
                if LINE in line:
                    f = dict(x.split("=", 1) for x in line.split(LINE, 1)[1].split())
                    made.append(Step(name, f["job"], f["machine"], f["stage"], int(f["step"]), at - start))
        return sorted(made, key=lambda s: s.at)


ORDER = ("draining", "out", "warming", "done")


def doubled(steps: list[Step]) -> list[str]:
    """Steps that the plan numbers twice, stages out of order, and stages left out of machines that came to the end."""
    found = []
    numbers: dict[tuple[str, str], dict[str, set[int]]] = {}
    for s in steps:
        if s.stage == "waiting":
            continue
        numbers.setdefault((s.job, s.machine), {}).setdefault(s.stage, set()).add(s.number)
    for (job, machine), stages in numbers.items():
        found += [f"{job} {machine}: {stage} by steps {sorted(n)}" for stage, n in stages.items() if len(n) > 1]
        known = [min(stages[x]) for x in ORDER if x in stages]
        if known != sorted(known) or "done" in stages and len(known) < len(ORDER):
            found.append(f"{job} {machine}: {stages}")
    return found


def budget(steps: list[Step]) -> int:
    """Moments with more machines out or warming than the budget, in the line of steps that the numbers make."""
    line = {(s.number, s.machine): s.stage for s in steps if s.stage != "waiting"}
    held: set[str] = set()
    worst = 0
    for (_, machine), stage in sorted(line.items()):
        (held.discard if stage in ("done", "cancelled") else held.add)(machine)
        worst += len(held) > MOST
    return worst


async def play(case: str, seed: int, index: int, logs: str = "") -> Told:
    """One run."""
    rng, told = random.Random(f"{case}/{seed}"), Told(case, seed)
    with tempfile.TemporaryDirectory() as folder:
        fleet = Upkeep(case, seed, folder, index)
        try:
            await fleet.start()
            await fleet.settled()
            await fleet.remembering()
            if fleet.named:  # no member votes on records before that
                await fleet.remember()
            start, fleet.rig.late_ms = time.monotonic(), 0.0
            callers = [Anywhere(fleet, z, random.Random(f"{case}/{seed}/{z}"), start, RATE, LONGEST) for z in REGION]
            loads = [asyncio.ensure_future(c.run()) for c in callers]
            worker = asyncio.ensure_future(fleet.work())
            fleet.tasks.append(worker)
            await asyncio.sleep(1.5)  # the load is known
            try:
                await asyncio.wait_for(SCRIPTS[case](fleet, rng, told), LONGEST - 10.0)
                told.ended = True
            except TimeoutError:
                told.seen.append(f"no end: {await fleet.plan()}")
            told.seconds = round(time.monotonic() - start - 1.5, 1)
            for c in callers:
                c.end = time.monotonic() - start  # no more requests; what is open is answered
            sent = [s for load in loads for s in await load]
            told.seen += [f"the rig failed: {t.exception()!r}" for t in fleet.tasks if t.done() and t.exception()]
            worker.cancel()
            told.requests, told.lost = len(sent), sum(s.answer == "" for s in sent)
            told.seen += [f"lost: {s.key} sent at {s.at:.2f} s, last to {s.manager}" for s in sent if not s.answer]
            told.errors = sum(s.answer not in ("served", "") for s in sent)
            steps = fleet.steps(start)
            told.doubled, told.over_budget = doubled(steps), budget(steps) + fleet.over
            told.unsafe, told.late_ms = fleet.unsafe, fleet.late(start)
            told.overlapping, told.again = _overlapping(fleet)
            told.faults = sum(fleet.logged(x) for x in ("Traceback", "policy-failed", "command failed"))
            return told
        finally:
            if logs:  # also of a run that came to no end
                await asyncio.to_thread(fleet.keep_logs, Path(logs) / f"{case}-{seed}")
            await fleet.stop()


def _overlapping(fleet: Upkeep) -> tuple[int, int]:
    """Requests that had two runs out at one moment, and those that ran more than once.

    Without a name a client whose manager was killed asks another, and the engine goes on with what nobody cancelled:
    that is another request.
    """
    runs: dict[tuple[str, int], dict[tuple[str, int], list[float]]] = {}
    for x in fleet.witnessed():
        runs.setdefault((x.key, 0 if fleet.named else x.manager), {}).setdefault((x.engine, x.run), []).append(x.at)
    found = 0
    for by_run in runs.values():
        spans = sorted((t[0], t[-1]) for t in by_run.values() if len(t) > 1)
        found += any(b[0] < a[1] for a, b in zip(spans, spans[1:], strict=False))
    return found, sum(len(by_run) > 1 for by_run in runs.values())


# The cases: each ends when its plan has.


async def _request(fleet: Upkeep, at: str, job: str, *machines: str, window: float = 30_000.0) -> None:
    await fleet.ask(at, "plan-request", job=job, machines=list(machines), reason="the rig", window=window)


async def _until(fleet: Upkeep, holds: Callable[[dict[str, Any]], Any]) -> dict[str, Any]:
    while True:
        plan = await fleet.plan()
        if holds(plan):
            return plan
        await asyncio.sleep(0.1)


def _stages(plan: dict[str, Any], job: str = "") -> list[str]:
    return [m["stage"] for j in plan["jobs"] if not job or j["job"] == job for m in j["machines"]]


def _at(stage: str, plan: dict[str, Any]) -> bool:
    return stage in _stages(plan) or _all_done(plan)


def _all_done(plan: dict[str, Any]) -> bool:
    return bool(plan["jobs"]) and set(_stages(plan)) == {"done"}


async def _rolling(fleet: Upkeep, rng: random.Random, _told: Told) -> None:
    await _request(fleet, rng.choice(fleet.names), "upgrade", "z0")
    await _until(fleet, _all_done)


async def _driver(fleet: Upkeep, rng: random.Random, told: Told) -> None:
    """Whoever does the steps dies in the middle of one, and comes back later."""
    await _request(fleet, rng.choice(fleet.names), "upgrade", "z0", "z1")
    for stage in rng.sample(("draining", "out", "warming"), 2):
        plan = await _until(fleet, partial(_at, stage))
        if _all_done(plan):
            break
        name = plan["driver"]
        told.seen.append(f"{name} killed while {stage}")
        await fleet.managers[name].kill()
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        await fleet.up(name)
    await _until(fleet, _all_done)


async def _partition(fleet: Upkeep, rng: random.Random, told: Told) -> None:
    """A member is parted from the others while a machine drains, the driver in half of the runs."""
    await _request(fleet, rng.choice(fleet.names), "upgrade", "z0")
    plan = await _until(fleet, lambda p: "draining" in _stages(p) or "out" in _stages(p))
    name = plan["driver"] if rng.random() < 0.5 else rng.choice(fleet.names)
    told.seen.append(f"{name} parted{', the driver' if name == plan['driver'] else ''}")
    fleet.rig.partition(name)
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    fleet.rig.heal()
    await _until(fleet, _all_done)


async def _never_back(fleet: Upkeep, rng: random.Random, told: Told) -> None:
    """A machine does not come back: the plan waits, says why, and goes on once that job is cancelled."""
    fleet.frozen.add("e0")
    await _request(fleet, rng.choice(fleet.names), "broken", "e0", window=1000.0)
    await _until(fleet, lambda p: "out" in _stages(p))
    await next(e for e in fleet.engines if e.name == "e0").kill()
    await _request(fleet, rng.choice(fleet.names), "next", "e2")
    plan = await _until(
        fleet,
        lambda p: "out or warming: e0" in p["hold"] and any(m["overdue"] for j in p["jobs"] for m in j["machines"]),
    )
    await asyncio.sleep(2.0)
    if set(_stages(await fleet.plan(), "next")) != {"waiting"}:
        told.doubled.append("the next machine went while the first had not come back")
    told.seen.append(plan["hold"])
    e = next(e for e in fleet.engines if e.name == "e0")
    await fleet.ask(rng.choice(fleet.names), "plan-cancel", job="broken")
    await fleet.serve(e, fleet.ports_of["e0"])  # given up by its operators, and then back after all
    await _until(fleet, lambda p: set(_stages(p, "next")) == {"done"})


async def _overlapping_jobs(fleet: Upkeep, rng: random.Random, told: Told) -> None:
    """Two operators ask two managers for overlapping sets at one moment: one is told so."""
    a, b = rng.sample(fleet.names, 2)
    found = await asyncio.gather(
        _request(fleet, a, "one", "z0", "e2"), _request(fleet, b, "two", "e1", "z1"), return_exceptions=True
    )
    refused = [str(x) for x in found if isinstance(x, ControlError)]
    told.seen += refused
    if len(refused) != 1 or "already" not in refused[0]:
        told.doubled.append(f"{len(refused)} of two overlapping jobs refused")
    await _until(fleet, _all_done)


async def _zone(fleet: Upkeep, rng: random.Random, told: Told) -> None:
    """A zone is lost while the plan runs in another: it pauses until that zone is well again."""
    await _request(fleet, rng.choice(fleet.names), "upgrade", "z1")
    await _until(fleet, lambda p: "warming" in _stages(p) or "done" in _stages(p))
    await fleet.lose("z0")
    plan = await _until(fleet, lambda p: "zone z0 is not well" in p["hold"] or _all_done(p))
    if _all_done(plan):
        told.doubled.append("the plan went on while a zone was lost")
    told.seen.append(plan["hold"])
    before = _stages(plan)
    await asyncio.sleep(3.0)
    if "waiting" not in _stages(await fleet.plan()):
        told.doubled.append(f"a machine went while a zone was lost: {before} -> {_stages(await fleet.plan())}")
    await fleet.give_back("z0")
    await _until(fleet, _all_done)


async def _managers(fleet: Upkeep, rng: random.Random, told: Told) -> None:
    """All managers are restarted one at a time, each at its own word."""
    before = {n: p.child.pid for n, p in fleet.managers.items()}
    await _request(fleet, rng.choice(fleet.names), "restart", *(f"manager:{n}" for n in fleet.names))
    await _until(fleet, _all_done)
    if same := [n for n, p in fleet.managers.items() if p.child.pid == before[n]]:
        told.doubled.append(f"not restarted: {same}")


async def _all_killed(fleet: Upkeep, rng: random.Random, told: Told) -> None:
    """All managers die at one moment while the plan runs, and start again: it goes on from what they kept on disk."""
    await _request(fleet, rng.choice(fleet.names), "upgrade", "z0")
    stage = rng.choice(("draining", "out", "warming"))
    plan = await _until(fleet, partial(_at, stage))
    told.seen.append(f"all killed while {stage}, after step {plan['steps']}")
    await asyncio.gather(*(p.kill() for p in fleet.managers.values()))
    await asyncio.gather(*(fleet.up(n) for n in fleet.names))
    await _until(fleet, _all_done)


SCRIPTS = {
    "rolling": _rolling,
    "driver": _driver,
    "partition": _partition,
    "never-back": _never_back,
    "overlapping": _overlapping_jobs,
    "zone": _zone,
    "managers": _managers,
    "named": _managers,
    "all-killed": _all_killed,
}


async def campaign(
    cases: list[str], seeds: list[int], fleets: int, told: Callable[[Told], None], logs: str = ""
) -> list[Told]:
    """All cases and seeds, a few fleets side by side, each in a process of its own."""
    plays = [{"case": c, "seed": s, "logs": logs} for s in seeds for c in cases]
    return await run_side_by_side(
        f"{__name__}:isolated_run", Told, plays, fleets, told, lambda run: run.clean or run.late_ms <= MAX_LATE_MS
    )


async def isolated_run(case: str, seed: int, index: int, logs: str) -> AsyncIterator[Told]:
    """One run, for `run_in_subprocess`."""
    yield await play(case, seed, index, logs)
