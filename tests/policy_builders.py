"""Builders and readers that tests of the decision module share."""

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


def make_gateway(*classes, engines=3, cores=8, state=None, **over) -> Gateway:
    """A gateway that has heard of some engines, and the actions of that first step."""
    over = {
        "max_attempts": 3,
        "cores_by_kind": {"k": cores},
        "tick_ms": 5.0,
        "retry_after": True,
        "max_retry_after_ms": 2000.0,
    } | over
    gateway = Gateway(api.Settings(classes={c.name: c for c in classes or (SAFE,)}, **over), 1)
    entries = [entry(f"e{i}", zone=f"z{i}", cell=i) for i in range(engines)]
    gateway.step(0.0, [api.EndpointsUpdated(entries, True)])
    return gateway


def entry(name, zone="z", kind="k", cell=0, phase=Phase.UP, started_at_ms=0.0) -> api.Endpoint:
    return api.Endpoint(name, zone, kind, cell, phase, 1.0, started_at_ms)


def arrival(request_id, request_class="safe", left=5000.0, **more) -> api.RequestArrived:
    return api.RequestArrived(request_id, request_class, more.pop("tenant", ""), left, **more)


def ended(send: api.StartAttempt, outcome, attempt=0, duration_ms=100.0, finished=False, **more) -> api.AttemptEnded:
    finished = finished or outcome is Outcome.SUCCESS
    return api.AttemptEnded(send.request_id, attempt, send.engine_id, outcome, duration_ms, finished, **more)


def peer_message(rate, stress=1.0, need=0.0, marks=()):
    """What a peer of a gateway with one tenant and one class tells."""
    return PeerMessage([rate], stress, [need], list(marks)).pack()


def of_type(kind: type[T], actions: list[api.Action]) -> list[T]:
    return [a for a in actions if isinstance(a, kind)]


def sent(actions: list[api.Action]) -> list[api.StartAttempt]:
    return of_type(api.StartAttempt, actions)


def polling_gateway(*classes, **over) -> Gateway:
    """A gateway whose engines tell their load to those who probe."""
    return make_gateway(
        *classes, **{"engines": 8, "health_checks": True, "load_report_fields": ("rif",), "gateway_count": 100} | over
    )


def probed_engines(actions: list[api.Action]):
    return [a.engine_id for a in of_type(api.CheckHealth, actions)]


def report(engine, held) -> api.HealthCheckResult:
    return api.HealthCheckResult(engine, Outcome.SUCCESS, 1.0, {"rif": float(held)})


def fraction(gateway):
    gateway._update_limit()
    return gateway.gossip.fraction


COLD = {
    "slow_start_window_ms": 10000.0,
    "slow_start_min_fraction": 0.3,
    "slow_start_overload_factor": 2.0,
    "slow_start_budget_window_ms": 1000.0,
    "gateway_count": 100,
}
