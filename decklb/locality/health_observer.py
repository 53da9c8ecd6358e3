"""What one member observes of each zone: engines reachable or not, errors, latency; and which engines it checks.

Requests show most, health checks the rest: a member checks an engine that has not answered lately. In a large zone it
checks a few engines, chosen by a hash of its name, so that members together check all of them and each sends little.

Owns the health of each engine and the running means of each zone. Fed by `runtime.py` with the ends of attempts and
health checks; free of I/O. Times are ms on this member's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from decklb.interface import Endpoint, Outcome, Phase
from decklb.locality.settings import LocalitySettings
from decklb.locality.zone_state import NEVER, ZoneObservation

CHECKED_ENGINES = 8  # of a zone, by one member
MEMBERS_AT_FULL_RATE = 16  # more than these check more rarely, so that engines get no more checks as the fleet grows
ERROR_WEIGHT = 0.05  # of one attempt in the running mean of errors
LATENCY_WEIGHT = 0.05  # of one answer in the running mean of latency
BEST_LATENCY_DECAY = 0.002  # fraction by which the best latency is forgotten with each answer
RATIO_FLOOR_MS = 20.0  # added to both sides of a ratio, or a hiccup of a millisecond would look like a slow zone
HEALTH_CHECK_CLASS = ""  # in place of a request class, for the latency of health checks
ANSWERED = (Outcome.SUCCESS, Outcome.ERROR, Outcome.OVERLOADED)
UNANSWERED = (Outcome.UNREACHABLE, Outcome.CONNECTION_RESET, Outcome.TIMED_OUT)


class EngineCapacity(NamedTuple):
    """An engine of the endpoint list that is up."""

    zone: str
    cores: float


@dataclass(slots=True)
class EngineHealth:
    """One engine, as this member reaches it."""

    zone: str
    cores: float
    failures: int = 0  # in a row
    answered_at: float = NEVER
    checked_at: float = NEVER


@dataclass(slots=True)
class ZoneHealth:
    """One zone. The means are exponentially weighted."""

    error_rate: float = 0.0
    latency_ratio: float = 1.0  # to the best of any zone
    attempt_ended_at: float = NEVER
    checked_engines: tuple[str, ...] = ()  # whose health this member checks
    latency_ms: dict[str, float] = field(default_factory=dict)  # mean, by request class


def engine_capacities(entries: Iterable[Endpoint], cores_by_kind: Mapping[str, int]) -> dict[str, EngineCapacity]:
    """Zone and cores of each engine that the endpoint list calls up."""
    return {
        entry.engine_id: EngineCapacity(entry.zone, float(max(1, cores_by_kind.get(entry.kind, 1))))
        for entry in entries
        if entry.phase is Phase.UP
    }


class ZoneHealthObserver:
    """All zones, as one member observes them.

    Attributes:
        engines: Health of each engine that the endpoint list calls up.
        zones: Health of each zone that has such engines.
    """

    def __init__(self, settings: LocalitySettings, member: str) -> None:
        self.engines: dict[str, EngineHealth] = {}
        self.zones: dict[str, ZoneHealth] = {}
        self._settings, self._member = settings, member
        self._best_latency_ms: dict[str, float] = {}  # least mean of any zone, by request class

    def update_engines(self, engines: Mapping[str, EngineCapacity]) -> None:
        """Take over the engines that the endpoint list calls up; an engine that stays keeps its health."""
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
        self, now: float, engine_name: str, request_class: str, outcome: Outcome, duration_ms: float
    ) -> None:
        """Take the end of a request's attempt."""
        engine = self.engines.get(engine_name)
        if engine is None or outcome not in ANSWERED + UNANSWERED:
            return
        zone = self.zones[engine.zone]
        zone.attempt_ended_at = now
        if outcome in ANSWERED:
            engine.failures, engine.answered_at = 0, now
            zone.error_rate += ERROR_WEIGHT * ((outcome is Outcome.ERROR) - zone.error_rate)
        elif engine.answered_at < now - duration_ms or outcome is Outcome.UNREACHABLE:  # else the request's fault
            engine.failures += 1
        if outcome is Outcome.SUCCESS:
            self._add_latency(zone, request_class, duration_ms)

    def health_check_ended(self, now: float, engine_name: str, answered: bool, duration_ms: float) -> bool:
        """Take the end of a health check; returns whether the engine has become unreachable by it."""
        engine = self.engines.get(engine_name)
        if engine is None:
            return False
        if not answered:
            engine.failures += 1
            return engine.failures == self._settings.unhealthy_threshold
        engine.failures, engine.answered_at = 0, now
        self._add_latency(self.zones[engine.zone], HEALTH_CHECK_CLASS, duration_ms)
        return False

    def unreachable_engines(self) -> list[str]:
        """Engines that this member can't reach."""
        return [name for name, engine in self.engines.items() if not self._reachable(engine)]

    def take_due_health_checks(self, now: float, member_count: int) -> list[str]:
        """Engines to check now; each counts as checked by this call."""
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
        """What this member holds of a zone; None where no engine answered or failed lately."""
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
