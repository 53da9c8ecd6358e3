"""Slowdown of each engine: duration of its answers over the usual, from own answers and peers' reports.

It is a moving average that decays to 1. The router weighs it, gossip spreads it. State: two fields of each
engine.
"""

from __future__ import annotations

from decklb.policy.constants import PEER_WEIGHT
from decklb.policy.records import Engine

MAX_SLOWDOWN = 15.0  # upper bound of the slowdown of one answer; an error counts as this much
OWN_ANSWER_WEIGHT = 4 * PEER_WEIGHT  # weight of one own answer


def record(engine: Engine, slowdown: float) -> None:
    """Update the slowdown of an engine with that of an own answer."""
    engine.slowdown += OWN_ANSWER_WEIGHT * (min(slowdown, MAX_SLOWDOWN) - engine.slowdown)
    engine.slowdown_changed = True


def record_error(engine: Engine) -> None:
    """Record an error as the largest slowdown.

    Quick errors leave an engine idle, so it would attract more and more requests.
    """
    record(engine, MAX_SLOWDOWN)


def record_peer(engine: Engine, slowdown: float) -> None:
    """Update the slowdown of an engine with that reported by a peer."""
    engine.slowdown += PEER_WEIGHT * (slowdown - engine.slowdown)


def refresh(engines: list[Engine], now: float) -> None:
    """Once a second: decay the slowdown, and count long-running attempts as slow.

    An overloaded engine may answer nothing at all, so its answers alone would not show the overload.
    """
    for engine in engines:
        engine.slowdown += PEER_WEIGHT * (1 - engine.slowdown)
        oldest = max(
            (
                (now - attempt.sent_at) / attempt.request.expected_run_ms()
                for attempt in engine.attempts.values()
            ),
            default=0.0,
        )
        if oldest > engine.slowdown:
            record(engine, oldest)


def take_changed(engines: list[Engine]) -> list[tuple[int, float]]:
    """Return identifier and slowdown of engines updated by own attempts since the last call."""
    changed = [engine for engine in engines if engine.slowdown_changed]
    for engine in changed:
        engine.slowdown_changed = False
    return [(engine.short_id(), engine.slowdown) for engine in changed]
