"""Fault runs of maintenance between real processes.

The maintenance plan takes machines out of service one by one while clients send requests. Meanwhile the plan's driver
is killed, members are partitioned or zones are lost. Everything runs on loopback, with bounded time; see
docs/faults.md.

The run also does the operators' work: once an engine is out according to the plan, it kills and restarts that engine,
and it restarts managers that ended because of the plan. Clients whose manager ends connect to another one.
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
from decklb.lab.fault_runs.fleet_process import Process
from decklb.lab.fault_runs.isolation import run_side_by_side
from decklb.lab.fault_runs.zone_run import REGION_BY_ZONE, ZoneClients, ZoneFleet
from decklb.lab.faults.network_proxy import MAX_LATE_MS
from decklb.management.control_client import ControlError, query

CASES = ("rolling", "driver", "partition", "never-back", "overlapping", "zone", "managers", "named", "all-killed")
RATE_PER_S = 12.0  # requests of each zone's clients: they need 2 of the 8 cores that a zone has with one engine out
MAX_DURATION_S = 90.0
# MACHINE_DOWNTIME_S is the time from the kill of an engine to its restart.
DRAIN_MS, WARM_UP_MS, MACHINE_DOWNTIME_S = 2000.0, 1500.0, 0.6
MAX_UNAVAILABLE = 1  # machines that may be draining, out or warming at a time
MAINTENANCE_SETTINGS = (
    f'<maintenance members="5" most="{MAX_UNAVAILABLE}" most-zone="1" most-share="50%" drain="{DRAIN_MS:g}ms" '
    f'warm="{WARM_UP_MS:g}ms" tick="100ms" patience="300ms" fresh="1500ms" absent="4s"{{data}}/>\n  '
)
HANDOFF_SETTINGS = (
    '<handoff members="5" copies="3" lease="600ms" beat="100ms" patience="300ms" resend="60ms" stagger="250ms" '
    'longest="4s" linger="1500ms" slack="500ms"/>\n  '
)
STEP_LOG_TEXT = "maintenance-step "


@dataclass(frozen=True, slots=True)
class Step:
    """A log line of a manager: the plan has taken a machine to another stage."""

    manager: str
    job: str
    machine: str
    stage: str
    number: int
    at_s: float


@dataclass(slots=True)
class MaintenanceResult:
    """The result of one run. The field names are keys of the JSON lines that a subprocess prints."""

    case: str
    seed: int
    requests: int = 0
    errors: int = 0
    lost: int = 0  # requests without an answer
    over_budget: int = 0  # times at which more machines were unavailable than the budget allows
    doubled: list[str] = field(default_factory=list)  # wrong plan steps and broken rules of the case
    unsafe: int = 0  # statements that still ran on engines when these were killed for maintenance
    ended: bool = False  # the plan completed as its case requires
    seconds: float = 0.0  # from the request of the job to the end of the plan
    overlapping: int = 0  # requests with executions that overlapped in time
    again: int = 0  # requests that were executed more than once
    faults: int = 0  # log lines on unexpected failures of managers
    late_ms: float = 0.0  # by which the network proxy, or a manager that nobody stopped, was late at worst
    seen: list[str] = field(default_factory=list)  # notes on the course of the run

    @property
    def clean(self) -> bool:
        """Whether the run broke no rule and the plan completed."""
        return self.ended and not (
            self.lost
            or self.errors
            or self.over_budget
            or self.doubled
            or self.unsafe
            or self.overlapping
            or self.faults
        )


class FailoverClients(ZoneClients):
    """Clients that go to another manager if theirs does not answer or ends."""

    async def _send(self, call: CallRecord) -> None:
        start_s = time.monotonic()
        names = [call.manager, *(n for n in self.fleet.names if n != call.manager)]
        while not call.answer and time.monotonic() - start_s < 4.0:
            for name in names:
                call.manager = name
                if name not in self.idle_sessions:
                    self.idle_sessions[name] = []
                with contextlib.suppress(TimeoutError, OSError, asyncio.IncompleteReadError):
                    await asyncio.wait_for(self._execute(call), 4.5 - (time.monotonic() - start_s))
                if call.answer in ("53000", "53300", "57P01"):  # rejected, with the advice to try another manager
                    call.answer = ""
                if call.answer:
                    return
                for session in self.idle_sessions[name]:  # these may belong to a process that has ended
                    session.writer.close()
                self.idle_sessions[name] = []
            await asyncio.sleep(0.05)


class MaintenanceFleet(ZoneFleet):
    """The fleet of the zone fault runs, with a maintenance plan."""

    def __init__(self, case: str, seed: int, folder: str, index: int) -> None:
        super().__init__("common", seed, folder, index)
        self.sends_keys, self.keeps_plan_on_disk = case == "named", case == "all-killed"
        self.engines_being_restarted: set[str] = set()  # by the simulated operators
        self.engines_not_restarted: set[str] = set()  # that the simulated operators leave alone
        self.over_budget = 0
        self.unsafe_kills = 0
        self.tasks: list[asyncio.Future[None]] = []  # of the simulated operators
        self.manager_processes: list[tuple[str, Process]] = []  # all that were ever started, with their managers

    def extra_elements(self, name: str) -> str:
        """Return the elements of the settings for maintenance and, in the case `named`, for the handoff."""
        data = f' data="{name}.plan"' if self.keeps_plan_on_disk else ""
        return MAINTENANCE_SETTINGS.format(data=data) + (HANDOFF_SETTINGS if self.sends_keys else "")

    async def start_manager(self, name: str) -> None:
        """Start or restart a manager and record its process."""
        await super().start_manager(name)
        self.manager_processes.append((name, self.managers[name]))

    async def query_manager(self, name: str, command: str, **arguments: Any) -> Any:
        """Send a query or a command to the control socket of a manager."""
        return await asyncio.to_thread(lambda: query(str(self.folder / f"{name}.sock"), command, **arguments))

    async def latest_plan(self) -> dict[str, Any]:
        """Return the plan of the manager that knows most of its steps."""
        latest: dict[str, Any] = {"steps": -1, "jobs": []}
        for name in self.names:
            with contextlib.suppress(ControlError):
                plan = await self.query_manager(name, "plan")
                if (plan["steps"], len(plan["jobs"])) > (latest["steps"], len(latest["jobs"])):
                    latest = plan
        return latest

    async def wait_until_plan_known(self) -> None:
        """Wait until all members know the plan and have reports of all others.

        Raises:
            RuntimeError: They did not within 20 s.
        """
        end_s = time.monotonic() + 20.0
        while time.monotonic() < end_s:
            with contextlib.suppress(ControlError):
                plans = [await self.query_manager(n, "plan") for n in self.names]
                if all(plan["remembers"] and plan["told"] for plan in plans):
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("not all members had the plan and reports of all others within 20 s")

    async def simulate_operators(self) -> None:
        """Restart each engine that is out, and each manager that has ended by itself, until cancelled."""
        while True:
            plan = await self.latest_plan()
            machines_out = [m for j in plan["jobs"] for m in j["machines"] if m["stage"] == "out"]
            for machine in machines_out:
                name = machine["machine"]
                if (
                    name in self.engines_being_restarted
                    or name in self.engines_not_restarted
                    or name.startswith("manager:")
                ):
                    continue
                self.engines_being_restarted.add(name)
                self.over_budget += len(self.engines_being_restarted) > MAX_UNAVAILABLE
                self.tasks.append(asyncio.ensure_future(self._restart_engine(name)))
            for name, process in self.managers.items():
                if process.exit_status() == 0:  # ended by itself; the script of the case restarts those that it killed
                    await self.start_manager(name)
            await asyncio.sleep(0.1)

    async def _restart_engine(self, name: str) -> None:
        engine = next(x for x in self.engines if x.name == name)
        self.unsafe_kills += self.running_statements(name)
        await engine.kill()
        await asyncio.sleep(MACHINE_DOWNTIME_S)
        await self.start_engine(engine, self.ports_by_engine[name])
        while any(
            m["stage"] == "out"
            for j in (await self.latest_plan())["jobs"]
            for m in j["machines"]
            if m["machine"] == name
        ):
            await asyncio.sleep(0.1)
        self.engines_being_restarted.discard(name)

    def running_statements(self, name: str) -> int:
        """Count the statements that run at an engine now, by its own log."""
        events = [x for x in self.execution_events() if x.engine == name]
        return len({x.run for x in events if x.what == "start"} - {x.run for x in events if x.what != "start"})

    def logged_steps(self, load_start_s: float) -> list[Step]:
        """Return the plan's steps as all managers logged them, ended processes included, ordered by time."""
        steps = []
        for name, process in self.manager_processes:
            for line, at_s in zip(process.log_lines, process.log_times_s, strict=False):
                if STEP_LOG_TEXT in line:
                    fields = dict(x.split("=", 1) for x in line.split(STEP_LOG_TEXT, 1)[1].split())
                    steps.append(
                        Step(
                            name,
                            fields["job"],
                            fields["machine"],
                            fields["stage"],
                            int(fields["step"]),
                            at_s - load_start_s,
                        )
                    )
        return sorted(steps, key=lambda s: s.at_s)


