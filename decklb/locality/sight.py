"""What one member sees of each zone: engines reached or not, errors, latency; and which engines to probe (free of I/O).

Requests tell most, probes the rest: a member probes an engine that nothing told of lately. In a large zone it looks at
a few engines, drawn by its name, so that members together look at all of them and each sends little.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from zlib import crc32

from decklb.interface import Entry, Outcome, Phase
from decklb.locality.settings import LocalitySettings
from decklb.locality.zones import View

SAMPLE = 8  # engines of a zone that one member looks at
MEMBERS = 16  # from which on each looks more rarely, so that engines bear no more probes as the fleet grows
ERRORS, LATENCY = 0.05, 0.05  # weight of one attempt in running means
DRIFT = 0.002  # by which the best latency is forgotten with each answer
FLOOR = 20.0  # ms added to both sides of a ratio, or a hiccup of a millisecond would look like a slow zone
ANSWERED = (Outcome.GOOD, Outcome.BAD, Outcome.FULL)
MISSED = (Outcome.NOCONN, Outcome.RST, Outcome.LATE)


@dataclass(slots=True)
class Seen:
    """One engine."""

    zone: str
    cores: float
    misses: int = 0  # in a row
    answered: float = -float("inf")
    asked: float = -float("inf")  # when it was last probed


@dataclass(slots=True)
class Field:
    """One zone."""

    errors: float = 0.0
    slowness: float = 1.0
    tried: float = -float("inf")  # when a request's attempt last ended there
    looked: tuple[str, ...] = ()  # engines that this member probes
    latency: dict[str, float] = field(default_factory=dict)  # by class


def in_use(entries: Iterable[Entry], cores: Mapping[str, int]) -> dict[str, tuple[str, float]]:
    """Zone and cores of each engine that the list calls up; `cores` by kind."""
    return {e.engine: (e.zone, float(max(1, cores.get(e.kind, 1)))) for e in entries if e.phase is Phase.UP}


class Sight:
    """All zones, as one member sees them."""

    def __init__(self, settings: LocalitySettings, me: str) -> None:
        self.s, self.me = settings, me
        self.engines: dict[str, Seen] = {}
        self.zones: dict[str, Field] = {}
        self._best: dict[str, float] = {}  # least mean latency of a class in any zone

    def listed(self, engines: Mapping[str, tuple[str, float]]) -> None:
        """The engines that the list calls up: zone and cores of each."""
        kept = {}
        for name, (zone, cores) in engines.items():
            old = self.engines.get(name)
            kept[name] = old if old is not None and (old.zone, old.cores) == (zone, cores) else Seen(zone, cores)
        self.engines = kept
        names: dict[str, list[str]] = {}
        for name, e in kept.items():
            names.setdefault(e.zone, []).append(name)
        self.zones = {zone: self.zones.get(zone) or Field() for zone in names}
        for zone, those in names.items():
            those.sort(key=lambda n: (crc32(f"{self.me}/{n}".encode()), n))
            self.zones[zone].looked = tuple(those[:SAMPLE])

    def ended(self, now: float, engine: str, lane: str, outcome: Outcome, took: float) -> None:
        """An attempt of a request."""
        e = self.engines.get(engine)
        if e is None or outcome not in ANSWERED + MISSED:
            return
        zone = self.zones[e.zone]
        zone.tried = now
        if outcome in ANSWERED:
            e.misses, e.answered = 0, now
            zone.errors += ERRORS * ((outcome is Outcome.BAD) - zone.errors)
        elif e.answered < now - took or outcome is Outcome.NOCONN:  # else it was the request, not the engine
            e.misses += 1
        if outcome is Outcome.GOOD:
            self._timed(zone, lane, took)

    def probed(self, now: float, engine: str, ok: bool, took: float) -> bool:
        """A probe's end; true if the engine has come to be down by it."""
        e = self.engines.get(engine)
        if e is None:
            return False
        if not ok:
            e.misses += 1
            return e.misses == self.s.misses
        e.misses, e.answered = 0, now
        self._timed(self.zones[e.zone], "", took)
        return False

    def down(self) -> list[str]:
        """Engines that this member can't reach."""
        return [name for name, e in self.engines.items() if e.misses >= self.s.misses]

    def due(self, now: float, members: int) -> list[str]:
        """Engines to probe now; each counts as asked."""
        wait, found = self.s.look * max(1.0, members / MEMBERS), []
        for zone in self.zones.values():
            for name in zone.looked:
                e = self.engines[name]
                last = max(e.asked, e.answered) if not e.misses else e.asked
                if now - last >= wait:
                    e.asked = now
                    found.append(name)
        return found

    def view(self, zone: str, now: float) -> View | None:
        """What this member holds of a zone; none where nothing told of it lately."""
        f = self.zones.get(zone)
        if f is None:
            return None
        looked = [self.engines[n] for n in f.looked]
        if not any(e.misses or now - e.answered <= self.s.fresh for e in looked):
            return None
        cores = sum(e.cores for e in looked)
        up = sum(e.cores for e in looked if e.misses < self.s.misses) / cores if cores > 0 else 1.0
        tried = now - f.tried <= self.s.fresh
        return View(up, f.errors if tried else 0.0, f.slowness, not tried and up >= 1.0)

    def _timed(self, zone: Field, lane: str, took: float) -> None:
        last = zone.latency.get(lane, took)
        zone.latency[lane] = last + LATENCY * (took - last)
        best = min(self._best.get(lane, took) * (1 + DRIFT), zone.latency[lane])
        self._best[lane] = best
        zone.slowness += 2 * LATENCY * ((took + FLOOR) / (best + FLOOR) - zone.slowness)
