"""Builders and helpers that the tests of the policy share."""

from __future__ import annotations

from typing import TypeVar

from decklb import interface as api
from decklb.interface import Effect, Outcome, Phase
from decklb.policy.gateway import Gateway
from decklb.policy.peer_messages import PeerMessage

T = TypeVar("T")

SAFE = api.RequestClass("safe", latency_objective_ms=1000.0, deadline_ms=5000.0, effect=Effect.SAFE)

KEYED = api.RequestClass(
    "keyed", latency_objective_ms=1000.0, deadline_ms=9000.0, effect=Effect.KEYED, deduplication_window_ms=2000.0
)

UNSAFE = api.RequestClass(
    "unsafe", latency_objective_ms=1000.0, deadline_ms=5000.0, late_priority_weight=0.5, effect=Effect.UNSAFE
)

SERIAL = api.RequestClass(
    "serial",
    latency_objective_ms=1000.0,
    deadline_ms=9000.0,
    late_priority_weight=0.5,
    effect=Effect.SAFE,
    ordered_by_key=True,
)


def make_gateway(*classes, engines=3, cores=8, state=None, **overrides) -> Gateway:
    """Build a gateway that has received its endpoint list."""
    overrides = {
        "max_attempts": 3,
        "cores_by_kind": {"k": cores},
        "tick_ms": 5.0,
        "retry_after": True,
        "max_retry_after_ms": 2000.0,
    } | overrides
    gateway = Gateway(api.Settings(classes={spec.name: spec for spec in classes or (SAFE,)}, **overrides), 1)
    endpoints = [endpoint(f"e{i}", zone=f"z{i}", cell=i) for i in range(engines)]
    gateway.step(0.0, [api.EndpointsUpdated(endpoints, True)])
    return gateway


def endpoint(name, zone="z", kind="k", cell=0, phase=Phase.UP, started_at_ms=0.0) -> api.Endpoint:
    return api.Endpoint(name, zone, kind, cell, phase, 1.0, started_at_ms)


def arrival(request_id, request_class="safe", time_left_ms=5000.0, **fields) -> api.RequestArrived:
    return api.RequestArrived(request_id, request_class, fields.pop("tenant", ""), time_left_ms, **fields)


def ended(send: api.StartAttempt, outcome, attempt=0, duration_ms=100.0, finished=False, **fields) -> api.AttemptEnded:
    finished = finished or outcome is Outcome.SUCCESS
    return api.AttemptEnded(send.request_id, attempt, send.engine_id, outcome, duration_ms, finished, **fields)


def peer_message(rate, slowdown=1.0, memory_ratio=0.0, engine_slowdowns=()):
    """Encode a message of a peer, for one tenant and one class."""
    return PeerMessage([rate], slowdown, [memory_ratio], list(engine_slowdowns)).pack()


def of_type(action_type: type[T], actions: list[api.Action]) -> list[T]:
    return [action for action in actions if isinstance(action, action_type)]


def sent(actions: list[api.Action]) -> list[api.StartAttempt]:
    return of_type(api.StartAttempt, actions)


def polling_gateway(*classes, **overrides) -> Gateway:
    """Build a gateway whose engines report their load when probed."""
    return make_gateway(
        *classes,
        **{"engines": 8, "health_checks": True, "load_report_fields": ("rif",), "gateway_count": 100} | overrides,
    )


def probed_engines(actions: list[api.Action]):
    return [action.engine_id for action in of_type(api.CheckHealth, actions)]


def report(engine, queries) -> api.HealthCheckResult:
    return api.HealthCheckResult(engine, Outcome.SUCCESS, 1.0, {"rif": float(queries)})


def traffic_fraction(gateway):
    gateway._update_limit()
    return gateway.gossip.fraction


SLOW_START_SETTINGS = {
    "slow_start_window_ms": 10000.0,
    "slow_start_min_fraction": 0.3,
    "slow_start_overload_factor": 2.0,
    "slow_start_budget_window_ms": 1000.0,
    "gateway_count": 100,
}
