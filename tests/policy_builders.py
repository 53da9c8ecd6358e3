"""Builders and readers that tests of the decision module share."""

from __future__ import annotations

from decklb import interface as api
from decklb.interface import Effect, Outcome, Phase
from decklb.policy.gateway import Gateway
from decklb.policy.peer_messages import PeerMessage

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


def make_gateway(*classes, engines=3, cores=8, state=None, **over):
    """A gateway that has heard of some engines, and the actions of that first step."""
    over = {
        "max_attempts": 3,
        "cores": {"k": cores},
        "tick": 5.0,
        "retry_after": True,
        "max_retry_after": 2000.0,
    } | over
    gateway = Gateway(api.Settings(classes={c.name: c for c in classes or (SAFE,)}, **over), 1)
    entries = [entry(f"e{i}", zone=f"z{i}", cell=i) for i in range(engines)]
    gateway.step(0.0, [api.EndpointsUpdated(entries, True)])
    return gateway


def entry(name, zone="z", kind="k", cell=0, phase=Phase.UP, ready_at=0.0):
    return api.Endpoint(name, zone, kind, cell, phase, 1.0, ready_at)


def arrival(req, lane="safe", left=5000.0, **more):
    return api.RequestArrived(req, lane, more.pop("tenant", ""), left, **more)


def ended(send, outcome, leg=0, rtt=100.0, finished=False, **more):
    return api.AttemptEnded(send.req, leg, send.engine, outcome, rtt, finished or outcome is Outcome.SUCCESS, **more)


def peer_message(rate, stress=1.0, need=0.0, marks=()):
    """What a peer of a gateway with one tenant and one class tells."""
    return PeerMessage([rate], stress, [need], list(marks)).pack()


def of_type(kind, actions):
    return [a for a in actions if isinstance(a, kind)]


def sent(actions):
    return of_type(api.StartAttempt, actions)


def polling_gateway(*classes, **over):
    """A gateway whose engines tell their load to those who probe."""
    return make_gateway(*classes, **{"engines": 8, "probes": True, "fields": ("rif",), "fronts": 100} | over)


def probed_engines(actions):
    return [a.engine for a in of_type(api.CheckHealth, actions)]


def report(engine, held):
    return api.HealthCheckResult(engine, Outcome.SUCCESS, 1.0, {"rif": float(held)})


def fraction(gateway):
    gateway._update_limit()
    return gateway.gossip.fraction


COLD = {"cold": 10000.0, "cold_share": 0.3, "overload_factor": 2.0, "fall": 1000.0, "fronts": 100}
