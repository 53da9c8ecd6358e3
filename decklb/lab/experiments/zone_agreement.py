"""Compares zone states decided in common with each manager deciding alone, on a simulated network.

Managers stand in zones, two zones a region; requests are a fluid: each manager sends the rate of its own callers by
`locality.spill`, by the states that it holds. A case breaks something for a while. Seeded: the same seed, the same run,
with the same faults for both ways of deciding. Run by `decklb lab zones` and tests. Times are simulated milliseconds
unless a name says otherwise.
"""

from __future__ import annotations

import random
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field, replace

from decklb.locality.coordinator import ZoneCoordinator
from decklb.locality.runtime import LARGE_FLEET
from decklb.locality.settings import DecisionMode, LocalitySettings
from decklb.locality.spillover import ZoneStatus, routing_shares, usable_capacity
from decklb.locality.zone_state import ZoneObservation, ZoneState

STEP_MS = 250.0  # between ticks of a member
CASES = ("lost", "parted", "slow", "region", "halves", "liar", "flicker")
LOSS_CASES = ("lost", "region", "halves")  # the zone is lost as a whole
OBSERVER_CASES = ("parted", "liar")  # the zone is well, and some members see or report it wrongly
STRUCK_MS, MENDED_MS, END_MS = 10_000.0, 25_000.0, 60_000.0
MESSAGE_LOSS = 0.05
FLICKER_MS = 1500.0  # that a flickering zone is lost, and then well
SLOWNESS = 6.0  # of a slow zone
ERROR_NOISE = 0.05  # highest share of errors that members see of a zone that is well
LATENCY_NOISE = (0.9, 1.2)  # range of the slowness that members see of a zone that is well
ZONE_CAPACITY = 1000.0  # requests a second that a zone bears
ZONE_LOAD = 600.0  # requests a second of a zone's callers
PERCENTILES = (50, 99)


@dataclass(slots=True)
class ZoneRunResult:
    """What one run showed.

    Attributes:
        case, common, seed: Of the run; `common` says whether states were decided in common.
        decided: From the loss until each member held the zone out, in ms.
        wrong: States in which a member held a zone out that was well.
        changes: Of states, over all members and zones.
        left: Share of requests that left a zone that was never struck, and could have borne them.
        errors: Share of requests sent to where nothing answers, or beyond what is borne.
        flood: Highest load on a returning zone over what it bears.
        series: Seconds, load on the struck zone, and what it bears, as shares of its capacity.
    """

    case: str
    common: bool
    seed: int
    decided: list[float] = field(default_factory=list)
    wrong: int = 0
    changes: int = 0
    left: float = 0.0
    errors: float = 0.0
    flood: float = 0.0
    series: list[tuple[float, float, float]] = field(default_factory=list)


