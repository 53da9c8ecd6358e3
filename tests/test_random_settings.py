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


def draw_class(draw, name, zones) -> api.RequestClass:
    effect, deadline = draw.choice(list(Effect)), draw.choice([300.0, 1000.0, 5000.0, LONGEST])
    return api.RequestClass(
        name,
        latency_objective_ms=deadline * draw.choice([0.1, 0.3, 1.0]),
        deadline_ms=deadline,
        priority_weight=draw.choice([1.0, 5.0]),
        late_priority_weight=draw.choice([0.0, 0.5]),
        objective_stretch=draw.choice([0.0, 2.0]),
        effect=effect,
        deduplication_scope=draw.choice(["all", "zone", "cell"]),
        ordered_by_key=draw.random() < 0.3,
        threads=draw.choice([1, 2, 4]),
        deduplication_window_ms=draw.choice([100.0, 1000.0, LONGEST]) if effect is Effect.KEYED else 0.0,
        allowed_zones=draw.choice([None, None, (draw.choice(zones),)]),
        allowed_kinds=draw.choice([None, None, None, ("k0",)]),
        locks_tables=draw.random() < 0.2,
        waits_for_loads=draw.random() < 0.3,
    )


def draw_settings(draw, zones) -> api.Settings:
    fronts = draw.choice([1, 2, 6, 200])
    return api.Settings(
        classes={f"c{i}": draw_class(draw, f"c{i}", zones) for i in range(draw.randint(1, 5))},
        tenants={n: api.TenantSpec(n, 0.5, draw.choice([None, 20.0])) for n in draw.choice([[], ["t0", "t1"]])},
        gateway_index=draw.randrange(fronts),
        gateway_count=fronts,
        zone=draw.choice(zones),
        cores_by_kind={"k0": 8, "k1": draw.choice([1, 8])},
        memory_mb_by_kind={"k0": 16384.0, "k1": 1000.0},
        largest_grant_fraction=0.4,
        memory_grants=draw.random() < 0.5,
        priorities=draw.random() < 0.5,
        progress_interval_ms=draw.choice([0.0, 100.0, 1000.0]),
        over_quota_weight=0.2,
        cancellation=draw.random() < 0.7,
        peer_messages=draw.random() < 0.3,
        retry_after=draw.random() < 0.7,
        max_retry_after_ms=500.0,
        hedging=draw.random() < 0.3,
        max_attempts=draw.randint(1, 4),
        slow_start_min_fraction=0.3,
        slow_start_window_ms=draw.choice([0.0, 5000.0]),
        slow_start_overload_factor=3.0,
        slow_start_budget_window_ms=draw.choice([0.0, 1500.0]),
        drain_grace_ms=draw.choice([50.0, 1000.0]),
        retry_budget_floor=2.0,
        retry_budget_ratio=draw.choice([None, 0.1]),
        retry_budget_window_ms=draw.choice([1000.0, 5000.0]),
        key_hold_down_ms=draw.choice([0.0, 300.0]),
        tick_ms=TICK,
    )


class Leg:
    def __init__(self, engine, sent):
        self.engine, self.sent, self.outcome, self.ended = engine, sent, None, 0.0


