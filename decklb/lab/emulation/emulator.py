"""The emulated world: clients, managers with the real dispatcher and module, a network, engines, a list, faults.

Times are ms. Nothing of a run depends on anything but its `World` and the seed.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from decklb import interface as api
from decklb.core.attempts import Attempt, Request
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import IncomingRequest
from decklb.interface import Effect, Endpoint, Outcome, Phase, Settings
from decklb.lab.checks.request_invariants import Checker
from decklb.lab.emulation.engine_model import Engine, EngineSpec, Query
from decklb.lab.emulation.policies import POLICIES, Oracle
from decklb.lab.emulation.random_streams import Streams
from decklb.lab.emulation.run_records import Records
from decklb.lab.emulation.simulated_loop import Loop
from decklb.lab.emulation.workload import Arrivals, Workload, draw

if TYPE_CHECKING:
    from decklb.lab.emulation.shared_health_checks import Probing

WIND_DOWN = 2000.0  # ms after the last deadline in which all must be over
AGAIN = 50.0  # ms after which a client asks again whose manager has gone


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong at `at`: kill, vanish, drain, slow (by `times`) engines, or kill a manager.

    `share` of them are hit, drawn; `length` later they come back (an engine cold, under its own id).
    """

    at: float
    what: str
    length: float = 0.0
    share: float = 0.0
    count: int = 0
    times: float = 1.0


@dataclass(frozen=True, slots=True)
class World:
    """What is emulated."""

    workload: Workload
    managers: int = 3
    engines: int = 8
    engine: EngineSpec = field(default_factory=EngineSpec)
    span: float = 60_000.0
    warm: float = 0.0  # ms at the start that don't count
    policy: str = "decklb"
    delay: float = 0.5  # ms one way, mean
    jitter: float = 0.5  # share of it
    loss: float = 0.0  # of attempts' messages, either way
    list_late: float = 500.0  # ms until a manager hears of a change
    list_partial: float = 0.0  # share of news that names only what changed
    tick: float = 5.0
    max_attempts: int = 4
    extra_floor: float = 2.0
    extra_ratio: float = 0.1
    extra_window: float = 5000.0
    retry_after: float = 500.0
    faults: tuple[Fault, ...] = ()
    uneven: float = 0.0  # sigma of a lognormal factor on engines' speed
    probing: float = 0.0  # ms between probes of an engine, shared by the managers' cluster; 0 for none
    sample: int = 100_000  # requests kept in tables at the most

    def settings(self, me: int) -> Settings:
        """What each manager is told; true speeds are not."""
        w, e = self.workload, self.engine
        classes = {
            c.name: api.RequestClass(
                c.name,
                c.aim,
                c.deadline,
                c.worth,
                c.late_worth,
                0.0,
                Effect(c.effect),
                ordered_by_key=c.serial,
                threads=c.threads,
                locks_tables=c.holds,
                waits_for_loads=c.yields,
            )
            for c in w.classes
        }
        tenants = {t.name: api.TenantSpec(t.name, t.share) for t in w.tenants}
        return Settings(
            classes,
            tenants,
            gateway_index=me,
            gateway_count=self.managers,
            cores_by_kind={"k": e.cores},
            cancellation=True,
            retry_after=self.retry_after > 0,
            max_retry_after_ms=self.retry_after,
            max_attempts=self.max_attempts,
            slow_start_min_fraction=e.cold_share,
            slow_start_window_ms=e.cold,
            slow_start_overload_factor=e.overload,
            slow_start_budget_window_ms=e.fall,
            drain_grace_ms=2000.0,
            retry_budget_floor=self.extra_floor,
            retry_budget_ratio=self.extra_ratio,
            retry_budget_window_ms=self.extra_window,
            key_hold_down_ms=300.0,
            tick_ms=self.tick,
        )


