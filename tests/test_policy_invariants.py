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
from decklb.policy.gateway import Gateway
from decklb.policy.records import NEVER_EXECUTED, UNCERTAIN

TICK_MS = 5.0
ANSWER_SLACK_MS = 20.0  # after its deadline a final answer may still come
LONGEST_MS = 20_000.0  # deadline, window


def draw_class(draw, name, zones) -> api.RequestClass:
    effect, deadline = draw.choice(list(Effect)), draw.choice([300.0, 1000.0, 5000.0, LONGEST_MS])
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
        deduplication_window_ms=draw.choice([100.0, 1000.0, LONGEST_MS]) if effect is Effect.KEYED else 0.0,
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
        tick_ms=TICK_MS,
    )


class SentAttempt:
    def __init__(self, engine, sent):
        self.engine, self.sent, self.outcome, self.ended = engine, sent, None, 0.0


class ExpectedRequest:
    def __init__(self, arrival: api.RequestArrived, spec: api.RequestClass, at):
        self.arrival, self.spec, self.at, self.end = arrival, spec, at, ""
        self.attempts: list[SentAttempt] = []

    def executed(self):
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_EXECUTED]

    def in_flight(self):
        return [attempt for attempt in self.attempts if attempt.outcome is None]


COMPLETION_UNCERTAIN = "doubt"  # the end of an answered attempt's connection, soon after its answer


