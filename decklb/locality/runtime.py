"""The locality on the cluster's datagrams, the engines' connections and a clock; logs what it notices."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from typing import Any

from loguru import logger

from decklb.cluster.runtime import ClusterService, log_notices
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import Clock, Timer
from decklb.interface import Entry, Outcome
from decklb.locality.council import Council
from decklb.locality.messages import TOPIC
from decklb.locality.settings import LocalitySettings
from decklb.locality.sight import Sight, in_use
from decklb.locality.steering import Steering
from decklb.wire.prober import Address, Prober

LARGE = 50  # members from which on words are told more rarely, so that each bears no more of them
PACE = 3000.0  # ms over which the rate of requests is taken
SURE = 10  # answers of a class after which its work is taken for known
REPEAT = 1000.0  # ms after which the module is told again of an engine that can't be reached


class LocalityService:
    """One member. It stands beside the dispatcher as its `places`."""

    def __init__(
        self, clock: Clock, settings: LocalitySettings, cluster: ClusterService, dispatcher: Dispatcher, prober: Prober
    ) -> None:
        self.clock, self.s, self.cluster, self.dispatcher, self.prober = clock, settings, cluster, dispatcher, prober
        me = cluster.settings.member
        self.sight, self.council = Sight(settings, me), Council(settings, me, clock.now())
        self.steering = Steering(settings, dispatcher.settings.classes, dispatcher.settings.cores)
        self.addresses: Mapping[str, Address] = {}
        self.timer: Timer | None = None
        self._taken: Counter[str] = Counter()  # requests since the last tick, by class
        self._rates: dict[str, float] = {}  # a second
        self._last = clock.now()
        self._told: dict[str, float] = {}  # engines that the module was told can't be reached, and when
        self._strange: set[str] = set()
        self.closed = False

    def start(self) -> None:
        """Listen for words, and look from now on."""
        self.cluster.topics[TOPIC] = self._heard
        self.dispatcher.places = self
        self._arm()

    def engines(self, entries: list[Entry], addresses: Mapping[str, Address]) -> None:
        """The list of engines."""
        self.addresses = addresses
        self.sight.listed(in_use(entries, self.dispatcher.settings.cores))
        self.steering.listed(entries)
        for zone in sorted({e.zone for e in entries} - self.steering.region.keys() - self._strange):
            self._strange.add(zone)
            logger.warning(
                "zone {zone!r} stands in no <region>: it is never judged, and a region of its own",
                event="zone-unknown",
                zone=zone,
            )

    # As the dispatcher's places.

    def place(self, lane: str) -> tuple[str, Collection[str] | None]:
        """For one request of a class: the zone to use first, and all that it may use."""
        self._taken[lane] += 1
        usual, spec = self.dispatcher.gateway.usual.get(lane), self.dispatcher.settings.classes.get(lane)
        # The mean, not the least that a request takes, by which a budget would be overdrawn.
        work = usual.hold * spec.threads if usual is not None and spec is not None else 0.0
        return self.steering.place(self.clock.now(), lane, work, self.council)

    def ended(self, engine: str, lane: str, outcome: Outcome, took: float) -> None:
        """How an attempt ended."""
        self.sight.ended(self.clock.now(), engine, lane, outcome, took)

    # Inside.

    def _arm(self) -> None:
        members = len(self.council.common.known)
        self.timer = self.clock.call_later(self.s.tick * max(1.0, members / LARGE), self._tick)

    def _tick(self) -> None:
        self.timer = None
        now = self.clock.now()
        self.council.members(self.cluster.node.known())
        for zone in self.council.common.zones:
            view = self.sight.view(zone, now)
            if view is not None:
                self.council.saw(now, zone, view)
        self.council.load = self._load(now)
        self.council.tick(now)
        out, self.council.out = self.council.out, []
        for data in out:
            self.cluster.carry(TOPIC, data)
        notices, self.council.notices = self.council.notices, []
        log_notices("zones", notices)
        for engine in self.sight.due(now, len(self.council.common.known)):
            if (address := self.addresses.get(engine)) is not None:
                self.prober.probe(engine, address, self.s.timeout, self._probed(engine, now))
        self._tell(now)
        self._arm()

    def _load(self, now: float) -> float:
        """Cores that the own callers ask for, by the module's own figures of each class's work."""
        span, self._last = max(1.0, now - self._last), now
        weight, load = 1 - math.exp(-span / PACE), 0.0
        for lane, u in self.dispatcher.gateway.usual.items():
            rate = self._rates.get(lane, 0.0)
            rate = self._rates[lane] = rate + weight * (1000 * self._taken[lane] / span - rate)
            load += rate * u.work / 1000 if u.n >= SURE else 0.0
        self._taken.clear()
        return load

    def _probed(self, engine: str, asked: float) -> Callable[[bool], None]:
        def done(ok: bool) -> None:
            if not self.closed:
                now = self.clock.now()
                self.sight.probed(now, engine, ok, now - asked)

        return done

    def _tell(self, now: float) -> None:
        """The module leaves out what this member can't reach; it need not find out by a request each."""
        down = set(self.sight.down())
        self._told = {e: at for e, at in self._told.items() if e in down}
        for engine in down:
            if now - self._told.get(engine, -REPEAT) >= REPEAT:
                self._told[engine] = now
                self.dispatcher.probed(engine, Outcome.NOCONN)

    def _heard(self, sender: str, data: bytes) -> None:
        self.council.hear(self.clock.now(), sender, data)

    def close(self) -> None:
        """The program ends; requests that still come go anywhere."""
        self.closed = True
        self.dispatcher.places = None
        self.cluster.topics.pop(TOPIC, None)
        if self.timer is not None:
            self.timer.cancel()
        self.prober.close()

    def rows(self) -> dict[str, Any]:
        """For operators."""
        now, council = self.clock.now(), self.council
        return {
            "zones": council.rows(now),
            "alone": council.alone,
            "members": len(council.common.known),
            "quorum": council.common.quorum,
            "dropped": council.dropped,
            "unreached": self.sight.down(),
            **self.steering.counts,
        }