class Client:
    """One request of the workload, from its first try to its last answer; the dispatcher's sink."""

    __slots__ = ("run", "index", "tries", "asked", "manager", "request", "attempts", "over")

    def __init__(self, run: Run, index: int) -> None:
        self.run, self.index = run, index
        self.tries, self.attempts = 0, 0
        self.asked = run.loop.now()
        self.manager: Manager | None = None
        self.request: Request | None = None
        self.over = False

    def served(self, result: bytes) -> None:
        """The whole result."""
        self._end("served")

    def rejected(self, retry_after_ms: float) -> None:
        """Ask again, as clients do, when told to; not past the deadline."""
        if self.over:  # its manager was killed, and what is left of it speaks for nobody
            return
        run = self.run
        lane = run.world.workload.classes[run.arrivals.lane[self.index]]
        wait = max(retry_after_ms, AGAIN)
        left = self.asked + lane.deadline - run.loop.now()
        if self.tries <= run.world.workload.retries and left > wait:
            self._told("refused")
            run.loop.call_later(wait, lambda: run.ask(self))
        else:
            self._end("refused")

    def failed(self) -> None:
        """No promise."""
        self._end("failed")

    def leave(self) -> None:
        """Patience is over."""
        if self.over:
            return
        if self.manager is not None and self.request is not None and not self.request.answered:
            self.manager.leave(self.request)
        self.over = True
        self.run.records.request(self, "left")

    def lost(self) -> None:
        """Its manager was killed."""
        if not self.over:
            self.over = True
            self.run.records.request(self, "lost")

    def _told(self, kind: str) -> None:
        if self.manager is not None and self.request is not None:
            self.manager.told(self.request, kind)
            self.attempts += len(self.request.attempts)

    def _end(self, kind: str) -> None:
        if not self.over:
            self._told(kind)
            self.over = True
            self.run.records.request(self, kind)


class Manager:
    """The real dispatcher and a policy; the engine client of the emulated network."""

    def __init__(self, run: Run, number: int) -> None:
        self.run, self.number = run, number
        self.life = 0
        self.up = False
        self.clients: dict[str, Client] = {}
        self.listed: dict[str, Phase] = {}
        self.heard = 0.0  # when the list last changed here
        self.cost = 0.0  # s spent in steps
        self.steps = 0

    def start(self) -> None:
        """From nothing, with the list as it is."""
        run = self.run
        self.life, self.up, self.clients = self.life + 1, True, {}
        settings = run.world.settings(self.number)
        seed = run.streams.number(f"manager {self.number} life {self.life}")
        self.rng = random.Random(seed)
        self.core = Dispatcher(settings, seed, run.loop, Port(self))
        if run.world.policy != "decklb":
            self.core.gateway = POLICIES[run.world.policy](settings, seed)  # type: ignore[assignment]
        if isinstance(self.core.gateway, Oracle):
            self.core.gateway.truth = lambda engine, work, threads: run.engines[engine].expected(work, threads)
        step = self.core.gateway.step

        def timed(now: float, events: list[api.Event]) -> list[api.Action]:
            begun = time.perf_counter()
            actions = step(now, events)
            self.cost += time.perf_counter() - begun
            self.steps += 1
            return actions

        self.core.gateway.step = timed  # type: ignore[method-assign]
        if run.probing is not None:
            run.probing.start(self)
        self.hear([run.entry(e) for e in run.engines.values()], True)

    def kill(self) -> None:
        """Without a word; what it sent goes on running."""
        self.up = False
        self.run.checker.died(self.number)
        if self.run.probing is not None:
            self.run.probing.kill(self)
        clients, self.clients = list(self.clients.values()), {}
        for client in clients:
            client.lost()

    def hear(self, entries: list[Endpoint], complete: bool) -> None:
        """News of the list."""
        if self.up:
            if complete:
                self.listed.clear()
            self.listed |= {e.engine_id: e.phase for e in entries}
            self.listed = {n: p for n, p in self.listed.items() if p is not Phase.REMOVED}
            self.heard = self.run.loop.now()
            self.core.post_event(api.EndpointsUpdated(entries, complete))
            if self.run.probing is not None:
                born = ((e.name, e.born) for e in self.run.engines.values())
                self.run.probing.listed(self, self.listed, born)

    def take(self, client: Client, work: IncomingRequest) -> None:
        """A request."""
        client.manager = self
        r = client.request = self.core.submit(work, client)
        self.clients[r.request_id] = client
        self.run.checker.arrived(self.run.loop.now(), self.number, r.request_id, work.request_class, work.ordering_key)

    def told(self, r: Request, kind: str) -> None:
        """The client has its answer."""
        if self.up:
            self.run.checker.answered(self.number, r.request_id, kind)
        self.clients.pop(r.request_id, None)

    def leave(self, r: Request) -> None:
        """The client has gone."""
        if self.up:
            self.run.checker.left(self.number, r.request_id)
            self.clients.pop(r.request_id, None)
            self.core.abandon(r)

    # The core's engine client.

    def start_attempt(self, a: Attempt) -> None:
        """One send."""
        run, life = self.run, self.life
        client = self.clients.get(a.request.request_id)
        engine = run.engines[a.engine_id]
        # Events are handed over once a tick: only after that the module knows.
        knows = run.loop.now() - self.heard > run.world.tick
        draining = knows and self.listed.get(a.engine_id) is not Phase.UP
        run.checker.sent(run.loop.now(), self.number, a.request.request_id, a.engine_id, draining)
        if client is None:  # answered between decision and send; the dispatcher lets none through
            return a.end(Outcome.NEVER_SENT)
        query = run.query(client.index, a.number)
        a.handle = query

        def back(outcome: Outcome) -> None:
            if life != self.life or not self.up or a.ended or a.abandoned:
                return
            run.checker.ended(self.number, a.request.request_id, outcome)
            run.records.attempt(a, outcome)
            a.end(outcome)

        def answer(outcome: Outcome) -> None:
            if not run.lost(self.rng):
                run.loop.call_later(run.delay(self.rng), lambda: back(outcome))

        query.done = answer
        if not run.lost(self.rng):
            run.loop.call_later(run.delay(self.rng), lambda: engine.submit(query) if query.state != "over" else None)

    def give_up(self, a: Attempt, freed: Callable[[], None]) -> None:
        """Call it off; it is free when the engine has heard."""
        run, life, query = self.run, self.life, a.handle
        engine = run.engines[a.engine_id]
        outcome = Outcome.TIMED_OUT if a.timed_out else Outcome.CANCELLED

        def heard() -> None:
            if isinstance(query, Query):
                if query.state in ("waiting", "running"):
                    engine.cancel(query)
                query.state = "over"
            if life == self.life and self.up:
                run.checker.ended(self.number, a.request.request_id, outcome)
                run.records.attempt(a, outcome)
                freed()

        run.loop.call_later(run.world.delay * (1 + run.world.jitter), heard)


