"""How slow each engine is: times the usual that its answers take, by own answers and peers' reports.

A moving average that fades to 1. The router weighs it, gossip spreads it. State: two fields of each engine.
"""

from __future__ import annotations

from decklb.policy.constants import PEER_WEIGHT
from decklb.policy.records import Engine

MAX_SLOWDOWN = 15.0  # times the usual that an engine counts as slow: an error counts as much
OWN_WEIGHT = 4 * PEER_WEIGHT  # weight of one own answer


def record(engine: Engine, slowdown: float) -> None:
    """An answer there took this many times the usual."""
    engine.slowdown += OWN_WEIGHT * (min(slowdown, MAX_SLOWDOWN) - engine.slowdown)
    engine.slowdown_changed = True


def record_error(engine: Engine) -> None:
    """Quick errors leave an engine idle, so that it would draw more and more requests."""
    record(engine, MAX_SLOWDOWN)


def record_peer(engine: Engine, slowdown: float) -> None:
    """Follow what a peer reports."""
    engine.slowdown += PEER_WEIGHT * (slowdown - engine.slowdown)


def refresh(engines: list[Engine], now: float) -> None:
    """Once a second: fade, and take what is in flight for longer as word of a jam that answers nothing."""
    for engine in engines:
        engine.slowdown += PEER_WEIGHT * (1 - engine.slowdown)
        oldest = max(
            ((now - a.sent_at) / a.request.expected_run_ms() for a in engine.attempts.values()), default=0.0
        )
        if oldest > engine.slowdown:
            record(engine, oldest)


def take_changed(engines: list[Engine]) -> list[tuple[int, float]]:
    """Tag and slowdown of the engines with own marks since the last call, for peers."""
    changed = [engine for engine in engines if engine.slowdown_changed]
    for engine in changed:
        engine.slowdown_changed = False
    return [(engine.tag(), engine.slowdown) for engine in changed]
