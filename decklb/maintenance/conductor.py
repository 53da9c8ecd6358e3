"""One member's whole part in the fleet's plan: its copy of the register, its word to the others, and, where it is the
one to do so, the next step (free of I/O).

Any member takes an operator's request. One member does the steps, the first by a hash of names among those alive, so
that the loss of one moves the duty at once; should two believe that it is theirs, the register makes one line of what
both propose, and a step that was done is none on the plan as it then is.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any
from zlib import crc32

from decklb.cluster.errors import WireError
from decklb.cluster.notices import Notice
from decklb.maintenance import messages as m
from decklb.maintenance.plan import (
    AWAY,
    HELD,
    MANAGERS,
    Engine,
    Facts,
    Plan,
    Stage,
    advance,
    back,
    cancel,
    overdue,
    request,
)
from decklb.maintenance.register import Memory, Register, Settled
from decklb.maintenance.settings import MaintenanceSettings

Told = Callable[[Plan | Exception], None]
STEP = 12  # times `patience` for which a step is proposed: three tries, each longer than the one before
QUIET = 4  # ticks between words of a member that has nothing new to say


@dataclass(slots=True)
class Own:
    """What this member sees: given at each tick."""

    busy: Mapping[str, int] = field(default_factory=dict)  # attempts out, by engine
    down: frozenset[str] = frozenset()  # engines that it can't reach
    load: Mapping[str, float] = field(default_factory=dict)  # cores, by zone of the callers
    unwell: frozenset[str] = frozenset()  # zones


def manager(name: str) -> str:
    """What a manager is called as a machine."""
    return f"manager:{name}"


class Conductor:
    """One member. `out` gathers (member, datagram); "" goes to all others."""

    def __init__(
        self,
        settings: MaintenanceSettings,
        me: str,
        boot: int,
        rng: random.Random,
        now: float,
        memory: Memory | None = None,
        keep: Callable[[Memory], bool] = lambda memory: True,
    ) -> None:
        """`memory` and `keep`: see Register."""
        self.s, self.me, self.boot = settings, me, boot
        self.register: Register[Plan] = Register(
            me, Plan(), m.pack_plan, m.read_plan, settings.members, settings.patience, rng, now, memory, keep
        )
        self.engines: dict[str, tuple[str, float]] = {}  # zone and cores of all on the list
        self.out: list[tuple[str, bytes]] = []
        self.notices: list[Notice] = []
        self.counts: Counter[str] = Counter()
        self.alive: frozenset[str] = frozenset((me,))
        self.reports: dict[str, tuple[m.Report, float]] = {}
        self.since: dict[str, float] = {}  # when each member was first known here
        self._started = {me: now}  # when each member's process was first heard here, this one's own included
        self.own = Own()
        self._reader = m.Reader()
        self._word = rng.getrandbits(31) << 20
        self._said: tuple[Any, ...] = ()
        self._ticks = 0
        self._seen = Plan()  # of which the log has told
        self._known_since = now  # when this member came to know the plan as it stands
        self._late: set[str] = set()
        self._went: frozenset[str] = frozenset()  # engines seen down since they are out
        self._leaving = False
        self._now, self._wall = now, 0.0

    @property
    def plan(self) -> Plan:
        """The newest that this member knows to be agreed on."""
        return self.register.settled

    @property
    def driver(self) -> str:
        """Who does the steps, as this member sees it."""
        return min(self.alive, key=lambda n: (crc32(f"plan/{n}".encode()), n))

    # What operators ask, at any member.

    def ask(self, ident: str, what: Iterable[str], reason: str, window: float, until: float, done: Told) -> None:
        """Take machines out: engines by id, zone or pattern, managers as `manager:NAME`."""
        names, listed = tuple(what), self.machines()
        wanted = window or self.s.window
        self.register.propose(lambda p: request(p, ident, names, reason, round(wanted), listed, self.s), done, until)

    def cancel(self, ident: str, wall: float, until: float, done: Told) -> None:
        """End a job at once."""
        self.register.propose(lambda p: cancel(p, ident, round(wall)), done, until)

    def back(self, name: str, wall: float, until: float, done: Told) -> None:
        """The work on a machine is done."""
        self.register.propose(lambda p: back(p, name, round(wall)), done, until)

    # Driven from outside.

    def members(self, now: float, alive: Collection[str], known: Collection[str]) -> None:
        """Who is alive, and all members that have not left."""
        self.alive = frozenset(alive) | {self.me}
        for name in [n for n in self.reports if n not in known]:
            del self.reports[name]
        self.since = {n: self.since.get(n, now) for n in known if n != self.me}

    def hear(self, now: float, sender: str, data: bytes) -> None:
        """Another member's datagram; one that can't be read is counted and loses nothing else."""
        self._now = now
        try:
            message = self._reader.feed(sender, data)
            if isinstance(message, m.Report):
                if sender not in self.reports or self.reports[sender][0].boot != message.boot:
                    self._started[sender] = now
                self.reports[sender] = message, now
                if message.ballot < self.register.settled_at:  # it missed the newest
                    self._send(sender, Settled(self.register.settled_at, m.pack_plan(self.plan)))
            elif message is not None:
                self.register.hear(now, sender, message)
        except WireError as error:
            self.counts[f"dropped-{error.reason}"] += 1
        self._flush()

    def tick(self, now: float, wall: float, own: Own) -> None:
        """What time does; `out` and `notices` are to be emptied after it."""
        self.own = own
        self._ticks += 1
        self.register.tick(now)
        self._now, self._wall = now, wall - now
        out = {x.name for j in self.plan.jobs for x in j.machines if x.stage is Stage.OUT}
        self._went = frozenset(out & (self._went | own.down))
        idle = not self.register.forgetful and not self.register.busy
        if idle and self.driver == self.me and self._next(self.plan) is not self.plan:
            self.register.propose(self._next, self._stepped, now + STEP * self.s.patience)
        self._report()
        self._flush()
        self._tell(wall)

    def away(self) -> frozenset[str]:
        """Engines that no work may be sent to, by a plan that may have been agreed on too."""
        return self.plan.away() | self.register.newest.away()

    def watched(self) -> frozenset[str]:
        """Engines to be probed for the plan: those away or just back."""
        return frozenset(x.name for j in self.plan.jobs for x in j.machines if x.stage in HELD and x.zone != MANAGERS)

    def leaving(self) -> bool:
        """Whether this manager is to end now, for a restart: once, and only if it is the run that was told to."""
        mine = self.plan.machine(manager(self.me))
        if mine is None or self._leaving or mine.stage not in AWAY or mine.boot != self.boot:
            return False
        self._leaving = True
        return True

    def facts(self, now: float, wall: float, plan: Plan) -> Facts:
        """What is known now, for a step on this plan."""
        fresh = {n: r for n, (r, at) in self.reports.items() if now - at <= self.s.fresh}
        told = self.plan.steps >= plan.steps and all(
            n in fresh and fresh[n].steps >= plan.steps or self._absent(n, now) for n in self.since
        )
        engines = {}
        for name, (zone, cores) in self.engines.items():
            votes = [name not in r.down for r in fresh.values()] + [name not in self.own.down]
            busy = self.own.busy.get(name, 0) + sum(r.busy.get(name, 0) for r in fresh.values())
            went = (name in self._went) + sum(name in r.went for r in fresh.values())
            # A majority of all members: whoever has said nothing for a while has not said that it is up either.
            engines[name] = Engine(
                name, zone, cores, 2 * sum(votes) > self.s.members, busy, went=2 * went > self.s.members
            )
        clear = all(
            now - self._started.get(n, now) >= self.s.drain for n in {self.me, *self.since} if not self._absent(n, now)
        )
        return Facts(
            round(wall),
            engines | self._managers(fresh),
            self.own.load,
            self.own.unwell,
            told,
            now - self._known_since,
            clear,
        )

    def machines(self) -> Mapping[str, Engine]:
        """All that may be named."""
        return {n: Engine(n, zone, cores) for n, (zone, cores) in self.engines.items()} | self._managers(
            {n: r for n, (r, _) in self.reports.items()}
        )

    # Inside.

    def _next(self, plan: Plan) -> Plan:
        """By what is known when it is asked: a proposal may have waited."""
        return advance(plan, self.facts(self._now, self._now + self._wall, plan), self.s)

    def _managers(self, fresh: Mapping[str, m.Report]) -> dict[str, Engine]:
        boots = {n: r.boot for n, r in fresh.items()} | {self.me: self.boot}
        return {
            manager(n): Engine(manager(n), MANAGERS, 0.0, n in self.alive and n in boots, 0, boots.get(n, 0))
            for n in {*boots, *self.since}
        }

    def _absent(self, name: str, now: float) -> bool:
        """Whether a member has said nothing for so long that it is no longer waited for."""
        if name == self.me:
            return False
        last = self.reports[name][1] if name in self.reports else self.since[name]
        return name not in self.alive and now - last >= self.s.absent

    def _report(self) -> None:
        away = {x.name for j in self.plan.jobs for x in j.machines if x.stage in AWAY}
        busy = {n: c for n, c in self.own.busy.items() if n in away and c}
        down = sorted(n for n in self.own.down if n in self.engines)[:1000]
        went = sorted(self._went)
        gist = (self.plan.steps, self.register.settled_at, tuple(sorted(busy.items())), tuple(down), tuple(went))
        if gist != self._said or self._ticks % QUIET == 0:
            self._said = gist
            self._send("", m.Report(self.plan.steps, self.register.settled_at, self.boot, busy, down, went))

    def _stepped(self, plan: Plan | Exception) -> None:
        self.counts["steps" if isinstance(plan, Plan) else "undecided"] += 1

    def _send(self, to: str, message: m.Message) -> None:
        self._word += 1
        try:
            self.out += [(to, data) for data in m.parts(self._word, message)]
        except ValueError as error:
            self.notices.append(Notice("plan-too-large", {"error": str(error)}))

    def _flush(self) -> None:
        out, self.register.out = self.register.out, []
        for to, message in out:
            self._send(to, message)

    def _tell(self, wall: float) -> None:
        """What has changed, for the log."""
        plan, before = self.plan, self._seen
        late = {x.name for x in overdue(plan, round(wall))}
        for name in sorted(late - self._late):
            self.notices.append(Notice("plan-overdue", {"machine": name}))
        self._late = late
        if plan is before:
            return
        self._seen, self._known_since = plan, self._now
        old = {(j.ident, x.name): x.stage for j in before.jobs for x in j.machines}
        for j in plan.jobs:
            for x in j.machines:
                if old.get((j.ident, x.name)) is not x.stage:
                    self.notices.append(
                        Notice(
                            "plan-step",
                            {
                                "job": j.ident,
                                "machine": x.name,
                                "zone": x.zone,
                                "stage": x.stage.name.lower(),
                                "step": x.step,
                            },
                        )
                    )
        if plan.hold != before.hold and plan.hold:
            self.notices.append(Notice("plan-held", {"why": plan.hold}))

    def rows(self, now: float, wall: float) -> dict[str, Any]:
        """For operators."""
        plan = self.plan
        late = {x.name for x in overdue(plan, round(wall))}
        jobs = [
            {
                "job": j.ident,
                "reason": j.reason,
                "open": j.live,
                "window_ms": j.window,
                "machines": [
                    {
                        "machine": x.name,
                        "zone": x.zone,
                        "stage": x.stage.name.lower(),
                        "overdue": x.name in late,
                        "since_ms": max(0, round(wall) - x.at) if x.at else None,
                    }
                    for x in j.machines
                ],
            }
            for j in plan.jobs
        ]
        facts = self.facts(now, wall, plan)
        return {
            "jobs": jobs,
            "hold": plan.hold,
            "steps": plan.steps,
            "driver": self.driver,
            "told": facts.told,
            "remembers": not self.register.forgetful,
            "settled": list(self.register.settled_at),
            "machines": sorted(self.machines()),
            "counts": dict(self.counts),
        }