class Port:
    """The engine client's port of one life of a manager; what a killed one still asks for is nobody's."""

    def __init__(self, manager: Manager) -> None:
        self.manager, self.life = manager, manager.life

    def _lives(self) -> bool:
        return self.manager.up and self.manager.life == self.life

    def start(self, attempt: Attempt) -> None:
        """One send."""
        if self._lives():
            self.manager.start_attempt(attempt)

    def abandon(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Call it off."""
        if self._lives():
            self.manager.give_up(attempt, freed)


class Run:
    """One run of a world with one seed."""

    def __init__(self, world: World, seed: int) -> None:
        self.world, self.seed = world, seed
        self.loop = Loop()
        self.streams = Streams(seed)
        self.arrivals: Arrivals = draw(world.workload, self.streams, world.span)
        self.checker = Checker(world.settings(0))
        self.records = Records(self)
        factors = self.streams.get("speeds").standard_normal(world.engines)
        self.engines: dict[str, Engine] = {}
        for i in range(world.engines):
            engine = self.engines[f"e{i}"] = Engine(self.loop, f"e{i}", world.engine)
            engine.set_slow(float(pow(2.718281828, world.uneven * factors[i])) if world.uneven else 1.0)
            engine.on_fall = lambda name=f"e{i}": self._fell(name)  # type: ignore[misc]
        self.managers = [Manager(self, i) for i in range(world.managers)]
        self.probing: Probing | None = None
        if world.probing:
            from decklb.lab.emulation.shared_health_checks import Probing

            self.probing = Probing(self, world.probing)
        self._next = 0
        self.late: random.Random = random.Random(self.streams.number("list"))

    # The network and the list.

    def delay(self, rng: random.Random) -> float:
        """One way."""
        w = self.world
        return w.delay * (1.0 + w.jitter * (2.0 * rng.random() - 1.0))

    def lost(self, rng: random.Random) -> bool:
        """Whether a message gets lost."""
        return self.world.loss > 0 and rng.random() < self.world.loss

    def entry(self, e: Engine) -> Endpoint:
        """A line of the list."""
        phase = Phase.DRAINING if e.draining else Phase.UP if e.up or e.silent else Phase.REMOVED
        return Endpoint(e.name, "", "k", 0, phase, float(e.spec.cores), max(0.0, e.born))

    def tell(self, changed: list[Engine]) -> None:
        """News of the list, late by manager, sometimes of the change alone."""
        for m in self.managers:
            part = self.late.random() < self.world.list_partial
            entries = [self.entry(e) for e in (changed if part else self.engines.values())]
            wait = self.world.list_late * (0.5 + self.late.random())
            self.loop.call_later(
                wait,
                lambda m=m, entries=entries, part=part: m.hear(  # type: ignore[misc]
                    entries if part else [x for x in entries if x.phase is not Phase.REMOVED], not part
                ),
            )

    def _fell(self, name: str) -> None:
        self.checker.fell(name)
        self.tell([self.engines[name]])
        self.loop.call_later(self.world.engine.restart + 1.0, lambda: self.tell([self.engines[name]]))

    # Clients.

    def query(self, index: int, leg: int) -> Query:
        """What an attempt of a request asks of an engine; plans are drawn anew for each, the same for any policy."""
        a, c = self.arrivals, self.world.workload.classes[self.arrivals.lane[index]]
        plan = c.runaway_times if c.runaway and a.plan[index, leg % 4] < c.runaway else 1.0
        return Query(float(a.work[index]), c.threads, c.io, c.memory, int(a.tables[index]), c.holds, c.yields, plan)

    def ask(self, client: Client) -> None:
        """A try of a request: at its own manager, or the next that is up."""
        a, w = self.arrivals, self.world.workload
        i = client.index
        if client.over:
            return
        first = int(a.manager[i] * len(self.managers))
        if a.key[i] >= 0:  # those of one key come to one manager while it is up
            first = int(a.key[i]) % len(self.managers)
        up = next(
            (m for k in range(len(self.managers)) if (m := self.managers[(first + k) % len(self.managers)]).up), None
        )
        lane = w.classes[a.lane[i]]
        left = client.asked + lane.deadline - self.loop.now()
        if up is None or left <= 0:
            client.lost()
            return
        client.tries += 1
        key = f"{lane.name}/{a.key[i]}" if a.key[i] >= 0 else None
        up.take(
            client,
            IncomingRequest(
                f"{i:x}.{client.tries}", lane.name, w.tenants[a.tenant[i]].name, left, b"", int(a.tables[i]), key
            ),
        )

    def _arrive(self) -> None:
        i = self._next
        self._next += 1
        if self._next < len(self.arrivals):
            self.loop.call_later(float(self.arrivals.time[self._next]) - self.loop.now(), self._arrive)
        client = Client(self, i)
        self.records.arrived(i)
        if self.arrivals.leaves[i] < 1e12:
            self.loop.call_later(float(self.arrivals.leaves[i]), client.leave)
        self.ask(client)

    # Faults.

    def _fault(self, number: int, f: Fault) -> None:
        rng = random.Random(self.streams.number(f"fault {number}"))
        if f.what == "manager":
            chosen = rng.sample(self.managers, min(len(self.managers), f.count or round(f.share * len(self.managers))))
            for m in chosen:
                if m.up:
                    m.kill()
                    if f.length:
                        self.loop.call_later(f.length, m.start)
            return
        engines = list(self.engines.values())
        hit = rng.sample(engines, min(len(engines), f.count or round(f.share * len(engines))))
        for e in hit:
            self._hit(e, f)
        if f.what != "slow":
            self.tell(hit)

    def _hit(self, e: Engine, f: Fault) -> None:
        if f.what == "slow":
            before = e.slow
            e.set_slow(before * f.times)
            if f.length:
                self.loop.call_later(f.length, lambda: e.set_slow(before))
        elif f.what == "drain":
            e.draining = True
            self.loop.call_later(self.world.list_late * 1.5 + 2000.0, lambda: e.die() if e.draining else None)
        else:
            e.die(silent=f.what == "vanish")
        if f.length and f.what != "slow":

            def back() -> None:
                e.silent = False
                e.start()
                self.tell([e])

            self.loop.call_later(f.length, back)

    # A run.

    def run(self) -> dict[str, Any]:
        """Play it; the summary."""
        began = time.perf_counter()
        for m in self.managers:
            m.start()
        if len(self.arrivals):
            self.loop.call_later(float(self.arrivals.time[0]), self._arrive)
        for i, f in enumerate(self.world.faults):
            self.loop.call_later(f.at, lambda i=i, f=f: self._fault(i, f))  # type: ignore[misc]
        self.records.start()
        longest = max(c.deadline for c in self.world.workload.classes)
        self.loop.run(
            max(self.world.span, float(self.arrivals.time[-1]) if len(self.arrivals) else 0.0) + longest + WIND_DOWN
        )
        self.checker.close()
        return self.records.summary(time.perf_counter() - began)
