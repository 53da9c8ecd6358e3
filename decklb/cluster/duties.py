"""When each own duty is due, with which term, and what follows from how it ended. Free of I/O.

A duty is done once a period at a moment of its own, the same whoever owns it: phases are hashed and reckoned on the
wall clock, so that a subject doesn't get all its duties at once and a duty that moves keeps its rhythm.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Any

import xxhash

from decklb.cluster.messages import DutyDecline, DutyResult, HealthStatus
from decklb.cluster.rendezvous import Lamport, Passed, Ranking
from decklb.cluster.settings import DutySettings
from decklb.cluster.timers import Timer, TimerQueue
from decklb.cluster.verdicts import Verdicts

PROMPT = 0.25  # of a period over which duties of one that died are spread
CLOSEST = 0.5  # of a period between two runs, whatever the clock says
MOST_REST = 8.0  # times the first rest


def phase(kind: str, subject: str) -> float:
    """When in its period a duty is due, from 0 to 1, whoever owns it."""
    return xxhash.xxh32_intdigest(f"{kind}/{subject}".encode()) / 4294967296.0


@dataclass(frozen=True, slots=True)
class Start:
    """Run this duty now."""

    kind: str
    subject: str
    term: int


@dataclass(slots=True, eq=False)
class Duty:
    """One duty that this instance owns, or that still runs here."""

    subject: str
    phase: float  # 0 to 1 of a period
    term: int = 0
    owned: bool = False
    handed: bool = False  # came by another's word that it can't do it
    running: bool = False
    timer: Timer | None = None
    last: float = -math.inf  # when it was last started
    failures: int = 0  # in a row
    ok: bool | None = None  # how it last ended
    ended: float = 0.0
    told: float = -math.inf  # when its failing was last told


@dataclass(slots=True)
class DutyCounters:
    """For operators."""

    started: int = 0
    failed: int = 0
    overruns: int = 0  # due while it still ran
    gained: int = 0
    lost: int = 0
    handed_on: int = 0


class Duties:
    """One kind of duty at one instance."""

    def __init__(
        self,
        settings: DutySettings,
        me: str,
        ranking: Ranking,
        verdicts: Verdicts,
        lamport: Lamport,
        timers: TimerQueue,
        wall: Callable[[float], float],
        start: Callable[[Start], None],
        tell: Callable[[DutyResult | DutyDecline], None],
    ) -> None:
        self.s, self.me, self.ranking, self.verdicts, self.lamport = settings, me, ranking, verdicts, lamport
        self.timers, self.wall, self.start, self.tell = timers, wall, start, tell
        self.duties: dict[str, Duty] = {}  # owned or running
        self.passed = Passed()
        self.able: frozenset[str] = frozenset()
        self.cold: Mapping[str, float] = {}  # until when, on the wall clock
        self.slow = False  # under half of the members are seen
        self.counters = DutyCounters()
        self.running = 0
        self._waiting: deque[Duty] = deque()  # due, but too many run
        self._rests: dict[str, int] = {}  # how often we handed a duty on
        self._rest_timer: Timer | None = None
        self._retelling = False

    # What there is to do, and who does it.

    def subjects(self, now: float, cold: Mapping[str, float]) -> None:
        """All subjects, and until when (wall clock, ms) each is cold."""
        self.cold = cold
        if not self._retelling:
            self._retelling = True
            self.timers.call_at(now + self.s.repeat_interval_ms, self._again)
        self.ranking.set_duties(cold.keys())
        self.verdicts.keep(cold.keys())
        self._rests = {s: n for s, n in self._rests.items() if s in cold}
        self.review(now, self.able, self.slow)

    def review(self, now: float, able: Collection[str], minority: bool) -> None:
        """Take and give up duties after a change of members, subjects or of who is passed over."""
        before, self.able = self.able, frozenset(able)
        self.passed.forget(before - self.able - {self.me})
        passed = self.passed.now(now)
        mine = self.ranking.mine(self.me, self.able, passed)
        owned = {s for s, d in self.duties.items() if d.owned}
        for subject in sorted(owned - mine):
            self._give(self.duties[subject])
        fresh = mine - owned
        # One term serves all that are taken at once: terms are compared subject by subject.
        term = self.lamport.term() if fresh else 0
        for subject in sorted(fresh):
            # Prompt where its last owner is gone, so that nobody waits a period more for it.
            last = self.ranking.owner(subject, before) if before else None
            self._gain(now, subject, term, last is not None and last not in self.able, subject in passed)
        # Members that came back may have had these duties on their side: what we find must outdo what they found.
        if self.able - before and owned & mine:
            term = self.lamport.term()
            for subject in owned & mine:
                self.duties[subject].term = term
        if self.able - before:  # they have not heard what we can't do
            self._retell(now)
        if minority != self.slow:
            self.slow = minority
            for duty in self.duties.values():
                if duty.owned:
                    self._plan(now, duty)
        self._watch_rests(now)

    def _gain(self, now: float, subject: str, term: int, prompt: bool, handed: bool) -> None:
        duty = self.duties.get(subject)
        if duty is None:
            duty = self.duties[subject] = Duty(subject, phase(self.s.kind, subject))
        duty.owned, duty.term, duty.failures, duty.handed = True, term, 0, handed
        duty.told = -math.inf
        self.counters.gained += 1
        self._plan(now, duty, prompt or handed)

    def _give(self, duty: Duty) -> None:
        duty.owned = False
        self.counters.lost += 1
        if duty.timer is not None:
            duty.timer.cancel()
            duty.timer = None
        if not duty.running:
            del self.duties[duty.subject]

    def period(self, now: float, subject: str) -> float:
        """Milliseconds between two runs: stretched for what is cold, and on a side that sees few members."""
        factor = self.s.minority_factor if self.slow else 1.0
        if self.wall(now) < self.cold.get(subject, 0.0):
            factor *= self.s.warming_up_factor
        return self.s.period_ms * factor

    def _plan(self, now: float, duty: Duty, prompt: bool = False) -> None:
        period = self.period(now, duty.subject)
        if prompt:
            due = now + duty.phase * PROMPT * period
        else:
            wall = self.wall(now) - duty.phase * period
            due = now + (math.floor(wall / period) + 1) * period - wall
        # Guards against a clock that jumps, and against the moment after a prompt run.
        if due - duty.last < CLOSEST * period:
            due += period if not prompt else duty.last + CLOSEST * period - due
        if duty.timer is not None:
            duty.timer.cancel()
        duty.timer = self.timers.call_at(due, lambda t: self._due(t, duty))

    # Running.

    def _due(self, now: float, duty: Duty) -> None:
        duty.timer = None
        if not duty.owned:
            return
        if duty.running:  # it takes longer than its period; a second run would only add to it
            self.counters.overruns += 1
        elif self.running >= self.s.max_concurrent:
            self._waiting.append(duty)
        else:
            self._start(now, duty)
        self._plan(now, duty)

    def _start(self, now: float, duty: Duty) -> None:
        duty.running, duty.last = True, now
        self.running += 1
        self.counters.started += 1
        self.start(Start(self.s.kind, duty.subject, duty.term))

    def ended(self, now: float, subject: str, ok: bool) -> None:
        """One run is over."""
        duty = self.duties.get(subject)
        if duty is None or not duty.running:
            return
        duty.running, duty.ok, duty.ended = False, ok, now
        self.running -= 1
        if not duty.owned:  # it moved meanwhile; its new owner finds out for itself
            del self.duties[subject]
        elif ok:
            self._good(now, duty)
        else:
            self._bad(now, duty)
        while self._waiting and self.running < self.s.max_concurrent:
            duty = self._waiting.popleft()
            if duty.owned and not duty.running:
                self._start(now, duty)

    def _good(self, now: float, duty: Duty) -> None:
        duty.failures = 0
        if self.verdicts.down(duty.subject):
            self._say(now, duty, HealthStatus.UP)

    def _bad(self, now: float, duty: Duty) -> None:
        self.counters.failed += 1
        duty.failures += 1
        # Who got it because another could not do it is only asked for a second opinion.
        if duty.failures < (1 if duty.handed else self.s.failures_to_decline):
            return
        passed = self.passed.of(duty.subject, now)
        others = self.able - passed - {self.me}
        if self.me not in passed and len(passed) < self.s.max_declines and others:
            times = self._rests[duty.subject] = self._rests.get(duty.subject, 0) + 1
            rest = self.s.decline_hold_ms * min(MOST_REST, 2.0 ** (times - 1))
            self.counters.handed_on += 1
            self.tell(DutyDecline(self.s.kind, duty.subject, self.me, int(self.wall(now)), int(rest)))
        elif not self.verdicts.down(duty.subject) or now - duty.told >= self.s.repeat_interval_ms:
            self._say(now, duty, HealthStatus.DOWN)

    def _say(self, now: float, duty: Duty, status: HealthStatus) -> None:
        duty.told = now
        if self.verdicts.term(duty.subject) >= duty.term:  # another had it with a higher term: ours must outdo it
            duty.term = self.lamport.term()
        self.tell(DutyResult(self.s.kind, duty.subject, duty.term, self.me, int(self.wall(now)), status))

    # What others say.

    def heard(self, now: float, r: DutyResult) -> bool:
        """A result; true if it is newer than what is held, and worth passing on."""
        self.lamport.hear(r.term)
        if r.subject not in self.ranking or not self.verdicts.take(now, r):
            return False
        duty = self.duties.get(r.subject)
        if duty is not None and duty.owned and r.owner != self.me and r.term >= duty.term:
            duty.term = self.lamport.term()
        return True

    def disclaimed(self, now: float, d: DutyDecline) -> bool:
        """Someone can't do a duty; true if that is news."""
        # Its rest runs from when it said so, as far as the clocks agree.
        late = min(max(0.0, self.wall(now) - d.declined_at_ms), d.hold_ms)
        if d.subject not in self.ranking or not self.passed.add(d.subject, d.declined_by, now + d.hold_ms - late):
            return False
        self.review(now, self.able, self.slow)
        return True

    def _retell(self, now: float) -> None:
        """Own words still in force, again: all must hold the same to find the same owner."""
        for subject, left in self.passed.by(self.me, now):
            self.tell(DutyDecline(self.s.kind, subject, self.me, int(self.wall(now)), max(1, int(left))))

    def _again(self, now: float) -> None:
        self._retell(now)
        self.timers.call_at(now + self.s.repeat_interval_ms, self._again)

    def _watch_rests(self, now: float) -> None:
        if self._rest_timer is not None:
            self._rest_timer.cancel()
            self._rest_timer = None
        if (when := self.passed.next()) < math.inf:
            self._rest_timer = self.timers.call_at(max(now, when) + 1.0, lambda t: self.review(t, self.able, self.slow))

    # For operators.

    def rows(self, now: float) -> list[dict[str, Any]]:
        """All duties of this kind; see Node.duty_rows."""
        passed = self.passed.now(now)
        rows = []
        for subject in sorted(self.ranking.duties()):
            duty, held = self.duties.get(subject), self.verdicts.held.get(subject)
            own = duty is not None and duty.owned
            up: bool | None = None
            age: float | None = None
            if duty is not None and own and duty.ok is not None:
                up, age = duty.ok, now - duty.ended
            elif held is not None and held.state:
                up, age = held.state != HealthStatus.DOWN, now - held.heard
            rows.append(
                {
                    "kind": self.s.kind,
                    "subject": subject,
                    "owner": self.ranking.owner(subject, self.able, passed.get(subject, ())),
                    "term": duty.term if duty is not None and own else (held.term if held else None),
                    "up": up,
                    "age_ms": None if age is None else round(age),
                    "own": own,
                    "down": self.verdicts.down(subject),
                    "passed": sorted(passed.get(subject, ())),
                }
            )
        return rows

    def health(self) -> dict[str, Any]:
        """Counters."""
        c = self.counters
        return {
            "owned": sum(d.owned for d in self.duties.values()),
            "running": self.running,
            "started": c.started,
            "failed": c.failed,
            "overruns": c.overruns,
            "gained": c.gained,
            "lost": c.lost,
            "handed_on": c.handed_on,
            "older_results": self.verdicts.dropped,
            "doubted": self.verdicts.surge is not None,
        }
