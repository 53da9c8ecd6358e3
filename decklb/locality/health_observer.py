"""One member's observation of each zone (reachable engines, errors, latency), and which engines it health-checks.

Most observations come from the attempts of requests; engines that have not answered recently are health-checked. In a
large zone a member checks only a few engines, selected by a hash of the member's and the engine's name, so that the
members together check all engines while each sends few checks.

Owns the health of each engine and the moving averages of each zone. `runtime.py` passes in the results of attempts and
health checks. Does no I/O. Times are ms on this member's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from decklb.interface import Endpoint, Outcome, Phase
from decklb.locality.settings import LocalitySettings
from decklb.locality.zone_state import NEVER, ZoneObservation

CHECKED_ENGINES = 8  # maximum number of engines per zone that one member checks
MEMBERS_AT_FULL_RATE = 16  # in larger fleets each member checks less often, so that the load on engines stays the same
ERROR_WEIGHT = 0.05  # weight of one attempt in the moving average of the error rate
LATENCY_WEIGHT = 0.05  # weight of one answer in the moving average of the latency
BEST_LATENCY_DECAY = 0.002  # fraction by which the best latency rises with each answer, so that old minima fade
RATIO_FLOOR_MS = 20.0  # added to both sides of the latency ratio: a delay of 1 ms must not make a fast zone look slow
HEALTH_CHECK_CLASS = ""  # key for the latency of health checks, in place of a request class
ANSWERED = (Outcome.SUCCESS, Outcome.ERROR, Outcome.OVERLOADED)
UNANSWERED = (Outcome.UNREACHABLE, Outcome.CONNECTION_RESET, Outcome.TIMED_OUT)


class EngineCapacity(NamedTuple):
    """Zone and cores of an engine that is up according to the endpoint list."""

    zone: str
    cores: float


@dataclass(slots=True)
class EngineHealth:
    """The health of one engine as observed by this member."""

    zone: str
    cores: float
    failures: int = 0  # number of consecutive failures
    answered_at: float = NEVER
    checked_at: float = NEVER


@dataclass(slots=True)
class ZoneHealth:
    """The health of one zone. Averages are exponentially weighted."""

    error_rate: float = 0.0
    latency_ratio: float = 1.0  # latency relative to the best average of any zone
    attempt_ended_at: float = NEVER
    checked_engines: tuple[str, ...] = ()  # engines that this member health-checks
    latency_ms: dict[str, float] = field(default_factory=dict)  # average latency by request class


def engine_capacities(endpoints: Iterable[Endpoint], cores_by_kind: Mapping[str, int]) -> dict[str, EngineCapacity]:
    """Return zone and cores of each engine that is up according to the endpoint list."""
    return {
        endpoint.engine_id: EngineCapacity(endpoint.zone, float(max(1, cores_by_kind.get(endpoint.kind, 1))))
        for endpoint in endpoints
        if endpoint.phase is Phase.UP
    }


class ZoneHealthObserver:
    """One member's observations of all zones.

    Attributes:
        engines: Health of each engine that is up according to the endpoint list.
        zones: Health of each zone that has such engines.
    """

    def __init__(self, settings: LocalitySettings, member: str) -> None:
        self.engines: dict[str, EngineHealth] = {}
        self.zones: dict[str, ZoneHealth] = {}
        self._settings, self._member = settings, member
        self._best_latency_ms: dict[str, float] = {}  # lowest average of any zone, by request class

    def update_engines(self, engines: Mapping[str, EngineCapacity]) -> None:
        """Replace the engines; an engine whose zone and cores are unchanged keeps its recorded health."""
        updated = {}
        for name, capacity in engines.items():
            engine = self.engines.get(name)
            if engine is None or (engine.zone, engine.cores) != capacity:
                engine = EngineHealth(capacity.zone, capacity.cores)
            updated[name] = engine
        self.engines = updated
        names_by_zone: dict[str, list[str]] = {}
        for name, engine in updated.items():
            names_by_zone.setdefault(engine.zone, []).append(name)
        self.zones = {zone: self.zones.get(zone) or ZoneHealth() for zone in names_by_zone}
        for zone, names in names_by_zone.items():
            names.sort(key=lambda name: (crc32(f"{self._member}/{name}".encode()), name))
            self.zones[zone].checked_engines = tuple(names[:CHECKED_ENGINES])

    def attempt_ended(
        self, now: float, engine_id: str, request_class: str, outcome: Outcome, duration_ms: float
    ) -> None:
        """Record the result of an attempt of a request."""
        engine = self.engines.get(engine_id)
        if engine is None or outcome not in ANSWERED + UNANSWERED:
            return
        zone = self.zones[engine.zone]
        zone.attempt_ended_at = now
        if outcome in ANSWERED:
            engine.failures, engine.answered_at = 0, now
            zone.error_rate += ERROR_WEIGHT * ((outcome is Outcome.ERROR) - zone.error_rate)
        elif engine.answered_at < now - duration_ms or outcome is Outcome.UNREACHABLE:
            # A lost connection or a timeout is not counted if the engine answered other requests during the attempt, as
            # the request itself has caused it then.
            engine.failures += 1
        if outcome is Outcome.SUCCESS:
            self._add_latency(zone, request_class, duration_ms)

    def health_check_ended(self, now: float, engine_id: str, answered: bool, duration_ms: float) -> bool:
        """Record the result of a health check, and return whether the engine has just become unreachable."""
        engine = self.engines.get(engine_id)
        if engine is None:
            return False
        if not answered:
            engine.failures += 1
            return engine.failures == self._settings.unhealthy_threshold
        engine.failures, engine.answered_at = 0, now
        self._add_latency(self.zones[engine.zone], HEALTH_CHECK_CLASS, duration_ms)
        return False

    def unreachable_engines(self) -> list[str]:
        """Return the engines that this member cannot reach."""
        return [name for name, engine in self.engines.items() if not self._reachable(engine)]

    def take_due_health_checks(self, now: float, member_count: int) -> list[str]:
        """Return the engines to check now, and mark them as checked."""
        interval_ms = self._settings.health_check_interval_ms * max(1.0, member_count / MEMBERS_AT_FULL_RATE)
        due = []
        for zone in self.zones.values():
            for name in zone.checked_engines:
                engine = self.engines[name]
                last = engine.checked_at if engine.failures else max(engine.checked_at, engine.answered_at)
                if now - last >= interval_ms:
                    engine.checked_at = now
                    due.append(name)
        return due

    def observation(self, zone_name: str, now: float) -> ZoneObservation | None:
        """Return this member's observation of a zone; None if no checked engine has answered or failed recently."""
        zone = self.zones.get(zone_name)
        if zone is None:
            return None
        ttl_ms = self._settings.observation_ttl_ms
        engines = [self.engines[name] for name in zone.checked_engines]
        if not any(engine.failures or now - engine.answered_at <= ttl_ms for engine in engines):
            return None
        total = sum(engine.cores for engine in engines)
        reachable = sum(engine.cores for engine in engines if self._reachable(engine))
        fraction = reachable / total if total > 0 else 1.0
        attempted = now - zone.attempt_ended_at <= ttl_ms
        return ZoneObservation(
            fraction,
            zone.error_rate if attempted else 0.0,
            zone.latency_ratio,
            health_checks_only=not attempted and fraction >= 1.0,
        )

    def _reachable(self, engine: EngineHealth) -> bool:
        return engine.failures < self._settings.unhealthy_threshold

    def _add_latency(self, zone: ZoneHealth, request_class: str, duration_ms: float) -> None:
        mean = zone.latency_ms.get(request_class, duration_ms)
        zone.latency_ms[request_class] = mean + LATENCY_WEIGHT * (duration_ms - mean)
        best = self._best_latency_ms.get(request_class, duration_ms) * (1 + BEST_LATENCY_DECAY)
        best = self._best_latency_ms[request_class] = min(best, zone.latency_ms[request_class])
        ratio = (duration_ms + RATIO_FLOOR_MS) / (best + RATIO_FLOOR_MS)
        zone.latency_ratio += 2 * LATENCY_WEIGHT * (ratio - zone.latency_ratio)
