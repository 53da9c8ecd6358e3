"""The rules, checked while a run goes on; state is kept for what is open only.

Each rule has a code: `answer` (one final answer, none owed at the end), `overlap`, `attempts` (at most so many),
`repeat` (as the class permits), `drain` (nothing new to engines that the list called draining), `cold` (no engine falls
over), `key` (order by key), `ration` (of further attempts).
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field

from decklb.interface import Effect, Outcome, Settings
from decklb.policy.records import NEVER_EXECUTED

RULES = ("answer", "overlap", "attempts", "repeat", "drain", "cold", "key", "ration")
KEPT = 20  # texts of faults that are kept


@dataclass(slots=True)
class Watched:
    """A request from arrival until its answer and its last attempt's end."""

    lane: str
    key: str | None
    order: int
    answered: bool = False
    owed: bool = True
    sends: int = 0
    out: int = 0
    ran: bool = False


@dataclass(slots=True)
class Ration:
    """One manager's window."""

    taken: deque[float] = field(default_factory=deque)
    extra: deque[float] = field(default_factory=deque)

    def trim(self, start: float) -> None:
        """Forget what is older."""
        for times in (self.taken, self.extra):
            while times and times[0] < start:
                times.popleft()


class Checker:
    """Told of everything that happens between managers and engines."""

    def __init__(self, settings: Settings) -> None:
        self.s = settings
        self.open: dict[tuple[int, str], Watched] = {}
        self.keys: dict[tuple[int, str], list[tuple[int, str]]] = {}  # open requests of a key, in order
        self.rations: dict[int, Ration] = {}
        self.faults: Counter[str] = Counter()
        self.texts: list[str] = []
        self._count = 0

    def fault(self, rule: str, text: str) -> None:
        """Note one."""
        self.faults[rule] += 1
        if len(self.texts) < KEPT:
            self.texts.append(f"{rule}: {text}")

    def arrived(self, now: float, manager: int, req: str, lane: str, key: str | None) -> None:
        """A manager has taken a request."""
        self._count += 1
        if (manager, req) in self.open:
            self.fault("answer", f"{req} taken twice")
        self.open[manager, req] = Watched(lane, key, self._count)
        self.rations.setdefault(manager, Ration()).taken.append(now)
        if key is not None and self.s.classes[lane].ordered_by_key:
            self.keys.setdefault((manager, key), []).append((self._count, req))

    def sent(self, now: float, manager: int, req: str, engine: str, draining: bool) -> None:
        """An attempt goes out."""
        w = self.open.get((manager, req))
        if w is None:
            return self.fault("answer", f"{req} sent after it was over")
        w.sends += 1
        spec = self.s.classes[w.lane]
        if w.out:
            self.fault("overlap", f"{req} sent to {engine} while an attempt is out")
        if w.sends > self.s.max_attempts:
            self.fault("attempts", f"{req} sent {w.sends} times")
        if w.ran and spec.effect is not Effect.SAFE:
            self.fault("repeat", f"{req} of class {w.lane} sent again after it may have run")
        if draining:
            self.fault("drain", f"{req} sent to {engine}, which the list calls draining")
        if w.sends > 1 and self.s.retry_budget_ratio is not None:
            ration = self.rations[manager]
            ration.trim(now - self.s.retry_budget_window_ms)
            ration.extra.append(now)
            if len(ration.extra) > self.s.retry_budget_floor + self.s.retry_budget_ratio * len(ration.taken):
                self.fault("ration", f"manager {manager}: {len(ration.extra)} further attempts")
        if w.key is not None and spec.ordered_by_key:
            for order, other in self.keys.get((manager, w.key), []):
                if order >= w.order:
                    break
                before = self.open.get((manager, other))
                if before is not None and (before.out or before.owed):
                    self.fault("key", f"{req} sent before {other} of key {w.key} was over")
        w.out += 1

    def ended(self, manager: int, req: str, outcome: Outcome) -> None:
        """An attempt is over: by an answer, or given up and freed."""
        w = self.open.get((manager, req))
        if w is not None:
            w.out -= 1
            w.ran = w.ran or outcome not in NEVER_EXECUTED
            self._over(manager, req, w)

    def answered(self, manager: int, req: str, kind: str) -> None:
        """The client has been told."""
        w = self.open.get((manager, req))
        if w is None or w.answered or not w.owed:
            return self.fault("answer", f"{req} answered again: {kind}")
        w.answered, w.owed = True, False
        self._over(manager, req, w)

    def left(self, manager: int, req: str) -> None:
        """The client went; nothing is owed."""
        w = self.open.get((manager, req))
        if w is not None:
            w.owed = False
            self._over(manager, req, w)

    def died(self, manager: int) -> None:
        """A manager was killed; what was open at it is nobody's."""
        for who in [who for who in self.open if who[0] == manager]:
            del self.open[who]
        for line in [line for line in self.keys if line[0] == manager]:
            del self.keys[line]
        self.rations.pop(manager, None)

    def fell(self, engine: str) -> None:
        """A cold engine was given more than it bears."""
        self.fault("cold", f"{engine} fell over")

    def close(self) -> None:
        """The run is over: nothing may be owed."""
        for (manager, req), w in self.open.items():
            if w.owed:
                self.fault("answer", f"{req} at manager {manager} has no answer")

    def _over(self, manager: int, req: str, w: Watched) -> None:
        if w.owed or w.out > 0:
            return
        del self.open[manager, req]
        if w.key is not None and self.s.classes[w.lane].ordered_by_key:
            line = self.keys.get((manager, w.key))
            if line is not None:
                line.remove((w.order, req))
                if not line:
                    del self.keys[manager, w.key]
