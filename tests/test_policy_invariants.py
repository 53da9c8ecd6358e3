"""The policy under random settings, checked against the rules by an independent checker.

Each run is determined by its seed: classes of all effects, deduplication scopes and windows, ordering and placement;
engines that start, drain and are removed; requests that are cancelled; attempts that fail, run long or are lost.
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
ANSWER_SLACK_MS = 20.0  # time after its deadline within which a final answer is accepted
MAX_DURATION_MS = 20_000.0  # longest deadline and deduplication window


def random_class(rng, name, zones) -> api.RequestClass:
    effect, deadline = rng.choice(list(Effect)), rng.choice([300.0, 1000.0, 5000.0, MAX_DURATION_MS])
    return api.RequestClass(
        name,
        latency_objective_ms=deadline * rng.choice([0.1, 0.3, 1.0]),
        deadline_ms=deadline,
        priority_weight=rng.choice([1.0, 5.0]),
        late_priority_weight=rng.choice([0.0, 0.5]),
        objective_stretch=rng.choice([0.0, 2.0]),
        effect=effect,
        deduplication_scope=rng.choice(["all", "zone", "cell"]),
        ordered_by_key=rng.random() < 0.3,
        threads=rng.choice([1, 2, 4]),
        deduplication_window_ms=rng.choice([100.0, 1000.0, MAX_DURATION_MS]) if effect is Effect.KEYED else 0.0,
        allowed_zones=rng.choice([None, None, (rng.choice(zones),)]),
        allowed_kinds=rng.choice([None, None, None, ("k0",)]),
        locks_tables=rng.random() < 0.2,
        waits_for_loads=rng.random() < 0.3,
    )


def random_settings(rng, zones) -> api.Settings:
    gateway_count = rng.choice([1, 2, 6, 200])
    return api.Settings(
        classes={f"c{i}": random_class(rng, f"c{i}", zones) for i in range(rng.randint(1, 5))},
        tenants={n: api.TenantSpec(n, 0.5, rng.choice([None, 20.0])) for n in rng.choice([[], ["t0", "t1"]])},
        gateway_index=rng.randrange(gateway_count),
        gateway_count=gateway_count,
        zone=rng.choice(zones),
        cores_by_kind={"k0": 8, "k1": rng.choice([1, 8])},
        memory_mb_by_kind={"k0": 16384.0, "k1": 1000.0},
        largest_grant_fraction=0.4,
        memory_grants=rng.random() < 0.5,
        priorities=rng.random() < 0.5,
        progress_interval_ms=rng.choice([0.0, 100.0, 1000.0]),
        over_quota_weight=0.2,
        cancellation=rng.random() < 0.7,
        peer_messages=rng.random() < 0.3,
        retry_after=rng.random() < 0.7,
        max_retry_after_ms=500.0,
        hedging=rng.random() < 0.3,
        max_attempts=rng.randint(1, 4),
        slow_start_min_fraction=0.3,
        slow_start_window_ms=rng.choice([0.0, 5000.0]),
        slow_start_overload_factor=3.0,
        slow_start_budget_window_ms=rng.choice([0.0, 1500.0]),
        drain_grace_ms=rng.choice([50.0, 1000.0]),
        retry_budget_floor=2.0,
        retry_budget_ratio=rng.choice([None, 0.1]),
        retry_budget_window_ms=rng.choice([1000.0, 5000.0]),
        key_hold_down_ms=rng.choice([0.0, 300.0]),
        tick_ms=TICK_MS,
    )


class SentAttempt:
    def __init__(self, engine_id, sent_at):
        self.engine_id, self.sent_at, self.outcome, self.ended_at = engine_id, sent_at, None, 0.0


class ExpectedRequest:
    def __init__(self, arrival: api.RequestArrived, spec: api.RequestClass, arrived_at):
        self.arrival, self.spec, self.arrived_at, self.end = arrival, spec, arrived_at, ""
        self.attempts: list[SentAttempt] = []

    def executed(self):
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_EXECUTED]

    def in_flight(self):
        return [attempt for attempt in self.attempts if attempt.outcome is None]


COMPLETION_UNCERTAIN = "doubt"  # an answered attempt's connection is lost soon after the answer


class Simulation:
    """One gateway with its engines and clients; `violations` lists the rules that were broken."""

    def __init__(self, seed):
        self.rng = rng = random.Random(seed)
        self.zones = ["a", "b", "c"][: rng.randint(1, 3)]
        self.settings: api.Settings = random_settings(rng, self.zones)
        self.gateway = Gateway(self.settings, seed)
        self.now, self.violations, self.events = 1000.0, [], []
        self.engines: dict[str, api.Endpoint] = {}
        self.not_up_since = {}  # by engine id: time since which the list has it as draining or removed
        self.requests: dict[str, ExpectedRequest] = {}
        self.request_ids_by_key, self.due_outcomes = {}, []
        self.open_requests: list[ExpectedRequest] = []
        self.arrival_times, self.retry_times = [], []
        self.arrival_probability, self.mean_run_ms = rng.choice([0.02, 0.1, 0.3]), rng.choice([20, 200, 2000])
        self.lost_weight = rng.choice([0, 10])
        for _ in range(rng.randint(1, 6)):
            self.add_engine(0.0)
        self.events = [api.EndpointsUpdated(list(self.engines.values()), True)]

    def add_engine(self, ready_at):
        engine_id = f"e{len(self.engines)}"
        self.engines[engine_id] = api.Endpoint(
            engine_id,
            self.rng.choice(self.zones),
            self.rng.choice(["k0", "k1"]),
            self.rng.randint(0, 2),
            Phase.UP,
            1.0,
            ready_at,
        )
        self.events.append(api.EndpointsUpdated([self.engines[engine_id]], False))

    def run(self):
        end = self.now + self.rng.choice([1000, 3000])
        while self.now < end or self.due_outcomes or self.open_requests:
            if self.now < end:
                self.add_requests()
                self.change_endpoints()
            self.cancel_requests()
            self.deliver_outcomes()
            actions, self.events = self.gateway.step(self.now, self.events), []
            for action in actions:
                self.check_action(action)
            self.open_requests = [request for request in self.open_requests if not request.end]
            for request in self.open_requests:
                if self.now > request.arrived_at + request.arrival.time_left_ms + ANSWER_SLACK_MS:
                    request.end = "lost"
                    self.violations.append(f"{request.arrival.request_id} has no answer in time")
            self.now += TICK_MS
        return self.violations

    def add_requests(self):
        burst = 20 if self.rng.random() < 0.02 else 1
        while self.rng.random() < self.arrival_probability * burst and burst < 60:
            burst += burst > 1
            request_id, class_name = f"r{len(self.requests)}", self.rng.choice(list(self.settings.classes))
            spec = self.settings.classes[class_name]
            key = self.rng.choice("xyz") if spec.ordered_by_key and self.rng.random() < 0.9 else None
            arrival = api.RequestArrived(
                request_id,
                class_name,
                self.rng.choice(list(self.settings.tenants) or [""]),
                spec.deadline_ms * self.rng.choice([1.0, 0.8, 0.1]),
                self.rng.randint(0, 5),
                key,
                estimated_work_ms=self.rng.choice([0.0, 100.0, 5000.0]),
                estimated_memory_mb=self.rng.choice([0.0, 100.0]),
            )
            self.requests[request_id] = ExpectedRequest(arrival, spec, self.now)
            self.open_requests.append(self.requests[request_id])
            self.arrival_times.append(self.now)
            self.events.append(arrival)
            if key is not None:
                self.request_ids_by_key.setdefault(key, []).append(request_id)

    def change_endpoints(self):
        if self.rng.random() < 0.01:
            engine, phase = self.rng.choice(list(self.engines.values())), self.rng.choice(list(Phase))
            if engine.phase is not Phase.REMOVED:
                is_restart = phase is Phase.UP and engine.phase is not Phase.UP
                engine = self.engines[engine.engine_id] = api.Endpoint(
                    engine.engine_id,
                    engine.zone,
                    engine.kind,
                    engine.cell,
                    phase,
                    1.0,
                    self.now if is_restart else engine.started_at_ms,
                )
                if phase is Phase.UP:
                    self.not_up_since.pop(engine.engine_id, None)
                else:
                    self.not_up_since.setdefault(engine.engine_id, self.now)
                self.events.append(api.EndpointsUpdated([engine], False))
        if self.rng.random() < 0.005:
            self.add_engine(self.now)

    def cancel_requests(self):
        for request in self.open_requests:
            if self.rng.random() < 0.0005:
                request.end = "left"
                self.events.append(api.ClientGone(request.arrival.request_id))

    def deliver_outcomes(self):
        while self.due_outcomes and self.due_outcomes[0][0] <= self.now:
            _, _, request_id, number, outcome = heapq.heappop(self.due_outcomes)
            request = self.requests[request_id]
            attempt = request.attempts[number]
            if outcome is COMPLETION_UNCERTAIN:
                attempt.outcome, attempt.ended_at = Outcome.CONNECTION_RESET, self.now
                self.events.append(api.CompletionUncertain(request.arrival.ordering_key))
            if attempt.outcome is not None:
                continue
            if outcome is None:
                self.events.append(api.AttemptProgress(request_id, number, self.rng.randint(1, 3), self.rng.random()))
                continue
            attempt.outcome, attempt.ended_at = outcome, self.now
            if outcome is Outcome.SUCCESS:
                request.end = request.end or "served"
                if request.arrival.ordering_key is not None and self.rng.random() < 0.2:
                    self.schedule(
                        self.rng.random() * self.settings.key_hold_down_ms, request_id, number, COMPLETION_UNCERTAIN
                    )
            self.events.append(
                api.AttemptEnded(
                    request_id,
                    number,
                    attempt.engine_id,
                    outcome,
                    self.now - attempt.sent_at + 0.001,
                    bool(request.end),
                )
            )

    def schedule(self, delay_ms, request_id, number, outcome):
        heapq.heappush(
            self.due_outcomes,
            (self.now + delay_ms, len(self.due_outcomes) + self.rng.random(), request_id, number, outcome),
        )

    def check_action(self, action: api.Action):
        if isinstance(action, api.StartAttempt):
            request = self.requests[action.request_id]
            self.violations += [
                f"{action.request_id}: {rule}" for rule, is_broken in self.evaluate_rules(request, action) if is_broken
            ]
            self.record_attempt(request, action)
        elif isinstance(action, api.CancelAttempt):
            if not self.settings.cancellation:
                self.violations.append(f"{action.request_id} is cancelled though cancellation is off")
            self.schedule(self.rng.random() * 3, action.request_id, action.attempt, Outcome.CANCELLED)
        elif isinstance(action, api.Reject | api.Fail):
            request, is_rejection = self.requests[action.request_id], isinstance(action, api.Reject)
            if request.end in ("refused", "failed", "lost"):
                self.violations.append(f"{action.request_id} is answered twice")
            must_not_repeat = (
                request.spec.effect is Effect.UNSAFE
                or request.spec.effect is Effect.KEYED
                and request.spec.deduplication_scope != "all"
            )
            if is_rejection and not request.end and request.executed() and must_not_repeat:
                self.violations.append(f"{action.request_id} is rejected though it may have run")
            request.end = request.end or ("refused" if is_rejection else "failed")

    def evaluate_rules(self, request: ExpectedRequest, action: api.StartAttempt):
        settings, spec, executed = self.settings, request.spec, request.executed()
        engine = self.engines[action.engine_id]
        yield "sent after its end", request.end
        yield "too many attempts", len(request.attempts) >= settings.max_attempts
        yield "overlap", request.in_flight() and not (settings.hedging and spec.effect is not Effect.UNSAFE)
        yield "unsafe repeat", executed and spec.effect is Effect.UNSAFE
        if executed and spec.effect is Effect.KEYED:
            first_engine = self.engines[executed[0].engine_id]
            yield "past its deduplication window", self.now > executed[0].sent_at + spec.deduplication_window_ms
            yield "out of its zone", spec.deduplication_scope != "all" and first_engine.zone != engine.zone
            yield "out of its cell", spec.deduplication_scope == "cell" and first_engine.cell != engine.cell
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
            request_ids = self.request_ids_by_key[request.arrival.ordering_key]
            for predecessor in (
                self.requests[request_id] for request_id in request_ids[: request_ids.index(action.request_id)]
            ):
                yield "out of order", not predecessor.end or predecessor.in_flight()
                held_until = [
                    attempt.ended_at + settings.key_hold_down_ms
                    for attempt in predecessor.attempts
                    if attempt.outcome in UNCERTAIN
                ]
                yield "key held down", any(self.now < hold_end for hold_end in held_until)
        if request.attempts and settings.retry_budget_ratio is not None:
            since = self.now - settings.retry_budget_window_ms
            max_retries = settings.retry_budget_floor + settings.retry_budget_ratio * (
                len(self.arrival_times) - bisect_left(self.arrival_times, since)
            )
            yield "over the retry budget", 1 + sum(t >= since for t in self.retry_times) > max_retries + 1e-9

    def record_attempt(self, request: ExpectedRequest, action: api.StartAttempt):
        number = len(request.attempts)
        if number:
            self.retry_times.append(self.now)
        request.attempts.append(SentAttempt(action.engine_id, self.now))
        delay_ms = max(
            0.0, min(action.timeout_ms or MAX_DURATION_MS, request.arrived_at + request.arrival.time_left_ms - self.now)
        )
        kinds = (
            Outcome.SUCCESS,
            Outcome.ERROR,
            Outcome.OVERLOADED,
            Outcome.UNREACHABLE,
            Outcome.CONNECTION_RESET,
            Outcome.TIMED_OUT,
        )
        outcome = self.rng.choices(kinds, [70, 5, 5, 5, 5, self.lost_weight])[0]
        duration_ms = self.rng.expovariate(1 / self.mean_run_ms)
        if outcome is Outcome.TIMED_OUT or duration_ms > delay_ms:
            outcome, duration_ms = Outcome.TIMED_OUT, delay_ms
        self.schedule(duration_ms, action.request_id, number, outcome)
        if self.settings.progress_interval_ms:
            self.schedule(self.settings.progress_interval_ms, action.request_id, number, None)


@pytest.mark.parametrize("seed", range(0, 60, 10))
def test_no_rule_is_broken_under_any_settings(seed):
    for n in range(seed, seed + 10):
        assert Simulation(n).run() == [], n


@pytest.mark.parametrize(
    ("violation", "inject_fault"),
    [
        ("over the retry budget", lambda settings: setattr(settings, "retry_budget_ratio", None)),
        (
            "unsafe repeat",
            lambda settings: [setattr(spec, "effect", Effect.SAFE) for spec in settings.classes.values()],
        ),
        ("key held down", lambda settings: setattr(settings, "key_hold_down_ms", settings.key_hold_down_ms / 2)),
        (
            "out of order",
            lambda settings: [setattr(spec, "ordered_by_key", False) for spec in settings.classes.values()],
        ),
        (
            "past its deduplication window",
            lambda settings: [
                setattr(spec, "deduplication_window_ms", MAX_DURATION_MS) for spec in settings.classes.values()
            ],
        ),
        ("to a draining engine", lambda settings: settings.gateway_count),
        ("has no answer in time", lambda settings: settings.gateway_count),
    ],
)
def test_the_checker_finds_a_planted_fault(violation, inject_fault):
    for seed in range(60):
        simulation = Simulation(seed)
        faulty_settings = copy.deepcopy(simulation.settings)
        inject_fault(faulty_settings)
        simulation.gateway = Gateway(faulty_settings, seed)
        if violation == "to a draining engine":
            simulation.gateway.engines.up = lambda gateway=simulation.gateway: list(gateway.engines.by_id.values())
            simulation.gateway.engines.order = lambda group, gateway=simulation.gateway: list(
                gateway.engines.by_id.values()
            )
        elif violation == "has no answer in time":
            simulation.gateway._scan = lambda: None
        if any(violation in violation_text for violation_text in simulation.run()):
            return
    pytest.fail(f"never found: {violation}")
