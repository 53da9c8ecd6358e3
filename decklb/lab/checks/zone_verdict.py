"""What a fault run of the locality showed: the callers' answers, the engines' own logs and the managers' decisions put
side by side (free of I/O). Times are seconds from the start of the load."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from decklb.lab.checks.execution_verdict import Line
from decklb.locality.settings import LocalitySettings
from decklb.locality.spillover import ZoneStatus, usable_capacity
from decklb.locality.zone_state import ZoneState

WINDOW = 1.0  # seconds over which the load of a returning zone is taken


@dataclass(slots=True)
class Sent:
    """One request as its client lived it."""

    key: str
    zone: str
    manager: str
    at: float
    work: int
    answer: str = ""  # served, the state of an error, or nothing in time
    took: float = 0.0
    row: str = ""


@dataclass(frozen=True, slots=True)
class Change:
    """A manager's log line: what holds for a zone from now on."""

    manager: str
    zone: str
    state: str
    at: float


@dataclass(slots=True)
class Judged:
    """One run in figures."""

    case: str
    way: str
    seed: int
    requests: int = 0
    served: int = 0
    errors: int = 0  # refused or failed
    lost: int = 0  # no answer at all in time
    overlapping: int = 0  # keys that ran at two engines at one moment
    attempts: int = 0  # highest number of runs of one key
    stayed: int = 0  # runs of callers whose zone was well, in it
    left: int = 0  # and elsewhere
    out_ms: list[float] = field(default_factory=list)  # from the loss until each manager held the zone out
    undecided: int = 0  # managers that never did, while it was lost
    wrong: int = 0  # times that a manager came to hold a zone out that was well
    changes: int = 0  # of states, over all managers and zones
    flood: float = 0.0  # highest load on a returning zone over its budget
    slow_ms: list[float] = field(default_factory=list)  # what served requests took while the fault lasted
    faults: int = 0  # tracebacks and faults of the module in the logs
    late_ms: float = 0.0  # of the rig or a manager that nobody stopped, at worst

    @property
    def left_share(self) -> float:
        """Share of requests that left their own zone."""
        return self.left / max(1, self.left + self.stayed)


def judge(
    case: str,
    way: str,
    seed: int,
    sent: Iterable[Sent],
    lines: Iterable[Line],
    changes: Iterable[Change],
    home: Mapping[str, str],
    zone_of: Callable[[str], str],
    out: Collection[str],
    sick: Collection[str],
    times: tuple[float, float, float],
    start: float,
    capacity: float,
    settings: LocalitySettings,
    liars: Collection[str],
) -> Judged:
    """`out`: zones that were lost; `sick`: those that anything struck; `times`: when it was struck, mended, ended."""
    struck, mended, _ = times
    v, changes, sent = Judged(case, way, seed), list(changes), list(sent)
    by_key = {s.key: s for s in sent}
    for s in sent:
        v.requests += 1
        v.served += s.answer == "served"
        v.errors += s.answer not in ("served", "")
        v.lost += s.answer == ""
        if s.answer == "served" and struck <= s.at < mended:
            v.slow_ms.append(1000 * s.took)
    names = sorted(home)
    runs: dict[str, dict[tuple[str, int], list[Line]]] = {}
    for line in lines:
        runs.setdefault(line.key, {}).setdefault((line.engine, line.run), []).append(line)
    began: list[tuple[float, str, int]] = []
    for key, by_run in runs.items():
        v.attempts = max(v.attempts, len(by_run))
        spans = sorted((x[0].at, x[-1].at) for x in by_run.values() if len(x) > 1)
        v.overlapping += any(b[0] < a[1] for a, b in zip(spans, spans[1:], strict=False))
        for (engine, _), x in by_run.items():
            at, zone = x[0].at - start, zone_of(engine)
            began.append((at, zone, by_key[key].work if key in by_key else 0))
            here = home[names[x[0].manager]]
            if here not in sick or at < struck:  # whoever spilled may come back only as the zone's ramp lets it
                v.stayed += zone == here
                v.left += zone != here
    for manager in names:
        if out and manager not in liars:
            first = [
                c.at
                for c in changes
                if c.manager == manager and c.zone in out and c.state == "out" and struck <= c.at < mended
            ]
            v.out_ms += [1000 * (first[0] - struck)] if first else []
            v.undecided += not first
    for c in changes:
        v.changes += 1
        lost = c.zone in out and struck <= c.at < mended + 1.0
        v.wrong += c.state == "out" and not lost and c.manager not in liars
    if out:
        v.flood = max(_flood(began, zone, changes, mended, capacity, settings) for zone in out)
    return v


def _flood(
    began: list[tuple[float, str, int]],
    zone: str,
    changes: list[Change],
    mended: float,
    capacity: float,
    settings: LocalitySettings,
) -> float:
    """The highest load on a returning zone over what it bears in each window on the mean, from its first return on."""
    back = min((c.at for c in changes if c.zone == zone and c.state == "returning" and c.at >= mended), default=None)
    if back is None:
        return 0.0
    runs, worst = sorted((at, work) for at, z, work in began if z == zone and at >= mended), 0.0
    for at, _ in runs:
        end = at + WINDOW
        load = sum(w for t, w in runs if at <= t < end) / 1000 / WINDOW
        place = ZoneStatus("", capacity, 0.0, ZoneState.RETURNING, 1000 * back)
        if end <= back + settings.recovery_ramp_ms / 1000:
            bears = [usable_capacity(place, 1000 * moment, settings) for moment in (at, end)]
            worst = max(worst, 2 * load / sum(bears))
    return round(worst, 3)


def table(runs: Iterable[Judged]) -> list[dict[str, object]]:
    """Sums by case and way."""
    rows: list[dict[str, object]] = []
    groups: dict[tuple[str, str], list[Judged]] = {}
    for r in runs:
        groups.setdefault((r.case, r.way), []).append(r)
    for (case, way), those in sorted(groups.items()):
        outs, slow = sorted(x for r in those for x in r.out_ms), sorted(x for r in those for x in r.slow_ms)
        requests = sum(r.requests for r in those)
        rows.append(
            {
                "case": case,
                "judged": way,
                "runs": len(those),
                "requests": requests,
                "lost": sum(r.lost for r in those),
                "overlapping": sum(r.overlapping for r in those),
                "attempts": max(r.attempts for r in those),
                "errors": round(sum(r.errors for r in those) / max(1, requests), 5),
                "left": round(sum(r.left for r in those) / max(1, sum(r.left + r.stayed for r in those)), 5),
                "out_p50_ms": _at(outs, 50),
                "out_p99_ms": _at(outs, 99),
                "undecided": sum(r.undecided for r in those),
                "wrong": sum(r.wrong for r in those),
                "changes": round(sum(r.changes for r in those) / len(those), 1),
                "flood": max(r.flood for r in those),
                "took_p50_ms": _at(slow, 50),
                "took_p99_ms": _at(slow, 99),
                "faults": sum(r.faults for r in those),
                "rig_late_ms": max(r.late_ms for r in those),
            }
        )
    return rows


def _at(values: list[float], share: int) -> int | None:
    return round(values[min(len(values) - 1, len(values) * share // 100)]) if values else None
