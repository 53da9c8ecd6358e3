"""The decision module under settings drawn at random, held against the rules by a checker of its own.

Every run is one seed: classes of all effects, groups, windows, orders and placements; engines that come, drain and go;
requests that are taken back; attempts that fail, hang and are lost. Each verdict is the same every time.
"""

from __future__ import annotations

import copy
import heapq
import random
from bisect import bisect_left

import pytest

from decklb import interface as api
from decklb.interface import Effect, Outcome, Phase
from decklb.rules import Gateway
from decklb.state import DOUBTFUL, NEVER_RAN

TICK, SLACK, LONGEST = 5.0, 20.0, 20_000.0  # ms; SLACK: of a final answer


def draw_class(draw, name, zones):
    effect, deadline = draw.choice(list(Effect)), draw.choice([300.0, 1000.0, 5000.0, LONGEST])
    return api.ClassSpec(
        name,
        aim=deadline * draw.choice([0.1, 0.3, 1.0]),
        deadline=deadline,
        worth=draw.choice([1.0, 5.0]),
        late_worth=draw.choice([0.0, 0.5]),
        stretch=draw.choice([0.0, 2.0]),
        effect=effect,
        group=draw.choice(["all", "zone", "cell"]),
        serial=draw.random() < 0.3,
        threads=draw.choice([1, 2, 4]),
        memory_span=draw.choice([100.0, 1000.0, LONGEST]) if effect is Effect.KEYED else 0.0,
        zones=draw.choice([None, None, (draw.choice(zones),)]),
        kinds=draw.choice([None, None, None, ("k0",)]),
        holds=draw.random() < 0.2,
        yields=draw.random() < 0.3,
    )


def draw_settings(draw, zones):
    fronts = draw.choice([1, 2, 6, 200])
    return api.Settings(
        classes={f"c{i}": draw_class(draw, f"c{i}", zones) for i in range(draw.randint(1, 5))},
        tenants={n: api.TenantSpec(n, 0.5, draw.choice([None, 20.0])) for n in draw.choice([[], ["t0", "t1"]])},
        me=draw.randrange(fronts),
        fronts=fronts,
        zone=draw.choice(zones),
        cores={"k0": 8, "k1": draw.choice([1, 8])},
        memory={"k0": 16384.0, "k1": 1000.0},
        largest_share=0.4,
        grants=draw.random() < 0.5,
        ranks=draw.random() < 0.5,
        progress=draw.choice([0.0, 100.0, 1000.0]),
        over_share_worth=0.2,
        cancelling=draw.random() < 0.7,
        peers=draw.random() < 0.3,
        retry_after=draw.random() < 0.7,
        max_retry_after=500.0,
        duplicates=draw.random() < 0.3,
        max_attempts=draw.randint(1, 4),
        cold_share=0.3,
        cold=draw.choice([0.0, 5000.0]),
        overload_factor=3.0,
        fall=draw.choice([0.0, 1500.0]),
        drain_grace=draw.choice([50.0, 1000.0]),
        extra_floor=2.0,
        extra_ratio=draw.choice([None, 0.1]),
        extra_window=draw.choice([1000.0, 5000.0]),
        settle=draw.choice([0.0, 300.0]),
        tick=TICK,
    )


class Leg:
    def __init__(self, engine, sent):
        self.engine, self.sent, self.outcome, self.ended = engine, sent, None, 0.0


class Asked:
    def __init__(self, arrival, spec, at):
        self.arrival, self.spec, self.at, self.end, self.legs = arrival, spec, at, "", []

    def ran(self):
        return [leg for leg in self.legs if leg.outcome not in NEVER_RAN]

    def out(self):
        return [leg for leg in self.legs if leg.outcome is None]


DOUBT = "doubt"  # the end of an answered attempt's connection, soon after its answer