STAGE_ORDER = ("draining", "out", "warming", "done")


def step_violations(steps: list[Step]) -> list[str]:
    """Describe the steps that broke a rule.

    A stage must not be reached by two different steps, stages must follow in their order, and a machine that is done
    must have passed all of them.
    """
    violations = []
    step_numbers: dict[tuple[str, str], dict[str, set[int]]] = {}
    for step in steps:
        if step.stage == "waiting":
            continue
        step_numbers.setdefault((step.job, step.machine), {}).setdefault(step.stage, set()).add(step.number)
    for (job, machine), by_stage in step_numbers.items():
        violations += [f"{job} {machine}: {stage} by steps {sorted(n)}" for stage, n in by_stage.items() if len(n) > 1]
        in_stage_order = [min(by_stage[x]) for x in STAGE_ORDER if x in by_stage]
        if in_stage_order != sorted(in_stage_order) or "done" in by_stage and len(in_stage_order) < len(STAGE_ORDER):
            violations.append(f"{job} {machine}: {by_stage}")
    return violations


def count_budget_violations(steps: list[Step]) -> int:
    """Count the steps, in order of their numbers, after which more machines were unavailable than the budget allows."""
    stage_by_step = {(s.number, s.machine): s.stage for s in steps if s.stage != "waiting"}
    unavailable: set[str] = set()
    violations = 0
    for (_, machine), stage in sorted(stage_by_step.items()):
        (unavailable.discard if stage in ("done", "cancelled") else unavailable.add)(machine)
        violations += len(unavailable) > MAX_UNAVAILABLE
    return violations


