"""States of zones, what members observe of zones, and the votes and decisions that they exchange.

Types and one classification, no state. Used by all of this package.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from msgspec import Struct

from decklb.locality.settings import LocalitySettings

LEAVING_FACTOR = 0.8  # times the threshold at which a state is entered: where it is left (hysteresis)
NEVER = -float("inf")


class ZoneState(IntEnum):
    """Of a zone. The numbers are the wire format. A zone that was out returns before it is healthy."""

    HEALTHY = 0
    DEGRADED = 1
    OUT = 2
    RETURNING = 3


AVAILABLE_STATES = (ZoneState.HEALTHY, ZoneState.DEGRADED)  # any request may be sent there


class DecidedState(NamedTuple):
    """What holds for a zone, and since when (ms on this member's clock)."""

    state: ZoneState
    since: float


@dataclass(frozen=True, slots=True)
class ZoneObservation:
    """What one member has observed of a zone lately."""

    reachable_fraction: float  # of the zone's capacity, by this member
    error_rate: float = 0.0  # fraction of its attempts there that the engines failed
    latency_ratio: float = 1.0  # to the usual latency
    health_checks_only: bool = False  # no request was sent there, all checks were answered: errors don't show

    @property
    def unreachable(self) -> bool:
        """Whether engines that can't be reached are what speaks against the zone; it may be the network to them."""
        return 1.0 - self.reachable_fraction > self.error_rate


class Vote(Struct, frozen=True, gc=False):
    """A member's vote on a zone, as it tells all others."""

    zone: str
    member: str
    term: int
    state: ZoneState | None  # None: nothing that it observed speaks for a change
    observed: bool  # it has sent requests there lately, or found engines unreachable
    unreachable: bool = False  # see ZoneObservation
    reachable_fraction: float = 1.0  # of the zone's capacity


class Decision(Struct, frozen=True, gc=False):
    """A decided state and its term."""

    zone: str
    term: int
    state: ZoneState
    age_ms: float = 0.0  # since it was decided, by the sender's clock


def classify(observation: ZoneObservation, current: ZoneState, settings: LocalitySettings) -> ZoneState:
    """The state that an observation by itself speaks for.

    A state is left only well past where it was entered, so that a zone at the edge does not flap.
    """
    factor = LEAVING_FACTOR if current in (ZoneState.DEGRADED, ZoneState.OUT) else 1.0
    failing = max(1.0 - observation.reachable_fraction, observation.error_rate)
    if failing >= settings.out_threshold * factor:
        return ZoneState.OUT
    slow = observation.latency_ratio >= settings.degraded_latency_ratio * factor
    if failing >= settings.degraded_threshold * factor or slow:
        return ZoneState.DEGRADED
    return ZoneState.HEALTHY