class World:
    """One gateway, its engines and clients; `violations` lists each rule that was broken."""

    def __init__(self, seed):
        self.draw = draw = random.Random(seed)
        self.zones = ["a", "b", "c"][: draw.randint(1, 3)]
        self.settings: api.Settings = draw_settings(draw, self.zones)
        self.gateway = Gateway(self.settings, seed)
        self.now, self.violations, self.events = 1000.0, [], []
        self.engines: dict[str, api.Endpoint] = {}
        self.not_up_since = {}  # by engine id: since when it is told that one drains or is gone
        self.requests: dict[str, ExpectedRequest] = {}
        self.lines, self.due_outcomes = {}, []
        self.open_requests: list[ExpectedRequest] = []
        self.arrived_at, self.retried_at = [], []  # when requests came, when further attempts were sent
        self.arrival_probability, self.mean_run_ms = draw.choice([0.02, 0.1, 0.3]), draw.choice([20, 200, 2000])
        self.lost_weight = draw.choice([0, 10])
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

    def run(self):
        end = self.now + self.draw.choice([1000, 3000])
        while self.now < end or self.due_outcomes or self.open_requests:
            if self.now < end:
                self.arrivals()
                self.list_changes()
            self.leave()
            self.verdicts()
            actions, self.events = self.gateway.step(self.now, self.events), []
            for action in actions:
                self.check(action)
            self.open_requests = [request for request in self.open_requests if not request.end]
            for request in self.open_requests:
                if self.now > request.at + request.arrival.time_left_ms + ANSWER_SLACK_MS:
                    request.end = "lost"
                    self.violations.append(f"{request.arrival.request_id} has no answer in time")
            self.now += TICK_MS
        return self.violations

    def arrivals(self):
        many = 20 if self.draw.random() < 0.02 else 1
        while self.draw.random() < self.arrival_probability * many and many < 60:
            many += many > 1
            name, lane = f"r{len(self.requests)}", self.draw.choice(list(self.settings.classes))
            spec = self.settings.classes[lane]
            key = self.draw.choice("xyz") if spec.ordered_by_key and self.draw.random() < 0.9 else None
            arrival = api.RequestArrived(
                name,
                lane,
                self.draw.choice(list(self.settings.tenants) or [""]),
                spec.deadline_ms * self.draw.choice([1.0, 0.8, 0.1]),
                self.draw.randint(0, 5),
                key,
                estimated_work_ms=self.draw.choice([0.0, 100.0, 5000.0]),
                estimated_memory_mb=self.draw.choice([0.0, 100.0]),
            )
            self.requests[name] = ExpectedRequest(arrival, spec, self.now)
            self.open_requests.append(self.requests[name])
            self.arrived_at.append(self.now)
            self.events.append(arrival)
            if key is not None:
                self.lines.setdefault(key, []).append(name)

    def list_changes(self):
        if self.draw.random() < 0.01:
            engine, phase = self.draw.choice(list(self.engines.values())), self.draw.choice(list(Phase))
            if engine.phase is not Phase.REMOVED:
                back = phase is Phase.UP and engine.phase is not Phase.UP
                engine = self.engines[engine.engine_id] = api.Endpoint(
                    engine.engine_id,
                    engine.zone,
                    engine.kind,
                    engine.cell,
                    phase,
                    1.0,
                    self.now if back else engine.started_at_ms,
                )
                if phase is Phase.UP:
                    self.not_up_since.pop(engine.engine_id, None)
                else:
                    self.not_up_since.setdefault(engine.engine_id, self.now)
                self.events.append(api.EndpointsUpdated([engine], False))
        if self.draw.random() < 0.005:
            self.engine(self.now)

    def leave(self):
        for request in self.open_requests:
            if self.draw.random() < 0.0005:
                request.end = "left"
                self.events.append(api.ClientGone(request.arrival.request_id))

    def verdicts(self):
        while self.due_outcomes and self.due_outcomes[0][0] <= self.now:
            _, _, name, number, outcome = heapq.heappop(self.due_outcomes)
            request = self.requests[name]
            attempt = request.attempts[number]
            if outcome is COMPLETION_UNCERTAIN:
                attempt.outcome, attempt.ended = Outcome.CONNECTION_RESET, self.now
                self.events.append(api.CompletionUncertain(request.arrival.ordering_key))
            if attempt.outcome is not None:
                continue
            if outcome is None:
                self.events.append(api.AttemptProgress(name, number, self.draw.randint(1, 3), self.draw.random()))
                continue
            attempt.outcome, attempt.ended = outcome, self.now
            if outcome is Outcome.SUCCESS:
                request.end = request.end or "served"
                if request.arrival.ordering_key is not None and self.draw.random() < 0.2:
                    self.later(self.draw.random() * self.settings.key_hold_down_ms, name, number, COMPLETION_UNCERTAIN)
            self.events.append(
                api.AttemptEnded(
                    name, number, attempt.engine, outcome, self.now - attempt.sent + 0.001, bool(request.end)
                )
            )

    def later(self, wait, name, number, outcome):
        heapq.heappush(
            self.due_outcomes, (self.now + wait, len(self.due_outcomes) + self.draw.random(), name, number, outcome)
        )

    def check(self, action: api.Action):
        if isinstance(action, api.StartAttempt):
            request = self.requests[action.request_id]
            self.violations += [
                f"{action.request_id}: {fault}" for fault, holds in self.faults(request, action) if holds
            ]
            self.send(request, action)
        elif isinstance(action, api.CancelAttempt):
            if not self.settings.cancellation:
                self.violations.append(f"{action.request_id} is cancelled where nothing may be")
            self.later(self.draw.random() * 3, action.request_id, action.attempt, Outcome.CANCELLED)
        elif isinstance(action, api.Reject | api.Fail):
            request, refused = self.requests[action.request_id], isinstance(action, api.Reject)
            if request.end in ("refused", "failed", "lost"):
                self.violations.append(f"{action.request_id} is answered twice")
            keeps = (
                request.spec.effect is Effect.UNSAFE
                or request.spec.effect is Effect.KEYED
                and request.spec.deduplication_scope != "all"
            )
            if refused and not request.end and request.executed() and keeps:
                self.violations.append(f"{action.request_id} is refused though it may have run")
            request.end = request.end or ("refused" if refused else "failed")

    def faults(self, request: ExpectedRequest, action: api.StartAttempt):
        settings, spec, executed = self.settings, request.spec, request.executed()
        engine = self.engines[action.engine_id]
        yield "sent after its end", request.end
        yield "too many attempts", len(request.attempts) >= settings.max_attempts
        yield "overlap", request.in_flight() and not (settings.hedging and spec.effect is not Effect.UNSAFE)
        yield "unsafe repeat", executed and spec.effect is Effect.UNSAFE
        if executed and spec.effect is Effect.KEYED:
            home = self.engines[executed[0].engine]
            yield "past its deduplication window", self.now > executed[0].sent + spec.deduplication_window_ms
            yield "out of its zone", spec.deduplication_scope != "all" and home.zone != engine.zone
            yield "out of its cell", spec.deduplication_scope == "cell" and home.cell != engine.cell
        yield (
            "to a draining engine",
            self.now > self.not_up_since.get(engine.engine_id, self.now) + settings.drain_grace_ms,
        )
        yield (
            "placement",
            spec.allowed_zones
            and engine.zone not in spec.allowed_zones
            or spec.allowed_kinds
            and engine.kind not in spec.allowed_kinds,
        )
        if spec.ordered_by_key and request.arrival.ordering_key is not None:
            line = self.lines[request.arrival.ordering_key]
            for before in (self.requests[name] for name in line[: line.index(action.request_id)]):
                yield "out of order", not before.end or before.in_flight()
                held_until = [
                    attempt.ended + settings.key_hold_down_ms
                    for attempt in before.attempts
                    if attempt.outcome in UNCERTAIN
                ]
                yield "key held down", any(self.now < until for until in held_until)
        if request.attempts and settings.retry_budget_ratio is not None:
            since = self.now - settings.retry_budget_window_ms
            most = settings.retry_budget_floor + settings.retry_budget_ratio * (
                len(self.arrived_at) - bisect_left(self.arrived_at, since)
            )
            yield "over the retry budget", 1 + sum(t >= since for t in self.retried_at) > most + 1e-9

    def send(self, request: ExpectedRequest, action: api.StartAttempt):
        number = len(request.attempts)
        if number:
            self.retried_at.append(self.now)
        request.attempts.append(SentAttempt(action.engine_id, self.now))
        wait = max(0.0, min(action.timeout_ms or LONGEST_MS, request.at + request.arrival.time_left_ms - self.now))
        kinds = (
            Outcome.SUCCESS,
            Outcome.ERROR,
            Outcome.OVERLOADED,
            Outcome.UNREACHABLE,
            Outcome.CONNECTION_RESET,
            Outcome.TIMED_OUT,
        )
        outcome = self.draw.choices(kinds, [70, 5, 5, 5, 5, self.lost_weight])[0]
        took = self.draw.expovariate(1 / self.mean_run_ms)
        if outcome is Outcome.TIMED_OUT or took > wait:
            outcome, took = Outcome.TIMED_OUT, wait
        self.later(took, action.request_id, number, outcome)
        if self.settings.progress_interval_ms:
            self.later(self.settings.progress_interval_ms, action.request_id, number, None)


