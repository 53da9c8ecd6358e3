"""States of zones, members' observations of zones, and the votes and decisions that members exchange.

Defines types and the classification of observations; holds no state. Used by all modules of this package.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from msgspec import Struct

from decklb.locality.settings import LocalitySettings

HYSTERESIS_FACTOR = 0.8  # a state is left below this multiple of the threshold at which it is entered
NEVER = -float("inf")


class ZoneState(IntEnum):
    """State of a zone. The numbers are the wire format. A zone that was out is returning before it is healthy."""

    HEALTHY = 0
    DEGRADED = 1
    OUT = 2
    RETURNING = 3


AVAILABLE_STATES = (ZoneState.HEALTHY, ZoneState.DEGRADED)  # zones in these states accept any request


class DecidedState(NamedTuple):
    """The state of a zone, and since when it holds (ms on this member's clock)."""

    state: ZoneState
    since: float


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """One member's recent observation of a zone."""

    reachable_fraction: float  # fraction of the zone's capacity that this member can reach
    error_rate: float = 0.0  # fraction of its attempts there that engines answered with an error
    latency_ratio: float = 1.0  # ratio of the zone's latency to the best zone's
    health_checks_only: bool = False  # no recent requests and no unreachable engine, so errors cannot be observed

    @property
    def unreachable(self) -> bool:
        """Whether unreachable engines, not errors, are the main fault; this member's network may be the cause."""
        return 1.0 - self.reachable_fraction > self.error_rate


class Vote(Struct, frozen=True, gc=False):
    """A member's vote on a zone, as sent to all other members."""

    zone: str
    member: str
    term: int
    state: ZoneState | None  # None: the member has cast no vote in an undecided term
    observed: bool  # the member has recently sent requests there, or found engines unreachable
    unreachable: bool = False  # see ZoneObservation
    reachable_fraction: float = 1.0  # fraction of the zone's capacity


class Decision(Struct, frozen=True, gc=False):
    """A decided state and its term."""

    zone: str
    term: int
    state: ZoneState
    age_ms: float = 0.0  # ms since the decision, by the sender's clock


def classify(observation: ZoneObservation, current: ZoneState, settings: LocalitySettings) -> ZoneState:
    """Return the state that corresponds to an observation.

    The threshold for leaving a state is lower than the one for entering it, so that a zone close to a threshold does
    not flap.
    """
    factor = HYSTERESIS_FACTOR if current in (ZoneState.DEGRADED, ZoneState.OUT) else 1.0
    failing = max(1.0 - observation.reachable_fraction, observation.error_rate)
    if failing >= settings.out_threshold * factor:
        return ZoneState.OUT
    slow = observation.latency_ratio >= settings.degraded_latency_ratio * factor
    if failing >= settings.degraded_threshold * factor or slow:
        return ZoneState.DEGRADED
    return ZoneState.HEALTHY
