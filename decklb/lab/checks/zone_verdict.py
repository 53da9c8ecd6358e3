"""Judges a zone fault run by comparing the answers to callers, the engines' logs and the managers' decisions. No I/O.

The zone fault runs collect the records; the maintenance fault runs use the record of calls. Times are seconds from the
start of the load unless a name states otherwise.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from decklb.lab.checks.execution_verdict import ExecutionEvent, Executions, executions_by_key
from decklb.locality.settings import LocalitySettings
from decklb.locality.spillover import ZoneStatus, usable_capacity
from decklb.locality.zone_state import ZoneState

LOAD_WINDOW_S = 1.0  # length of the window over which the load on a returning zone is averaged
RECOVERY_SLACK_S = 1.0  # time after the end of a fault during which a manager may still declare the zone out


@dataclass(slots=True)
class CallRecord:
    """One request as its caller saw it.

    Attributes:
        key: Key of the request.
        zone: Zone of the caller.
        manager: Manager that it was sent to.
        at: Time at which it was sent.
        work: Work of the statement in ms.
        answer: `served`, the SQLSTATE of an error, or empty if no answer arrived in time.
        took: Seconds until the answer.
        row: Result row of the answer.
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
    """A log line of a manager: from this time on it considers a zone to be in this state."""

    manager: str
    zone: str
    state: str
    at: float


@dataclass(frozen=True, slots=True)
class ZoneFault:
    """The fault that a case injected.

    Attributes:
        lost_zones: Zones that failed completely.
        affected_zones: Zones with any fault.
        false_reporters: Managers that send false reports; their own decisions are not judged.
        started, ended: Start and end of the fault.
    """

    lost_zones: Collection[str]
    affected_zones: Collection[str]
    false_reporters: Collection[str]
    started: float
    ended: float


class ExecutionStart(NamedTuple):
    """Start of an execution: time, zone and work of the statement in ms."""

    at: float
    zone: str
    work: int


@dataclass(slots=True)
class ZoneVerdict:
    """Figures of one run.

    Attributes:
        case, seed: Case and seed of the run.
        way: How managers judge the zones: in common or each on its own.
        requests, served: Number of requests and of served ones.
        errors: Number of requests that were rejected or failed.
        lost: Number of requests without an answer in time.
        overlapping: Number of keys whose executions overlapped in time.
        attempts: Highest number of executions of one key.
        stayed: Executions in the zone of the caller, for callers whose zone had no fault.
        left: Executions in another zone, for the same callers.
        out_ms: Times in ms from the loss of a zone until a manager declared it out, one for each manager.
        undecided: Number of managers that did not declare a lost zone out while the fault lasted.
        wrong: Number of times that a manager declared a zone out that was not lost.
        changes: Number of changes of state, over all managers and zones.
        flood: Highest load on a returning zone in relation to its usable capacity.
        slow_ms: Durations in ms of served requests that were sent during the fault.
        faults: Number of tracebacks and failures of the decision module in the logs.
        late_ms: Longest time in ms by which a timer of the process with the network proxy fired late, or for which a
            manager stalled that was not paused on purpose.
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
        """Fraction of the executions outside the zone of the caller."""
        return self.left / max(1, self.left + self.stayed)

    def count_answers(self, calls: Iterable[CallRecord], fault: ZoneFault) -> None:
        """Count the requests by result."""
        for call in calls:
            self.requests += 1
            self.served += call.answer == "served"
            self.errors += call.answer not in ("served", "")
            self.lost += call.answer == ""
            if call.answer == "served" and fault.started <= call.at < fault.ended:
                self.slow_ms.append(1000 * call.took)

    def count_executions(self, executions: Executions) -> None:
        """Count the executions of one key and check whether two of them overlapped."""
        self.attempts = max(self.attempts, len(executions))
        intervals = sorted((events[0].at, events[-1].at) for events in executions.values() if len(events) > 1)
        self.overlapping += any(later[0] < earlier[1] for earlier, later in zip(intervals, intervals[1:], strict=False))

    def count_zone(self, execution: ExecutionStart, home_zone: str, fault: ZoneFault) -> None:
        """Count whether an execution stayed in the caller's zone, provided that zone had no fault."""
        # After a fault in the caller's zone, its requests return only gradually, along the recovery ramp, so executions
        # elsewhere are expected and not counted.
        if home_zone not in fault.affected_zones or execution.at < fault.started:
            self.stayed += execution.zone == home_zone
            self.left += execution.zone != home_zone

    def count_decisions(
        self, managers: Collection[str], changes: Collection[ZoneStateChange], fault: ZoneFault
    ) -> None:
        """Record when managers declared lost zones out, and count the zones that they wrongly declared out."""
        for manager in sorted(managers):
            if fault.lost_zones and manager not in fault.false_reporters:
                out_times = [
                    change.at
                    for change in changes
                    if change.manager == manager
                    and change.zone in fault.lost_zones
                    and change.state == "out"
                    and fault.started <= change.at < fault.ended
                ]
                self.out_ms += [1000 * (out_times[0] - fault.started)] if out_times else []
                self.undecided += not out_times
        for change in changes:
            self.changes += 1
            in_fault = fault.started <= change.at < fault.ended + RECOVERY_SLACK_S
            rightly_out = change.zone in fault.lost_zones and in_fault
            self.wrong += change.state == "out" and not rightly_out and change.manager not in fault.false_reporters


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
        verdict: Empty verdict with case, way and seed of the run.
        calls: All requests.
        events: All events in the engines' logs, on the machine's clock.
        changes: All decisions that managers logged, in order.
        home: Zone of each manager and of its callers.
        zone_of: Returns the zone of an engine.
        fault: The injected fault.
        load_started: Start of the load on the machine's clock.
        capacity: Capacity of one zone in cores.
        settings: Locality settings of the managers.
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
            _return_load(starts, zone, changes, fault.ended, capacity, settings) for zone in fault.lost_zones
        )
    return verdict


def _return_load(
    starts: list[ExecutionStart],
    zone: str,
    changes: list[ZoneStateChange],
    fault_ended: float,
    capacity: float,
    settings: LocalitySettings,
) -> float:
    """Return the highest ratio of load to usable capacity of a returning zone, both averaged over a window.

    A window starts at each execution after the end of the fault and must end within the recovery ramp, which begins
    with the zone's first return.
    """
    return_times = [c.at for c in changes if c.zone == zone and c.state == "returning" and c.at >= fault_ended]
    if not return_times:
        return 0.0
    returned_at = min(return_times)
    ramp_end = returned_at + settings.recovery_ramp_ms / 1000
    executions = sorted((start.at, start.work) for start in starts if start.zone == zone and start.at >= fault_ended)
    max_ratio = 0.0
    for at, _ in executions:
        end = at + LOAD_WINDOW_S
        if end > ramp_end:
            continue
        load = sum(work for started, work in executions if at <= started < end) / 1000 / LOAD_WINDOW_S
        status = ZoneStatus("", capacity, 0.0, ZoneState.RETURNING, 1000 * returned_at)
        # The usable capacity rises linearly along the ramp, so its average is that of the values at both ends.
        capacity_sum = usable_capacity(status, 1000 * at, settings) + usable_capacity(status, 1000 * end, settings)
        max_ratio = max(max_ratio, 2 * load / capacity_sum)
    return round(max_ratio, 3)


def table(verdicts: Iterable[ZoneVerdict]) -> list[dict[str, object]]:
    """Return one row of sums for each case and way. The keys are the column names of the command's output."""
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
