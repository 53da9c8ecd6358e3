"""The plan on the cluster's datagrams, the engines' connections and a clock; does here what it says of this member."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from loguru import logger
from twisted.internet.defer import Deferred

from decklb.cluster.runtime import ClusterService, log_notices, wall
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock, Timer
from decklb.interface import Entry, Phase
from decklb.locality.runtime import LocalityService
from decklb.locality.sight import in_use
from decklb.locality.zones import State
from decklb.maintenance.conductor import Conductor, Own
from decklb.maintenance.errors import MaintenanceError
from decklb.maintenance.messages import TOPIC
from decklb.maintenance.plan import Plan, Stage
from decklb.maintenance.register import Memory
from decklb.maintenance.settings import MaintenanceSettings
from decklb.wire.prober import Address, Prober

if TYPE_CHECKING:
    from decklb.maintenance.store import PlanStore

WAIT = 8000.0  # ms after which an operator is told that no majority has answered
MISSES = 2  # probes in a row without an answer, after which a machine of the plan is down


class MaintenanceService:
    """One member. `changed` is called when the list of engines has to be read over again, `leave` when this manager is
    to end for a restart."""

    def __init__(
        self,
        clock: Clock,
        settings: MaintenanceSettings,
        cluster: ClusterService,
        locality: LocalityService,
        dispatcher: Dispatcher,
        prober: Prober,
        changed: Callable[[], None],
        leave: Callable[[], None],
    ) -> None:
        self.clock, self.s, self.cluster, self.locality = clock, settings, cluster, locality
        self.dispatcher, self.prober, self.changed, self.leave = dispatcher, prober, changed, leave
        self.store: PlanStore | None = None
        me, memory = cluster.settings.member, None
        if settings.data:
            from decklb.maintenance.store import PlanStore

            self.store = PlanStore(settings.data, me)
            memory = self.store.read()
        self._failed = False  # the store could not be written the last time
        self.conductor = Conductor(
            settings,
            me,
            random.SystemRandom().getrandbits(48) or 1,
            random.Random(os.urandom(16)),
            clock.now(),
            memory,
            self._keep,
        )
        self.addresses: Mapping[str, Address] = {}
        self.timer: Timer | None = None
        self._misses: dict[str, int] = {}  # of machines that the plan watches
        self._asked: set[str] = set()
        self._told: tuple[frozenset[str], frozenset[str]] = frozenset(), frozenset()
        self._warm: dict[str, float] = {}  # since when each machine warms, on this member's clock
        self.closed = False

    def start(self) -> None:
        """Listen for words, and look from now on."""
        self.cluster.topics[TOPIC] = self._heard
        self._arm()

    # The list of engines.

    def over(self, entries: list[Entry], addresses: Mapping[str, Address]) -> list[Entry]:
        """The list as the plan lets it be used: what is away drains, what has come back is cold."""
        self.addresses = addresses
        self.conductor.engines = in_use(entries, self.dispatcher.settings.cores)
        away = self.conductor.away()
        return [
            replace(e, phase=Phase.DRAINING)
            if e.engine in away and e.phase is Phase.UP
            else replace(e, ready_at=self._warm[e.engine])
            if e.engine in self._warm
            else e
            for e in entries
        ]

    # What operators ask; each Deferred ends with the count of steps done, or MaintenanceError.

    def ask(self, asked: Mapping[str, Any]) -> Deferred[Any]:
        """`job`, `machines`, `reason`, `window` (ms)."""
        job, names = str(asked.get("job", "")), asked.get("machines")
        if not job or len(job) > 64 or not isinstance(names, list) or not names:
            raise MaintenanceError("a request needs a job's name of at most 64 characters, and machines")
        window = asked.get("window") or 0
        if not isinstance(window, int | float) or window < 0:
            raise MaintenanceError("window is a number of ms above 0")
        return self._agreed(
            lambda until, done: self.conductor.ask(
                job, [str(x) for x in names], str(asked.get("reason", ""))[:200], window, until, done
            )
        )

    def cancel(self, asked: Mapping[str, Any]) -> Deferred[Any]:
        """`job`."""
        return self._agreed(lambda until, done: self.conductor.cancel(str(asked.get("job", "")), wall(), until, done))

    def back(self, asked: Mapping[str, Any]) -> Deferred[Any]:
        """`machine`."""
        return self._agreed(lambda until, done: self.conductor.back(str(asked.get("machine", "")), wall(), until, done))

    def status(self) -> dict[str, Any]:
        """See Conductor.rows."""
        return self.conductor.rows(self.clock.now(), wall())

    # Inside.

    def _keep(self, memory: Memory) -> bool:
        """Whether it is on disk, where there is a folder: a member that can't keep its word gives none."""
        if self.store is None:
            return not self.s.data  # or it is closed
        try:
            self.store.write(memory)
        except MaintenanceError as error:
            if not self._failed:
                logger.error(
                    "the plan's store can't be written, this member takes no part: {error}",
                    event="plan-store-failed",
                    error=str(error),
                )
            self._failed = True
            return False
        self._failed = False
        return True

    def _agreed(self, propose: Callable[[float, Callable[[Plan | Exception], None]], None]) -> Deferred[Any]:
        made: Deferred[Any] = Deferred()

        def done(plan: Plan | Exception) -> None:
            if isinstance(plan, Plan):
                made.callback({"steps": plan.steps})
            else:
                made.errback(plan)

        propose(self.clock.now() + WAIT, done)
        return made

    def _arm(self) -> None:
        self.timer = self.clock.call_later(self.s.tick, self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = self.clock.now()
        membership = self.cluster.node.membership
        self.conductor.members(now, membership.live.items, self.cluster.node.known())
        council = self.locality.council
        unwell = frozenset(z for z in council.common.zones if council.state(z)[0] is not State.HEALTHY)
        busy = {name: len(x.out) for name, x in self.dispatcher.gateway.fleet.engines.items() if x.out}
        watched = self.conductor.watched()
        self._misses = {n: c for n, c in self._misses.items() if n in watched}
        down = {n for n, c in self._misses.items() if c >= MISSES}
        down |= {n for n in self.locality.sight.down() if n not in watched}
        self.conductor.tick(now, wall(), Own(busy, frozenset(down), council.demand(now), unwell))
        for name in watched - self._asked:
            if (address := self.addresses.get(name)) is not None:
                self._asked.add(name)
                self.prober.probe(name, address, self.s.tick, self._probed(name))
        self._pump()
        self._obey(now)
        if not self.closed:  # it may have been this manager's turn
            self._arm()

    def _obey(self, now: float) -> None:
        """What the plan says of the list, and of this manager."""
        plan = self.conductor.plan
        warm = frozenset(x.name for j in plan.jobs for x in j.machines if x.stage is Stage.WARMING)
        self._warm = {n: self._warm.get(n, now) for n in warm}
        if (told := (self.conductor.away(), warm)) != self._told:
            self._told = told
            self.changed()
        if self.conductor.leaving():
            logger.info("this manager is to be restarted by the plan", event="plan-leaves")
            self.leave()

    def _probed(self, name: str) -> Callable[[bool], None]:
        def done(ok: bool) -> None:
            self._asked.discard(name)
            if not self.closed:
                self._misses[name] = 0 if ok else self._misses.get(name, 0) + 1

        return done

    def _heard(self, sender: str, data: bytes) -> None:
        self.conductor.hear(self.clock.now(), sender, data)
        self._pump()

    def _pump(self) -> None:
        out, self.conductor.out = self.conductor.out, []
        for to, data in out:
            self.cluster.carry(TOPIC, data, to)
        notices, self.conductor.notices = self.conductor.notices, []
        log_notices("plan", notices)

    def close(self) -> None:
        """The program ends."""
        self.closed = True
        self.cluster.topics.pop(TOPIC, None)
        if self.timer is not None:
            self.timer.cancel()
        self.prober.close()
        if self.store is not None:
            self.store.close()
            self.store = None