class World:
    """One front, its engines and clients; `broken` lists each rule that was broken."""

    def __init__(self, seed):
        self.draw = draw = random.Random(seed)
        self.zones = ["a", "b", "c"][: draw.randint(1, 3)]
        self.s = draw_settings(draw, self.zones)
        self.gateway = Gateway(self.s, seed)
        self.now, self.broken, self.events = 1000.0, [], []
        self.engines, self.told = {}, {}  # by id; since when it is told that one drains or is gone
        self.asked, self.keys, self.ends = {}, {}, []
        self.open = []
        self.taken, self.extra = [], []  # when requests came, when further attempts were sent
        self.rate, self.hold = draw.choice([0.02, 0.1, 0.3]), draw.choice([20, 200, 2000])
        self.lossy = draw.choice([0, 10])
        for _ in range(draw.randint(1, 6)):
            self.engine(0.0)
        self.events = [api.Members(list(self.engines.values()), True)]

    def engine(self, ready_at):
        name = f"e{len(self.engines)}"
        self.engines[name] = api.Entry(
            name,
            self.draw.choice(self.zones),
            self.draw.choice(["k0", "k1"]),
            self.draw.randint(0, 2),
            Phase.UP,
            1.0,
            ready_at,
        )
        self.events.append(api.Members([self.engines[name]], False))

    def play(self):
        end = self.now + self.draw.choice([1000, 3000])
        while self.now < end or self.ends or self.open:
            if self.now < end:
                self.arrivals()
                self.list_changes()
            self.leave()
            self.verdicts()
            actions, self.events = self.gateway.step(self.now, self.events), []
            for action in actions:
                self.check(action)
            self.open = [r for r in self.open if not r.end]
            for r in self.open:
                if self.now > r.at + r.arrival.time_left + SLACK:
                    r.end = "lost"
                    self.broken.append(f"{r.arrival.req} has no answer in time")
            self.now += TICK
        return self.broken

    def arrivals(self):
        many = 20 if self.draw.random() < 0.02 else 1
        while self.draw.random() < self.rate * many and many < 60:
            many += many > 1
            name, lane = f"r{len(self.asked)}", self.draw.choice(list(self.s.classes))
            spec = self.s.classes[lane]
            key = self.draw.choice("xyz") if spec.serial and self.draw.random() < 0.9 else None
            arrival = api.Arrival(
                name,
                lane,
                self.draw.choice(list(self.s.tenants) or [""]),
                spec.deadline * self.draw.choice([1.0, 0.8, 0.1]),
                self.draw.randint(0, 5),
                key,
                cost=self.draw.choice([0.0, 100.0, 5000.0]),
                need=self.draw.choice([0.0, 100.0]),
            )
            self.asked[name] = Asked(arrival, spec, self.now)
            self.open.append(self.asked[name])
            self.taken.append(self.now)
            self.events.append(arrival)
            if key is not None:
                self.keys.setdefault(key, []).append(name)

    def list_changes(self):
        if self.draw.random() < 0.01:
            x, phase = self.draw.choice(list(self.engines.values())), self.draw.choice(list(Phase))
            if x.phase is not Phase.REMOVED:
                back = phase is Phase.UP and x.phase is not Phase.UP
                x = self.engines[x.engine] = api.Entry(
                    x.engine, x.zone, x.kind, x.cell, phase, 1.0, self.now if back else x.ready_at
                )
                if phase is Phase.UP:
                    self.told.pop(x.engine, None)
                else:
                    self.told.setdefault(x.engine, self.now)
                self.events.append(api.Members([x], False))
        if self.draw.random() < 0.005:
            self.engine(self.now)

    def leave(self):
        for r in self.open:
            if self.draw.random() < 0.0005:
                r.end = "left"
                self.events.append(api.Left(r.arrival.req))

    def verdicts(self):
        while self.ends and self.ends[0][0] <= self.now:
            _, _, name, number, outcome = heapq.heappop(self.ends)
            r = self.asked[name]
            leg = r.legs[number]
            if outcome is DOUBT:
                leg.outcome, leg.ended = Outcome.RST, self.now
                self.events.append(api.Doubted(r.arrival.key))
            if leg.outcome is not None:
                continue
            if outcome is None:
                self.events.append(api.Progress(name, number, self.draw.randint(1, 3), self.draw.random()))
                continue
            leg.outcome, leg.ended = outcome, self.now
            if outcome is Outcome.GOOD:
                r.end = r.end or "served"
                if r.arrival.key is not None and self.draw.random() < 0.2:
                    self.later(self.draw.random() * self.s.settle, name, number, DOUBT)
            self.events.append(api.Verdict(name, number, leg.engine, outcome, self.now - leg.sent + 0.001, bool(r.end)))

    def later(self, wait, name, number, outcome):
        heapq.heappush(self.ends, (self.now + wait, len(self.ends) + self.draw.random(), name, number, outcome))

    def check(self, action):
        if isinstance(action, api.Send):
            r = self.asked[action.req]
            self.broken += [f"{action.req}: {fault}" for fault, holds in self.faults(r, action) if holds]
            self.send(r, action)
        elif isinstance(action, api.Cancel):
            if not self.s.cancelling:
                self.broken.append(f"{action.req} is cancelled where nothing may be")
            self.later(self.draw.random() * 3, action.req, action.leg, Outcome.CXL)
        elif isinstance(action, api.Refuse | api.Fail):
            r, refused = self.asked[action.req], isinstance(action, api.Refuse)
            if r.end in ("refused", "failed", "lost"):
                self.broken.append(f"{action.req} is answered twice")
            keeps = r.spec.effect is Effect.UNSAFE or r.spec.effect is Effect.KEYED and r.spec.group != "all"
            if refused and not r.end and r.ran() and keeps:
                self.broken.append(f"{action.req} is refused though it may have run")
            r.end = r.end or ("refused" if refused else "failed")

    def faults(self, r, action):
        s, spec, x, ran = self.s, r.spec, self.engines[action.engine], r.ran()
        yield "sent after its end", r.end
        yield "too many attempts", len(r.legs) >= s.max_attempts
        yield "overlap", r.out() and not (s.duplicates and spec.effect is not Effect.UNSAFE)
        yield "unsafe repeat", ran and spec.effect is Effect.UNSAFE
        if ran and spec.effect is Effect.KEYED:
            home = self.engines[ran[0].engine]
            yield "past its window", self.now > ran[0].sent + spec.memory_span
            yield "out of its zone", spec.group != "all" and home.zone != x.zone
            yield "out of its cell", spec.group == "cell" and home.cell != x.cell
        yield "to one that drains", self.now > self.told.get(x.engine, self.now) + s.drain_grace
        yield "placement", spec.zones and x.zone not in spec.zones or spec.kinds and x.kind not in spec.kinds
        if spec.serial and r.arrival.key is not None:
            line = self.keys[r.arrival.key]
            for before in (self.asked[name] for name in line[: line.index(action.req)]):
                yield "out of order", not before.end or before.out()
                rest = [leg.ended + s.settle for leg in before.legs if leg.outcome in DOUBTFUL]
                yield "key at rest", any(self.now < until for until in rest)
        if r.legs and s.extra_ratio is not None:
            since = self.now - s.extra_window
            room = s.extra_floor + s.extra_ratio * (len(self.taken) - bisect_left(self.taken, since))
            yield "over the ration", 1 + sum(t >= since for t in self.extra) > room + 1e-9

    def send(self, r, action):
        number = len(r.legs)
        if number:
            self.extra.append(self.now)
        r.legs.append(Leg(action.engine, self.now))
        wait = max(0.0, min(action.max_wait or LONGEST, r.at + r.arrival.time_left - self.now))
        kinds = Outcome.GOOD, Outcome.BAD, Outcome.FULL, Outcome.NOCONN, Outcome.RST, Outcome.LATE
        outcome = self.draw.choices(kinds, [70, 5, 5, 5, 5, self.lossy])[0]
        took = self.draw.expovariate(1 / self.hold)
        if outcome is Outcome.LATE or took > wait:
            outcome, took = Outcome.LATE, wait
        self.later(took, action.req, number, outcome)
        if self.s.progress:
            self.later(self.s.progress, action.req, number, None)


