"""What a fault run showed: each key's answers beside what the engines wrote down (free of I/O)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Story:
    """One request as its client lived it. Times are seconds of the machine's monotonic clock."""

    key: str
    lane: str
    sent: float
    due: float  # its deadline and the slack
    finals: list[tuple[str, str, float]] = field(default_factory=list)  # served or failed, the row, when
    tries: int = 0
    moved: int = 0  # tries that ended without an answer: lost connections, managers that said nothing
    last: str = ""  # what the last try was told
    path: list[str] = field(default_factory=list)  # each try: whom it asked, when, for how long, what it was told


@dataclass(frozen=True, slots=True)
class Line:
    """A line of an engine's log."""

    what: str
    key: str
    run: int
    manager: int
    at: float
    engine: str


@dataclass(slots=True)
class Verdict:
    """Counts of one run."""

    requests: int = 0
    served: int = 0
    failed: int = 0
    refused: int = 0  # never run, and told to come back to the end
    lost: list[str] = field(default_factory=list)  # no final answer in time
    doubled: list[str] = field(default_factory=list)  # two different final answers
    repeated: list[str] = field(default_factory=list)  # at most once, and yet run twice
    overlapping: list[str] = field(default_factory=list)  # run by two managers at once
    came_back: int = 0  # final answers that another try than the first brought
    waits: list[float] = field(default_factory=list)  # seconds to the final answer of those that lost a manager
    late_ms: float = 0.0  # of the rig itself, at worst

    @property
    def clean(self) -> bool:
        """Whether no rule was broken."""
        return not (self.lost or self.doubled or self.repeated or self.overlapping)


def judge(stories: Iterable[Story], lines: Iterable[Line], once: str) -> Verdict:
    """`once` names the class of what may run at most once."""
    runs: dict[str, dict[tuple[str, int], list[Line]]] = {}
    for line in lines:
        runs.setdefault(line.key, {}).setdefault((line.engine, line.run), []).append(line)
    v = Verdict()
    for s in stories:
        v.requests += 1
        mine = runs.get(s.key, {})
        if not s.finals or s.finals[0][2] > s.due:
            if mine or s.finals:
                v.lost.append(f"{s.key}: {s.tries} tries, last {s.last!r}, {len(mine)} runs; {', '.join(s.path)}")
            else:
                v.refused += 1
        else:
            v.served += s.finals[0][0] == "served"
            v.failed += s.finals[0][0] == "failed"
            v.came_back += s.tries > 1
            if s.moved:
                v.waits.append(s.finals[0][2] - s.sent)
        if len({f[:2] for f in s.finals}) > 1:
            v.doubled.append(f"{s.key}: {[f[:2] for f in s.finals]}")
        if s.lane == once and len(mine) > 1:
            v.repeated.append(f"{s.key}: {[(e, r) for e, r in mine]}")
        if overlaps(list(mine.values())):
            v.overlapping.append(s.key)
    return v


def overlaps(runs: list[list[Line]]) -> bool:
    """Whether two managers' runs were under way at one moment."""
    spans = sorted((r[0].at, r[-1].at if len(r) > 1 else float("inf"), r[0].manager) for r in runs)
    return any(a[2] != b[2] and b[0] < a[1] for i, a in enumerate(spans) for b in spans[i + 1 :])


def total(verdicts: Iterable[Verdict]) -> dict[str, object]:
    """The sum of many runs, for a report."""
    all_of = list(verdicts)
    counts: Counter[str] = Counter()
    for v in all_of:
        for name in ("requests", "served", "failed", "refused", "came_back"):
            counts[name] += getattr(v, name)
        for name in ("lost", "doubled", "repeated", "overlapping"):
            counts[name] += len(getattr(v, name))
    waits = sorted(w for v in all_of for w in v.waits)
    at = {f"wait_p{p}_s": round(waits[min(len(waits) - 1, len(waits) * p // 100)], 3) for p in (50, 99) if waits}
    return {
        "runs": len(all_of),
        "clean": sum(v.clean for v in all_of),
        **counts,
        **at,
        "rig_late_ms": max((v.late_ms for v in all_of), default=0.0),
    }