async def run_case(case: str, seed: int, index: int, log_folder: str = "") -> MaintenanceResult:
    """Start a fleet, run one case under load and return the result.

    Args:
        case: One of CASES.
        seed: Of the case's choices and of the load.
        index: Number of the fleet among those that run side by side.
        log_folder: Folder for the logs, "" for none.
    """
    rng, result = random.Random(f"{case}/{seed}"), MaintenanceResult(case, seed)
    with tempfile.TemporaryDirectory() as folder:
        fleet = MaintenanceFleet(case, seed, folder, index)
        try:
            await fleet.start()
            await fleet.wait_until_settled()
            await fleet.wait_until_plan_known()
            if fleet.sends_keys:  # members do not vote on handoff records earlier
                await fleet.wait_until_members_vote()
            start_s, fleet.rig.late_ms = time.monotonic(), 0.0
            clients = [
                FailoverClients(fleet, z, random.Random(f"{case}/{seed}/{z}"), start_s, RATE_PER_S, MAX_DURATION_S)
                for z in REGION_BY_ZONE
            ]
            loads = [asyncio.ensure_future(c.run()) for c in clients]
            operators = asyncio.ensure_future(fleet.simulate_operators())
            fleet.tasks.append(operators)
            await asyncio.sleep(1.5)  # until the members know the load
            try:
                await asyncio.wait_for(CASE_SCRIPTS[case](fleet, rng, result), MAX_DURATION_S - 10.0)
                result.ended = True
            except TimeoutError:
                result.seen.append(f"the plan did not complete: {await fleet.latest_plan()}")
            result.seconds = round(time.monotonic() - start_s - 1.5, 1)
            for c in clients:
                c.load_end_s = time.monotonic() - start_s  # no new requests; those in flight are still answered
            calls = [call for load in loads for call in await load]
            result.seen += [
                f"a task of the simulated operators failed: {t.exception()!r}"
                for t in fleet.tasks
                if t.done() and t.exception()
            ]
            operators.cancel()
            result.requests, result.lost = len(calls), sum(call.answer == "" for call in calls)
            result.seen += [
                f"lost: {call.key} sent at {call.at:.2f} s, last to {call.manager}" for call in calls if not call.answer
            ]
            result.errors = sum(call.answer not in ("served", "") for call in calls)
            steps = fleet.logged_steps(start_s)
            result.doubled, result.over_budget = (
                step_violations(steps),
                count_budget_violations(steps) + fleet.over_budget,
            )
            result.unsafe, result.late_ms = fleet.unsafe_kills, fleet.max_lateness_ms(start_s)
            result.overlapping, result.again = _count_repeated_executions(fleet)
            result.faults = sum(fleet.count_log_lines(x) for x in ("Traceback", "policy-failed", "command failed"))
            return result
        finally:
            if log_folder:  # also for runs that did not complete
                await asyncio.to_thread(fleet.save_logs, Path(log_folder) / f"{case}-{seed}")
            await fleet.stop()