class Asked:
    def __init__(self, arrival: api.RequestArrived, spec: api.RequestClass, at):
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
        self.s: api.Settings = draw_settings(draw, self.zones)
        self.gateway = Gateway(self.s, seed)
        self.now, self.broken, self.events = 1000.0, [], []
        self.engines: dict[str, api.Endpoint] = {}  # by id
        self.told = {}  # since when it is told that one drains or is gone
        self.asked: dict[str, Asked] = {}
        self.keys, self.ends = {}, []
        self.open: list[Asked] = []
        self.taken, self.extra = [], []  # when requests came, when further attempts were sent
        self.rate, self.hold = draw.choice([0.02, 0.1, 0.3]), draw.choice([20, 200, 2000])
        self.lossy = draw.choice([0, 10])
        for _ in range(draw.randint(1, 6)):
            self.engine(0.0)
        self.events = [api.EndpointsUpdated(list(self.engines.values()), True)]

    def engine(self, ready_at):
        name = f"e{len(self.engines)}"
        self.engines[name] = api.Endpoint(
            name,
            self.draw.choice(self.zones),
            self.draw.choice(["k0", "k1"]),
            self.draw.randint(0, 2),
            Phase.UP,
            1.0,
            ready_at,
        )
        self.events.append(api.EndpointsUpdated([self.engines[name]], False))

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
                if self.now > r.at + r.arrival.time_left_ms + SLACK:
                    r.end = "lost"
                    self.broken.append(f"{r.arrival.request_id} has no answer in time")
            self.now += TICK
        return self.broken

    def arrivals(self):
        many = 20 if self.draw.random() < 0.02 else 1
        while self.draw.random() < self.rate * many and many < 60:
            many += many > 1
            name, lane = f"r{len(self.asked)}", self.draw.choice(list(self.s.classes))
            spec = self.s.classes[lane]
            key = self.draw.choice("xyz") if spec.ordered_by_key and self.draw.random() < 0.9 else None
            arrival = api.RequestArrived(
                name,
                lane,
                self.draw.choice(list(self.s.tenants) or [""]),
                spec.deadline_ms * self.draw.choice([1.0, 0.8, 0.1]),
                self.draw.randint(0, 5),
                key,
                estimated_work_ms=self.draw.choice([0.0, 100.0, 5000.0]),
                estimated_memory_mb=self.draw.choice([0.0, 100.0]),
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
                x = self.engines[x.engine_id] = api.Endpoint(
                    x.engine_id, x.zone, x.kind, x.cell, phase, 1.0, self.now if back else x.started_at_ms
                )
                if phase is Phase.UP:
                    self.told.pop(x.engine_id, None)
                else:
                    self.told.setdefault(x.engine_id, self.now)
                self.events.append(api.EndpointsUpdated([x], False))
        if self.draw.random() < 0.005:
            self.engine(self.now)

    def leave(self):
        for r in self.open:
            if self.draw.random() < 0.0005:
                r.end = "left"
                self.events.append(api.ClientGone(r.arrival.request_id))

    def verdicts(self):
        while self.ends and self.ends[0][0] <= self.now:
            _, _, name, number, outcome = heapq.heappop(self.ends)
            r = self.asked[name]
            leg = r.legs[number]
            if outcome is DOUBT:
                leg.outcome, leg.ended = Outcome.CONNECTION_RESET, self.now
                self.events.append(api.CompletionUncertain(r.arrival.ordering_key))
            if leg.outcome is not None:
                continue
            if outcome is None:
                self.events.append(api.AttemptProgress(name, number, self.draw.randint(1, 3), self.draw.random()))
                continue
            leg.outcome, leg.ended = outcome, self.now
            if outcome is Outcome.SUCCESS:
                r.end = r.end or "served"
                if r.arrival.ordering_key is not None and self.draw.random() < 0.2:
                    self.later(self.draw.random() * self.s.key_hold_down_ms, name, number, DOUBT)
            self.events.append(
                api.AttemptEnded(name, number, leg.engine, outcome, self.now - leg.sent + 0.001, bool(r.end))
            )

    def later(self, wait, name, number, outcome):
        heapq.heappush(self.ends, (self.now + wait, len(self.ends) + self.draw.random(), name, number, outcome))

    def check(self, action: api.Action):
        if isinstance(action, api.StartAttempt):
            r = self.asked[action.request_id]
            self.broken += [f"{action.request_id}: {fault}" for fault, holds in self.faults(r, action) if holds]
            self.send(r, action)
        elif isinstance(action, api.CancelAttempt):
            if not self.s.cancellation:
                self.broken.append(f"{action.request_id} is cancelled where nothing may be")
            self.later(self.draw.random() * 3, action.request_id, action.attempt, Outcome.CANCELLED)
        elif isinstance(action, api.Reject | api.Fail):
            r, refused = self.asked[action.request_id], isinstance(action, api.Reject)
            if r.end in ("refused", "failed", "lost"):
                self.broken.append(f"{action.request_id} is answered twice")
            keeps = (
                r.spec.effect is Effect.UNSAFE or r.spec.effect is Effect.KEYED and r.spec.deduplication_scope != "all"
            )
            if refused and not r.end and r.ran() and keeps:
                self.broken.append(f"{action.request_id} is refused though it may have run")
            r.end = r.end or ("refused" if refused else "failed")

    def faults(self, r: Asked, action: api.StartAttempt):
        s, spec, x, ran = self.s, r.spec, self.engines[action.engine_id], r.ran()
        yield "sent after its end", r.end
        yield "too many attempts", len(r.legs) >= s.max_attempts
        yield "overlap", r.out() and not (s.hedging and spec.effect is not Effect.UNSAFE)
        yield "unsafe repeat", ran and spec.effect is Effect.UNSAFE
        if ran and spec.effect is Effect.KEYED:
            home = self.engines[ran[0].engine]
            yield "past its window", self.now > ran[0].sent + spec.deduplication_window_ms
            yield "out of its zone", spec.deduplication_scope != "all" and home.zone != x.zone
            yield "out of its cell", spec.deduplication_scope == "cell" and home.cell != x.cell
        yield "to one that drains", self.now > self.told.get(x.engine_id, self.now) + s.drain_grace_ms
        yield (
            "placement",
            spec.allowed_zones
            and x.zone not in spec.allowed_zones
            or spec.allowed_kinds
            and x.kind not in spec.allowed_kinds,
        )
        if spec.ordered_by_key and r.arrival.ordering_key is not None:
            line = self.keys[r.arrival.ordering_key]
            for before in (self.asked[name] for name in line[: line.index(action.request_id)]):
                yield "out of order", not before.end or before.out()
                rest = [leg.ended + s.key_hold_down_ms for leg in before.legs if leg.outcome in DOUBTFUL]
                yield "key at rest", any(self.now < until for until in rest)
        if r.legs and s.retry_budget_ratio is not None:
            since = self.now - s.retry_budget_window_ms
            room = s.retry_budget_floor + s.retry_budget_ratio * (len(self.taken) - bisect_left(self.taken, since))
            yield "over the ration", 1 + sum(t >= since for t in self.extra) > room + 1e-9

    def send(self, r: Asked, action: api.StartAttempt):
        number = len(r.legs)
        if number:
            self.extra.append(self.now)
        r.legs.append(Leg(action.engine_id, self.now))
        wait = max(0.0, min(action.timeout_ms or LONGEST, r.at + r.arrival.time_left_ms - self.now))
        kinds = (
            Outcome.SUCCESS,
            Outcome.ERROR,
            Outcome.OVERLOADED,
            Outcome.UNREACHABLE,
            Outcome.CONNECTION_RESET,
            Outcome.TIMED_OUT,
        )
        outcome = self.draw.choices(kinds, [70, 5, 5, 5, 5, self.lossy])[0]
        took = self.draw.expovariate(1 / self.hold)
        if outcome is Outcome.TIMED_OUT or took > wait:
            outcome, took = Outcome.TIMED_OUT, wait
        self.later(took, action.request_id, number, outcome)
        if self.s.progress_interval_ms:
            self.later(self.s.progress_interval_ms, action.request_id, number, None)


@pytest.mark.parametrize("seed", range(0, 60, 10))
def test_no_rule_is_broken_under_any_settings(seed):
    for n in range(seed, seed + 10):
        assert World(n).play() == [], n


@pytest.mark.parametrize(
    ("fault", "plant"),
    [
        ("over the ration", lambda s: setattr(s, "retry_budget_ratio", None)),
        ("unsafe repeat", lambda s: [setattr(c, "effect", Effect.SAFE) for c in s.classes.values()]),
        ("key at rest", lambda s: setattr(s, "key_hold_down_ms", s.key_hold_down_ms / 2)),
        ("out of order", lambda s: [setattr(c, "ordered_by_key", False) for c in s.classes.values()]),
        ("past its window", lambda s: [setattr(c, "deduplication_window_ms", LONGEST) for c in s.classes.values()]),
        ("to one that drains", lambda s: s.gateway_count),
        ("has no answer in time", lambda s: s.gateway_count),
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