@pytest.mark.parametrize("seed", range(0, 60, 10))
def test_no_rule_is_broken_under_any_settings(seed):
    for n in range(seed, seed + 10):
        assert World(n).run() == [], n


@pytest.mark.parametrize(
    ("fault", "plant"),
    [
        ("over the retry budget", lambda s: setattr(s, "retry_budget_ratio", None)),
        ("unsafe repeat", lambda s: [setattr(c, "effect", Effect.SAFE) for c in s.classes.values()]),
        ("key held down", lambda s: setattr(s, "key_hold_down_ms", s.key_hold_down_ms / 2)),
        ("out of order", lambda s: [setattr(c, "ordered_by_key", False) for c in s.classes.values()]),
        (
            "past its deduplication window",
            lambda s: [setattr(c, "deduplication_window_ms", LONGEST_MS) for c in s.classes.values()],
        ),
        ("to a draining engine", lambda s: s.gateway_count),
        ("has no answer in time", lambda s: s.gateway_count),
    ],
)
def test_the_checker_finds_a_planted_fault(fault, plant):
    for seed in range(60):
        world = World(seed)
        wrong = copy.deepcopy(world.settings)
        plant(wrong)
        world.gateway = Gateway(wrong, seed)
        if fault == "to a draining engine":
            world.gateway.engines.up = lambda g=world.gateway: list(g.engines.by_id.values())
            world.gateway.engines.order = lambda group, g=world.gateway: list(g.engines.by_id.values())
        elif fault == "has no answer in time":
            world.gateway._scan = lambda: None
        if any(fault in x for x in world.run()):
            return
    pytest.fail(f"never found: {fault}")