class ZoneSimulation:
    """One run of a case.

    Attributes:
        now: Simulated time.
        home: Zone of each manager.
        members: Each manager's part in the decisions on zones.
        target: The zone that the case is about; `struck` are all zones that it breaks.
        cut_off, half, liar: Members that can't reach the target, are on one side of a partition, or report falsely.
    """

    def __init__(
        self, case: str, seed: int, common: bool, managers: int, zones: int, settings: LocalitySettings
    ) -> None:
        self.case, self.common, self.now = case, common, 0.0
        self.rng, self.result = random.Random(f"{case}/{seed}"), ZoneRunResult(case, common, seed)
        self.zones = [f"z{i}" for i in range(zones)]
        self.region = {zone: f"r{i // 2}" for i, zone in enumerate(self.zones)}
        self.settings = replace(
            settings,
            regions=self._regions(),
            home_zone=self.zones[0],
            member_count=managers,
            decision_mode=DecisionMode.COMMON if common else DecisionMode.ALONE,
        )
        self.home = {f"m{i}": self.zones[i % zones] for i in range(managers)}
        self.caller_rate = ZONE_LOAD * zones / managers  # requests a second of one manager's callers
        self.members = {name: self._make_member(name) for name in self.home}
        self._draw_fault(managers)
        self._tick_every = max(
            1, round(managers / LARGE_FLEET)
        )  # steps between two ticks of a member, as in the program
        self._arriving: dict[int, list[tuple[str, str, bytes]]] = {}  # messages by the step at which they arrive
        self._states: dict[tuple[str, str], ZoneState] = {}  # that members hold, by member and zone
        self._held_out_ms: dict[str, float] = {}  # from the loss until each member held the zone out
        self._sent = self._left = self._failed = 0.0  # sums of rates over all steps

    def _regions(self) -> tuple[tuple[str, tuple[str, ...]], ...]:
        names = sorted(set(self.region.values()))
        return tuple((name, tuple(zone for zone in self.zones if self.region[zone] == name)) for name in names)

    def _make_member(self, name: str) -> ZoneCoordinator:
        member = ZoneCoordinator(replace(self.settings, home_zone=self.home[name]), name, 0.0)
        member.update_members(self.home)
        member.own_load_cores = self.caller_rate
        return member

    def _draw_fault(self, managers: int) -> None:
        rng, home = self.rng, self.home
        self.target = rng.choice(self.zones)
        self.struck = {self.target}
        if self.case == "region":
            self.struck = {zone for zone in self.zones if self.region[zone] == self.region[self.target]}
        outside = sorted(name for name in home if home[name] != self.target)
        self.cut_off = set(rng.sample(outside, managers // 4))
        self.half = set(rng.sample(sorted(home), managers // 2))
        self.liar = rng.choice(sorted(home))

    def run(self) -> ZoneRunResult:
        """Play to the end."""
        while self.now < END_MS:
            health = self._health_of_zones()
            step = round(self.now / STEP_MS)
            ticking = [name for i, name in enumerate(self.members) if (step + i) % self._tick_every == 0]
            for name in ticking:
                self._observe(name, health)
            for sender, receiver, message in self._arriving.pop(step, ()):
                self.members[receiver].receive(self.now, sender, message)
            for name in ticking:
                self._tick(name, step)
            self._serve(self._route(), health)
            self._note_states(health)
            self.now += STEP_MS
        result = self.result
        result.decided = sorted(self._held_out_ms.values())
        result.left, result.errors = self._left / self._sent, self._failed / self._sent
        return result

    @property
    def _struck_now(self) -> bool:
        return STRUCK_MS <= self.now < MENDED_MS

    def _health_of_zones(self) -> dict[str, float]:
        """Return the share of each zone that answers."""
        flickers = self.case == "flicker" and self._struck_now and int(self.now / FLICKER_MS) % 2 == 0
        lost = self.case in LOSS_CASES and self._struck_now or flickers
        return {zone: 0.0 if lost and zone in self.struck else 1.0 for zone in self.zones}

    def _observe(self, name: str, health: dict[str, float]) -> None:
        """Give a member its own view of all zones."""
        for zone in self.zones:
            up, slowness = health[zone], 1.0
            if zone == self.target:
                unreachable = self.case == "parted" and self._struck_now and name in self.cut_off
                if unreachable or self.case == "liar" and name == self.liar:
                    up = 0.0
                if self.case == "slow" and self._struck_now:
                    slowness = SLOWNESS
            errors = self.rng.random() * ERROR_NOISE
            latency = slowness * self.rng.uniform(*LATENCY_NOISE)
            view = ZoneObservation(up, errors, latency, up >= 1.0 and zone != self.home[name])
            self.members[name].observe(self.now, zone, view)

    def _tick(self, name: str, step: int) -> None:
        """Tick a member and put its messages on the network, which loses some."""
        member = self.members[name]
        member.tick(self.now)
        messages, member.outgoing = member.outgoing, []
        for other in self.members if self.common else ():
            split = self.case == "halves" and self._struck_now and (name in self.half) != (other in self.half)
            if other != name and not split:
                # A member takes messages at its next step, whatever within a step their delay was.
                arriving = self._arriving.setdefault(step + 1, [])
                arriving.extend((name, other, m) for m in messages if self.rng.random() >= MESSAGE_LOSS)

    def _route(self) -> dict[str, float]:
        """Return the rate that arrives at each zone, each manager sending where its own states say."""
        arriving = dict.fromkeys(self.zones, 0.0)
        for name, member in self.members.items():
            demand = member.load_cores(self.now)
            places = {
                zone: ZoneStatus(
                    self.region[zone],
                    ZONE_CAPACITY,
                    demand[zone],
                    *member.state(zone),
                    member.reachable_fraction(zone, self.now),
                )
                for zone in self.zones
            }
            home = self.home[name]
            routed = routing_shares(home, places, self.now, self.settings)
            for zone, share in routed.items():
                arriving[zone] += self.caller_rate * share
            self._sent += self.caller_rate
            if home not in self.struck or self.case in OBSERVER_CASES:
                self._left += self.caller_rate * (1.0 - routed.get(home, 0.0))
        return arriving

    def _serve(self, arriving: dict[str, float], health: dict[str, float]) -> None:
        """Count what zones can't bear."""
        for zone in self.zones:
            bearable = ZONE_CAPACITY * health[zone]
            if self.case in LOSS_CASES and zone in self.struck and self.now >= MENDED_MS:
                bearable = min(bearable, self._bearable_after_return(zone))
                if arriving[zone] > 0:
                    self.result.flood = max(self.result.flood, arriving[zone] / bearable)
            self._failed += max(0.0, arriving[zone] - bearable)
            if zone == self.target:
                point = (self.now / 1000.0, arriving[zone] / ZONE_CAPACITY, bearable / ZONE_CAPACITY)
                self.result.series.append(point)

    def _bearable_after_return(self, zone: str) -> float:
        """Return what a zone that comes back bears: it has to warm up, over the recovery ramp."""
        place = ZoneStatus(self.region[zone], ZONE_CAPACITY, ZONE_LOAD, ZoneState.RETURNING, MENDED_MS)
        return usable_capacity(place, self.now, self.settings) / self.settings.max_utilization

    def _note_states(self, health: dict[str, float]) -> None:
        """Count changes of the states that members hold."""
        for name, member in self.members.items():
            for zone in self.zones:
                state = member.state(zone)[0]
                if state is not self._states.get((name, zone), ZoneState.HEALTHY):
                    self._states[name, zone] = state
                    self.result.changes += 1
                    self.result.wrong += health[zone] > 0 and state is ZoneState.OUT and self.case in OBSERVER_CASES
                if state is ZoneState.OUT and zone in self.struck and self.case in LOSS_CASES:
                    self._held_out_ms.setdefault(name, self.now - STRUCK_MS)


def play(
    case: str, seed: int, common: bool, managers: int = 12, zones: int = 4, settings: LocalitySettings | None = None
) -> ZoneRunResult:
    """Play one case with one seed.

    Raises:
        ValueError: There is no such case.
    """
    if case not in CASES:
        raise ValueError(f"no case {case!r}; one of {', '.join(CASES)}")
    return ZoneSimulation(case, seed, common, managers, zones, settings or LocalitySettings()).run()


def campaign(cases: list[str], seeds: list[int], managers: int, zones: int, workers: int) -> list[ZoneRunResult]:
    """Play all cases and seeds, decided both ways, in processes side by side."""
    jobs = [(case, seed, common, managers, zones) for case in cases for seed in seeds for common in (False, True)]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_play, jobs))


def _play(job: tuple[str, int, bool, int, int]) -> ZoneRunResult:
    return play(*job)


def table(results: list[ZoneRunResult]) -> list[dict[str, object]]:
    """Return a row for each case and way of deciding. The names of its columns are those of the command's output."""
    rows: list[dict[str, object]] = []
    for case in dict.fromkeys(result.case for result in results):
        for common in (False, True):
            rows.append(_row(case, common, [r for r in results if r.case == case and r.common is common]))
    return rows


def _row(case: str, common: bool, group: list[ZoneRunResult]) -> dict[str, object]:
    decided = sorted(ms for result in group for ms in result.decided)
    percentiles = {
        f"out_p{p}_ms": round(decided[min(len(decided) - 1, len(decided) * p // 100)]) if decided else None
        for p in PERCENTILES
    }
    return {
        "case": case,
        "judged": "common" if common else "alone",
        "runs": len(group),
        **percentiles,
        "wrong": sum(result.wrong for result in group),
        "changes": sum(result.changes for result in group) / len(group),
        "left": round(sum(result.left for result in group) / len(group), 4),
        "errors": round(sum(result.errors for result in group) / len(group), 4),
        "flood": round(max(result.flood for result in group), 2),
    }


def plot(results: list[ZoneRunResult], path: str) -> None:
    """Plot the load on the struck zone, beside what it bears, for the first seed of each case."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    cases = list(dict.fromkeys(result.case for result in results))
    figure, axes = pyplot.subplots(len(cases), 1, figsize=(8, 2.2 * len(cases)), sharex=True, squeeze=False)
    for axis, case in zip(axes[:, 0], cases, strict=True):
        first_seed = min(result.seed for result in results if result.case == case)
        for result in results:
            if (result.case, result.seed) == (case, first_seed):
                seconds, load, bearable = zip(*result.series, strict=True)
                axis.plot(seconds, load, label="common" if result.common else "alone", linewidth=1.2)
                if result.common:
                    axis.plot(seconds, bearable, label="what the zone bears", color="grey", linestyle=":")
        axis.set_ylabel(f"{case}\nload of capacity")
        axis.set_ylim(0, 2)
    axes[0, 0].legend(loc="upper right", fontsize="small")
    axes[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