@pytest.mark.parametrize("seed", range(0, 60, 10))
def test_no_rule_is_broken_under_any_settings(seed):
    for n in range(seed, seed + 10):
        assert World(n).play() == [], n


@pytest.mark.parametrize(
    ("fault", "plant"),
    [
        ("over the ration", lambda s: setattr(s, "extra_ratio", None)),
        ("unsafe repeat", lambda s: [setattr(c, "effect", Effect.SAFE) for c in s.classes.values()]),
        ("key at rest", lambda s: setattr(s, "settle", s.settle / 2)),
        ("out of order", lambda s: [setattr(c, "serial", False) for c in s.classes.values()]),
        ("past its window", lambda s: [setattr(c, "memory_span", LONGEST) for c in s.classes.values()]),
        ("to one that drains", lambda s: s.fronts),
        ("has no answer in time", lambda s: s.fronts),
    ],
)
def test_the_checker_finds_a_planted_fault(fault, plant):
    for seed in range(60):
        world = World(seed)
        wrong = copy.deepcopy(world.s)
        plant(wrong)
        world.gateway = Gateway(wrong, seed)
        if fault == "to one that drains":
            world.gateway.fleet.up = lambda g=world.gateway: list(g.fleet.engines.values())
            world.gateway.fleet.order = lambda group, g=world.gateway: list(g.fleet.engines.values())
        elif fault == "has no answer in time":
            world.gateway._sweep = lambda: None
        if any(fault in x for x in world.play()):
            return
    pytest.fail(f"never found: {fault}")