def _count_repeated_executions(fleet: MaintenanceFleet) -> tuple[int, int]:
    """Return the number of requests with overlapping executions, and of those executed more than once.

    Without an idempotency key, a client whose manager was killed asks another one, and the engine continues the first
    execution because nobody cancelled it. The executions for each manager then count as separate requests.
    """
    times_s: dict[tuple[str, int], dict[tuple[str, int], list[float]]] = {}
    for event in fleet.execution_events():
        times_s.setdefault((event.key, 0 if fleet.sends_keys else event.manager), {}).setdefault(
            (event.engine, event.run), []
        ).append(event.at)
    overlapping = 0
    for by_execution in times_s.values():
        spans = sorted((t[0], t[-1]) for t in by_execution.values() if len(t) > 1)
        overlapping += any(b[0] < a[1] for a, b in zip(spans, spans[1:], strict=False))
    return overlapping, sum(len(by_execution) > 1 for by_execution in times_s.values())


# The scripts of the cases. Each one returns when the plan has completed.


async def _request_job(
    fleet: MaintenanceFleet, manager: str, job: str, *machines: str, window_ms: float = 30_000.0
) -> None:
    await fleet.query_manager(
        manager, "plan-request", job=job, machines=list(machines), reason="the rig", window=window_ms
    )


async def _wait_for_plan(fleet: MaintenanceFleet, condition: Callable[[dict[str, Any]], Any]) -> dict[str, Any]:
    while True:
        plan = await fleet.latest_plan()
        if condition(plan):
            return plan
        await asyncio.sleep(0.1)


def _stages(plan: dict[str, Any], job: str = "") -> list[str]:
    return [m["stage"] for j in plan["jobs"] if not job or j["job"] == job for m in j["machines"]]


