"""Judges a zone fault run: callers' answers, engines' logs and managers' decisions side by side. Free of I/O.

Used by the zone and maintenance fault runs, which collect the records. Times are seconds from the start of the load
unless a name says otherwise.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from decklb.lab.checks.execution_verdict import ExecutionEvent, Executions, executions_by_key
from decklb.locality.settings import LocalitySettings
from decklb.locality.spillover import ZoneStatus, usable_capacity
from decklb.locality.zone_state import ZoneState

LOAD_WINDOW_S = 1.0  # over which the load of a returning zone is taken
RECOVERY_SLACK_S = 1.0  # after the end of a fault in which a zone may still be held out


@dataclass(slots=True)
class CallRecord:
    """One request as its caller saw it.

    Attributes:
        key: Of the request.
        zone: Of the caller.
        manager: That it was sent to.
        at: When it was sent.
        work: Of the statement, in ms.
        answer: `served`, the SQLSTATE of an error, or empty where none came in time.
        took: Seconds to the answer.
        row: That came with it.
    """

    key: str
    zone: str
    manager: str
    at: float
    work: int
    answer: str = ""
    took: float = 0.0
    row: str = ""


@dataclass(frozen=True, slots=True)
class ZoneStateChange:
    """A manager's log line: the state in which it holds a zone from a moment on."""

    manager: str
    zone: str
    state: str
    at: float


@dataclass(frozen=True, slots=True)
class ZoneFault:
    """What a case broke, and when.

    Attributes:
        lost_zones: Zones that were lost as a whole.
        struck_zones: Zones that anything struck.
        liars: Managers that report falsely; their own decisions are not judged.
        struck, mended: When the fault began and ended.
    """

    lost_zones: Collection[str]
    struck_zones: Collection[str]
    liars: Collection[str]
    struck: float
    mended: float


class ExecutionStart(NamedTuple):
    """Where and when a statement began to run, and its work in ms."""

    at: float
    zone: str
    work: int


@dataclass(slots=True)
class ZoneVerdict:
    """One run in figures.

    Attributes:
        case, way, seed: Of the run; `way` says whether managers decide in common or alone.
        requests, served: Numbers of requests.
        errors: Rejected or failed.
        lost: Without any answer in time.
        overlapping: Keys that ran at two engines at one moment.
        attempts: Highest number of executions of one key.
        stayed: Executions, for callers whose zone was well, in that zone.
        left: And elsewhere.
        out_ms: From the loss until each manager held the zone out.
        undecided: Managers that never did while it was lost.
        wrong: Times that a manager came to hold a zone out that was well.
        changes: Of states, over all managers and zones.
        flood: Highest load on a returning zone over what it bears.
        slow_ms: What served requests took while the fault lasted.
        faults: Tracebacks and faults of the decision module in the logs.
        late_ms: By which the proxy, or a manager that nobody stopped, was late at worst.
    """

    case: str
    way: str
    seed: int
    requests: int = 0
    served: int = 0
    errors: int = 0
    lost: int = 0
    overlapping: int = 0
    attempts: int = 0
    stayed: int = 0
    left: int = 0
    out_ms: list[float] = field(default_factory=list)
    undecided: int = 0
    wrong: int = 0
    changes: int = 0
    flood: float = 0.0
    slow_ms: list[float] = field(default_factory=list)
    faults: int = 0
    late_ms: float = 0.0

    @property
    def left_share(self) -> float:
        """Share of executions that left their caller's zone."""
        return self.left / max(1, self.left + self.stayed)

    def count_answers(self, calls: Iterable[CallRecord], fault: ZoneFault) -> None:
        """Count how requests ended."""
        for call in calls:
            self.requests += 1
            self.served += call.answer == "served"
            self.errors += call.answer not in ("served", "")
            self.lost += call.answer == ""
            if call.answer == "served" and fault.struck <= call.at < fault.mended:
                self.slow_ms.append(1000 * call.took)

    def count_executions(self, executions: Executions) -> None:
        """Count one key's executions, and whether two overlapped."""
        self.attempts = max(self.attempts, len(executions))
        spans = sorted((events[0].at, events[-1].at) for events in executions.values() if len(events) > 1)
        self.overlapping += any(later[0] < earlier[1] for earlier, later in zip(spans, spans[1:], strict=False))

    def count_zone(self, execution: ExecutionStart, home_zone: str, fault: ZoneFault) -> None:
        """Count whether an execution stayed in its caller's zone, where that zone was well."""
        # Whoever spilled may come back only as the zone's recovery ramp lets it.
        if home_zone not in fault.struck_zones or execution.at < fault.struck:
            self.stayed += execution.zone == home_zone
            self.left += execution.zone != home_zone

    def count_decisions(
        self, managers: Collection[str], changes: Collection[ZoneStateChange], fault: ZoneFault
    ) -> None:
        """Count when managers held lost zones out, and when they held others out."""
        for manager in sorted(managers):
            if fault.lost_zones and manager not in fault.liars:
                held_out = [
                    change.at
                    for change in changes
                    if change.manager == manager
                    and change.zone in fault.lost_zones
                    and change.state == "out"
                    and fault.struck <= change.at < fault.mended
                ]
                self.out_ms += [1000 * (held_out[0] - fault.struck)] if held_out else []
                self.undecided += not held_out
        for change in changes:
            self.changes += 1
            in_fault = fault.struck <= change.at < fault.mended + RECOVERY_SLACK_S
            rightly_out = change.zone in fault.lost_zones and in_fault
            self.wrong += change.state == "out" and not rightly_out and change.manager not in fault.liars