def _has_stage_or_all_done(stage: str, plan: dict[str, Any]) -> bool:
    return stage in _stages(plan) or _all_done(plan)


def _all_done(plan: dict[str, Any]) -> bool:
    return bool(plan["jobs"]) and set(_stages(plan)) == {"done"}


async def _rolling(fleet: MaintenanceFleet, rng: random.Random, _result: MaintenanceResult) -> None:
    """Every engine of a zone is restarted in turn, without any fault."""
    await _request_job(fleet, rng.choice(fleet.names), "upgrade", "z0")
    await _wait_for_plan(fleet, _all_done)


async def _driver(fleet: MaintenanceFleet, rng: random.Random, result: MaintenanceResult) -> None:
    """The manager that drives the plan is killed in two of the stages and restarted a few seconds later."""
    await _request_job(fleet, rng.choice(fleet.names), "upgrade", "z0", "z1")
    for stage in rng.sample(("draining", "out", "warming"), 2):
        plan = await _wait_for_plan(fleet, partial(_has_stage_or_all_done, stage))
        if _all_done(plan):
            break
        name = plan["driver"]
        result.seen.append(f"{name} killed while {stage}")
        await fleet.managers[name].kill()
        await asyncio.sleep(rng.uniform(1.0, 3.0))
        await fleet.start_manager(name)
    await _wait_for_plan(fleet, _all_done)


async def _partition(fleet: MaintenanceFleet, rng: random.Random, result: MaintenanceResult) -> None:
    """A member is partitioned from the others while a machine drains: the driver in half of the runs, else any one."""
    await _request_job(fleet, rng.choice(fleet.names), "upgrade", "z0")
    plan = await _wait_for_plan(fleet, lambda p: "draining" in _stages(p) or "out" in _stages(p))
    name = plan["driver"] if rng.random() < 0.5 else rng.choice(fleet.names)
    result.seen.append(f"{name} partitioned{', the driver' if name == plan['driver'] else ''}")
    fleet.rig.partition(name)
    await asyncio.sleep(rng.uniform(2.0, 6.0))
    fleet.rig.heal()
    await _wait_for_plan(fleet, _all_done)


async def _never_back(fleet: MaintenanceFleet, rng: random.Random, result: MaintenanceResult) -> None:
    """A machine does not return: the plan waits and gives the reason, and continues once that job is cancelled."""
    fleet.engines_not_restarted.add("e0")
    await _request_job(fleet, rng.choice(fleet.names), "broken", "e0", window_ms=1000.0)
    await _wait_for_plan(fleet, lambda p: "out" in _stages(p))
    await next(engine for engine in fleet.engines if engine.name == "e0").kill()
    await _request_job(fleet, rng.choice(fleet.names), "next", "e2")
    plan = await _wait_for_plan(
        fleet,
        lambda p: "out or warming: e0" in p["hold"] and any(m["overdue"] for j in p["jobs"] for m in j["machines"]),
    )
    await asyncio.sleep(2.0)
    if set(_stages(await fleet.latest_plan(), "next")) != {"waiting"}:
        result.doubled.append("the next machine was taken out before the first had returned")
    result.seen.append(plan["hold"])
    engine = next(engine for engine in fleet.engines if engine.name == "e0")
    await fleet.query_manager(rng.choice(fleet.names), "plan-cancel", job="broken")
    await fleet.start_engine(engine, fleet.ports_by_engine["e0"])  # it returns although its job was cancelled
    await _wait_for_plan(fleet, lambda p: set(_stages(p, "next")) == {"done"})


async def _overlapping_jobs(fleet: MaintenanceFleet, rng: random.Random, result: MaintenanceResult) -> None:
    """Two operators request jobs with common machines from two managers at the same time: one job is refused."""
    first, second = rng.sample(fleet.names, 2)
    responses = await asyncio.gather(
        _request_job(fleet, first, "one", "z0", "e2"),
        _request_job(fleet, second, "two", "e1", "z1"),
        return_exceptions=True,
    )
    refusals = [str(x) for x in responses if isinstance(x, ControlError)]
    result.seen += refusals
    if len(refusals) != 1 or "already" not in refusals[0]:
        result.doubled.append(f"{len(refusals)} of two overlapping jobs refused")
    await _wait_for_plan(fleet, _all_done)


async def _zone(fleet: MaintenanceFleet, rng: random.Random, result: MaintenanceResult) -> None:
    """A zone is lost while the plan works on another one: the plan pauses until the lost zone is healthy again."""
    await _request_job(fleet, rng.choice(fleet.names), "upgrade", "z1")
    await _wait_for_plan(fleet, lambda p: "warming" in _stages(p) or "done" in _stages(p))
    await fleet.kill_zones("z0")
    plan = await _wait_for_plan(fleet, lambda p: "zone z0 is not well" in p["hold"] or _all_done(p))
    if _all_done(plan):
        result.doubled.append("the plan continued while a zone was lost")
    result.seen.append(plan["hold"])
    stages_before = _stages(plan)
    await asyncio.sleep(3.0)
    if "waiting" not in _stages(await fleet.latest_plan()):
        result.doubled.append(
            f"a machine was taken out while a zone was lost: {stages_before} -> {_stages(await fleet.latest_plan())}"
        )
    await fleet.restart_zones("z0")
    await _wait_for_plan(fleet, _all_done)


async def _managers(fleet: MaintenanceFleet, rng: random.Random, result: MaintenanceResult) -> None:
    """All managers are restarted one at a time; each one ends by itself when the plan reaches it."""
    pids_before = {n: p.child.pid for n, p in fleet.managers.items()}
    await _request_job(fleet, rng.choice(fleet.names), "restart", *(f"manager:{n}" for n in fleet.names))
    await _wait_for_plan(fleet, _all_done)
    if not_restarted := [n for n, p in fleet.managers.items() if p.child.pid == pids_before[n]]:
        result.doubled.append(f"not restarted: {not_restarted}")


async def _all_killed(fleet: MaintenanceFleet, rng: random.Random, result: MaintenanceResult) -> None:
    """All managers are killed at the same time and restarted: the plan continues from what they stored on disk."""
    await _request_job(fleet, rng.choice(fleet.names), "upgrade", "z0")
    stage = rng.choice(("draining", "out", "warming"))
    plan = await _wait_for_plan(fleet, partial(_has_stage_or_all_done, stage))
    result.seen.append(f"all killed while {stage}, after step {plan['steps']}")
    await asyncio.gather(*(p.kill() for p in fleet.managers.values()))
    await asyncio.gather(*(fleet.start_manager(n) for n in fleet.names))
    await _wait_for_plan(fleet, _all_done)


CASE_SCRIPTS = {
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
    cases: list[str],
    seeds: list[int],
    fleet_count: int,
    on_run: Callable[[MaintenanceResult], None],
    log_folder: str = "",
) -> list[MaintenanceResult]:
    """Run every case with every seed, several fleets side by side, each in its own subprocess.

    Args:
        cases: Of CASES.
        seeds: One run of each case for each.
        fleet_count: Fleets that run at the same time.
        on_run: Called with each result, also with those of runs that are repeated.
        log_folder: Folder for the logs of all runs, "" for none.
    """
    runs = [{"case": c, "seed": s, "logs": log_folder} for s in seeds for c in cases]
    return await run_side_by_side(
        f"{__name__}:isolated_run",
        MaintenanceResult,
        runs,
        fleet_count,
        on_run,
        lambda run: run.clean or run.late_ms <= MAX_LATE_MS,
    )


async def isolated_run(case: str, seed: int, index: int, logs: str) -> AsyncIterator[MaintenanceResult]:
    """Run one case; called in a subprocess by `run_in_subprocess`."""
    yield await run_case(case, seed, index, logs)