def judge(
    verdict: ZoneVerdict,
    calls: Iterable[CallRecord],
    events: Iterable[ExecutionEvent],
    changes: Iterable[ZoneStateChange],
    home: Mapping[str, str],
    zone_of: Callable[[str], str],
    fault: ZoneFault,
    load_started: float,
    capacity: float,
    settings: LocalitySettings,
) -> ZoneVerdict:
    """Fill the verdict of one run.

    Args:
        verdict: With the run's case, way and seed.
        calls: All requests.
        events: All lines of the engines' logs, on the machine's clock.
        changes: All decisions that managers logged, in order.
        home: Zone of each manager, and of its callers.
        zone_of: Returns an engine's zone.
        fault: What was broken, and when.
        load_started: When the load began, on the machine's clock.
        capacity: Of one zone, in cores.
        settings: Of the managers.
    """
    calls, changes = list(calls), list(changes)
    verdict.count_answers(calls, fault)
    work_by_key = {call.key: call.work for call in calls}
    managers = sorted(home)
    starts: list[ExecutionStart] = []
    for key, executions in executions_by_key(events).items():
        verdict.count_executions(executions)
        for (engine, _), own_events in executions.items():
            first = own_events[0]
            start = ExecutionStart(first.at - load_started, zone_of(engine), work_by_key.get(key, 0))
            starts.append(start)
            verdict.count_zone(start, home[managers[first.manager]], fault)
    verdict.count_decisions(managers, changes, fault)
    if fault.lost_zones:
        verdict.flood = max(
            _return_load(starts, zone, changes, fault.mended, capacity, settings) for zone in fault.lost_zones
        )
    return verdict


def _return_load(
    starts: list[ExecutionStart],
    zone: str,
    changes: list[ZoneStateChange],
    mended: float,
    capacity: float,
    settings: LocalitySettings,
) -> float:
    """Return the highest load on a returning zone over what it bears, each on the mean of a window.

    Windows begin at each execution from the zone's first return on, and end within its recovery ramp.
    """
    returns = [c.at for c in changes if c.zone == zone and c.state == "returning" and c.at >= mended]
    if not returns:
        return 0.0
    returned = min(returns)
    ramp_end = returned + settings.recovery_ramp_ms / 1000
    executions = sorted((start.at, start.work) for start in starts if start.zone == zone and start.at >= mended)
    worst = 0.0
    for at, _ in executions:
        end = at + LOAD_WINDOW_S
        if end > ramp_end:
            continue
        load = sum(work for began, work in executions if at <= began < end) / 1000 / LOAD_WINDOW_S
        place = ZoneStatus("", capacity, 0.0, ZoneState.RETURNING, 1000 * returned)
        bearable_twice = usable_capacity(place, 1000 * at, settings) + usable_capacity(place, 1000 * end, settings)
        worst = max(worst, 2 * load / bearable_twice)
    return round(worst, 3)


def table(verdicts: Iterable[ZoneVerdict]) -> list[dict[str, object]]:
    """Return a row of sums for each case and way. The names of its columns are those of the command's output."""
    groups: dict[tuple[str, str], list[ZoneVerdict]] = {}
    for verdict in verdicts:
        groups.setdefault((verdict.case, verdict.way), []).append(verdict)
    return [_row(case, way, group) for (case, way), group in sorted(groups.items())]


def _row(case: str, way: str, group: list[ZoneVerdict]) -> dict[str, object]:
    out_ms = sorted(ms for verdict in group for ms in verdict.out_ms)
    slow_ms = sorted(ms for verdict in group for ms in verdict.slow_ms)
    requests = sum(verdict.requests for verdict in group)
    executions = sum(verdict.left + verdict.stayed for verdict in group)
    return {
        "case": case,
        "judged": way,
        "runs": len(group),
        "requests": requests,
        "lost": sum(verdict.lost for verdict in group),
        "overlapping": sum(verdict.overlapping for verdict in group),
        "attempts": max(verdict.attempts for verdict in group),
        "errors": round(sum(verdict.errors for verdict in group) / max(1, requests), 5),
        "left": round(sum(verdict.left for verdict in group) / max(1, executions), 5),
        "out_p50_ms": _percentile(out_ms, 50),
        "out_p99_ms": _percentile(out_ms, 99),
        "undecided": sum(verdict.undecided for verdict in group),
        "wrong": sum(verdict.wrong for verdict in group),
        "changes": round(sum(verdict.changes for verdict in group) / len(group), 1),
        "flood": max(verdict.flood for verdict in group),
        "took_p50_ms": _percentile(slow_ms, 50),
        "took_p99_ms": _percentile(slow_ms, 99),
        "faults": sum(verdict.faults for verdict in group),
        "rig_late_ms": max(verdict.late_ms for verdict in group),
    }


def _percentile(ordered: list[float], percent: int) -> int | None:
    return round(ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]) if ordered else None
