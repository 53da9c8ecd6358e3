"""Compares two ways of deciding zone states on a simulated network: by quorum, and by each manager alone.

Managers are spread over zones, two zones to a region. Requests are modelled as a fluid: each manager divides the
request rate of its own clients among the zones by `locality/spillover.py`, based on the zone states that it knows. Each
case injects a fault for a while. A run is determined by its seed, and both ways of deciding see the same faults. Used
by `decklb lab zones` and tests. Times are simulated milliseconds unless a name states otherwise.
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

STEP_MS = 250.0  # length of a simulation step
CASES = ("lost", "parted", "slow", "region", "halves", "liar", "flicker")
OUTAGE_CASES = ("lost", "region", "halves")  # the faulty zones fail completely
FALSE_ALARM_CASES = ("parted", "liar")  # the target zone is healthy, but some members observe or report it as down
FAULT_START_MS, FAULT_END_MS, END_MS = 10_000.0, 25_000.0, 60_000.0
MESSAGE_LOSS = 0.05  # fraction of messages lost
FLICKER_MS = 1500.0  # length of each outage of a flickering zone, and of each healthy period between two outages
SLOW_ZONE_FACTOR = 6.0  # latency of a slow zone, as a multiple of the usual latency
ERROR_NOISE = 0.05  # highest error rate that members observe in a healthy zone
LATENCY_NOISE = (0.9, 1.2)  # range of the latency factor that members observe in a healthy zone
ZONE_CAPACITY = 1000.0  # requests per second that a zone can serve
ZONE_LOAD = 600.0  # requests per second of the clients in a zone
PERCENTILES = (50, 99)


@dataclass(slots=True)
class ZoneRunResult:
    """Result of one run.

    Attributes:
        case: Name of the case.
        common: Whether the members decided zone states by quorum, rather than each alone.
        seed: Seed of the run.
        decided: For each member, the ms from the start of an outage until the member had taken a failed zone out.
        wrong: Number of times that a member took a healthy zone out.
        changes: Number of state changes over all members and zones.
        left: Fraction of the requests that left a fault-free home zone, although the zone could have served them.
        errors: Fraction of the requests that were sent to a failed zone or exceeded a zone's capacity.
        flood: Highest load on a returning zone, relative to what the zone could serve at that time.
        series: For each step, the time in seconds, and the target zone's load and available capacity, both as fractions
            of its full capacity.
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
        now: Simulated time in ms.
        home: Home zone of each manager.
        members: Zone coordinator of each manager.
        target: The zone that the case affects.
        faulty: All zones that the case affects: the target, or its whole region.
        cut_off: Members that cannot reach the target in case "parted".
        partition_side: Members on one side of the partition in case "halves".
        liar: The member that always reports the target as down in case "liar".
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
        self.client_rate = ZONE_LOAD * zones / managers  # requests per second of one manager's clients
        self.members = {name: self._make_member(name) for name in self.home}
        self._draw_fault(managers)
        # As in the daemon, the members of a large fleet tick less often.
        self._steps_per_tick = max(1, round(managers / LARGE_FLEET))
        # Messages in transit, as (sender, receiver, message), by the step in which they arrive.
        self._in_transit: dict[int, list[tuple[str, str, bytes]]] = {}
        self._known_states: dict[tuple[str, str], ZoneState] = {}  # last state seen at a member, by member and zone
        # For each member, ms from the start of the outage until the member had taken a failed zone out.
        self._exclusion_delay_ms: dict[str, float] = {}
        # Sums of request rates over all steps: all, sent out of a usable home zone, and failed.
        self._total_rate = self._spilled_rate = self._failed_rate = 0.0

    def _regions(self) -> tuple[tuple[str, tuple[str, ...]], ...]:
        names = sorted(set(self.region.values()))
        return tuple((name, tuple(zone for zone in self.zones if self.region[zone] == name)) for name in names)

    def _make_member(self, name: str) -> ZoneCoordinator:
        member = ZoneCoordinator(replace(self.settings, home_zone=self.home[name]), name, 0.0)
        member.update_members(self.home)
        member.own_load_cores = self.client_rate
        return member

    def _draw_fault(self, managers: int) -> None:
        rng, home = self.rng, self.home
        self.target = rng.choice(self.zones)
        self.faulty = {self.target}
        if self.case == "region":
            self.faulty = {zone for zone in self.zones if self.region[zone] == self.region[self.target]}
        outside = sorted(name for name in home if home[name] != self.target)
        self.cut_off = set(rng.sample(outside, managers // 4))
        self.partition_side = set(rng.sample(sorted(home), managers // 2))
        self.liar = rng.choice(sorted(home))

    def run(self) -> ZoneRunResult:
        """Run the simulation to its end."""
        while self.now < END_MS:
            available = self._available_fractions()
            step = round(self.now / STEP_MS)
            ticking = [name for i, name in enumerate(self.members) if (step + i) % self._steps_per_tick == 0]
            for name in ticking:
                self._observe(name, available)
            for sender, receiver, message in self._in_transit.pop(step, ()):
                self.members[receiver].receive(self.now, sender, message)
            for name in ticking:
                self._tick(name, step)
            self._serve(self._route(), available)
            self._record_state_changes(available)
            self.now += STEP_MS
        result = self.result
        result.decided = sorted(self._exclusion_delay_ms.values())
        result.left, result.errors = self._spilled_rate / self._total_rate, self._failed_rate / self._total_rate
        return result

    @property
    def _fault_active(self) -> bool:
        return FAULT_START_MS <= self.now < FAULT_END_MS

    def _available_fractions(self) -> dict[str, float]:
        """Return the fraction of each zone that is available now."""
        flicker_outage = self.case == "flicker" and self._fault_active and int(self.now / FLICKER_MS) % 2 == 0
        outage = self.case in OUTAGE_CASES and self._fault_active or flicker_outage
        return {zone: 0.0 if outage and zone in self.faulty else 1.0 for zone in self.zones}

    def _observe(self, name: str, available: dict[str, float]) -> None:
        """Pass a member its own observation of each zone."""
        for zone in self.zones:
            observed_available, latency_factor = available[zone], 1.0
            if zone == self.target:
                unreachable = self.case == "parted" and self._fault_active and name in self.cut_off
                if unreachable or self.case == "liar" and name == self.liar:
                    observed_available = 0.0
                if self.case == "slow" and self._fault_active:
                    latency_factor = SLOW_ZONE_FACTOR
            error_rate = self.rng.random() * ERROR_NOISE
            latency = latency_factor * self.rng.uniform(*LATENCY_NOISE)
            view = ZoneObservation(
                observed_available, error_rate, latency, observed_available >= 1.0 and zone != self.home[name]
            )
            self.members[name].observe(self.now, zone, view)

    def _tick(self, name: str, step: int) -> None:
        """Tick a member and send its messages over the network, which loses some of them."""
        member = self.members[name]
        member.tick(self.now)
        messages, member.outgoing = member.outgoing, []
        for other in self.members if self.common else ():
            partitioned = (
                self.case == "halves"
                and self._fault_active
                and (name in self.partition_side) != (other in self.partition_side)
            )
            if other != name and not partitioned:
                # Members receive messages once per step, so every message arrives in the step after it was sent.
                arriving = self._in_transit.setdefault(step + 1, [])
                arriving.extend((name, other, m) for m in messages if self.rng.random() >= MESSAGE_LOSS)

    def _route(self) -> dict[str, float]:
        """Return the request rate that each zone receives; each manager routes by the zone states that it knows."""
        received = dict.fromkeys(self.zones, 0.0)
        for name, member in self.members.items():
            demand = member.load_cores(self.now)
            statuses = {
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
            shares = routing_shares(home, statuses, self.now, self.settings)
            for zone, share in shares.items():
                received[zone] += self.client_rate * share
            self._total_rate += self.client_rate
            if home not in self.faulty or self.case in FALSE_ALARM_CASES:
                self._spilled_rate += self.client_rate * (1.0 - shares.get(home, 0.0))
        return received

    def _serve(self, received: dict[str, float], available: dict[str, float]) -> None:
        """Count the requests that exceed the zones' capacity, and record the load of the target zone."""
        for zone in self.zones:
            capacity = ZONE_CAPACITY * available[zone]
            if self.case in OUTAGE_CASES and zone in self.faulty and self.now >= FAULT_END_MS:
                capacity = min(capacity, self._capacity_after_return(zone))
                if received[zone] > 0:
                    self.result.flood = max(self.result.flood, received[zone] / capacity)
            self._failed_rate += max(0.0, received[zone] - capacity)
            if zone == self.target:
                point = (self.now / 1000.0, received[zone] / ZONE_CAPACITY, capacity / ZONE_CAPACITY)
                self.result.series.append(point)

    def _capacity_after_return(self, zone: str) -> float:
        """Return the capacity of a zone that is warming up after an outage: it grows over the recovery ramp."""
        returning = ZoneStatus(self.region[zone], ZONE_CAPACITY, ZONE_LOAD, ZoneState.RETURNING, FAULT_END_MS)
        return usable_capacity(returning, self.now, self.settings) / self.settings.max_utilization

    def _record_state_changes(self, available: dict[str, float]) -> None:
        """Count the changes of the zone states that members know, and record when failed zones were taken out."""
        for name, member in self.members.items():
            for zone in self.zones:
                state = member.state(zone)[0]
                if state is not self._known_states.get((name, zone), ZoneState.HEALTHY):
                    self._known_states[name, zone] = state
                    self.result.changes += 1
                    self.result.wrong += (
                        available[zone] > 0 and state is ZoneState.OUT and self.case in FALSE_ALARM_CASES
                    )
                if state is ZoneState.OUT and zone in self.faulty and self.case in OUTAGE_CASES:
                    self._exclusion_delay_ms.setdefault(name, self.now - FAULT_START_MS)


def play(
    case: str, seed: int, common: bool, managers: int = 12, zones: int = 4, settings: LocalitySettings | None = None
) -> ZoneRunResult:
    """Run one case with one seed.

    Raises:
        ValueError: The case does not exist.
    """
    if case not in CASES:
        raise ValueError(f"no case {case!r}; one of {', '.join(CASES)}")
    return ZoneSimulation(case, seed, common, managers, zones, settings or LocalitySettings()).run()


def campaign(cases: list[str], seeds: list[int], managers: int, zones: int, workers: int) -> list[ZoneRunResult]:
    """Run all cases with all seeds and both ways of deciding, in parallel processes."""
    jobs = [(case, seed, common, managers, zones) for case in cases for seed in seeds for common in (False, True)]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_run_job, jobs))


def _run_job(job: tuple[str, int, bool, int, int]) -> ZoneRunResult:
    return play(*job)


def table(results: list[ZoneRunResult]) -> list[dict[str, object]]:
    """Return one row for each case and way of deciding; the keys are the column names of the command's output."""
    rows: list[dict[str, object]] = []
    for case in dict.fromkeys(result.case for result in results):
        for common in (False, True):
            rows.append(_row(case, common, [r for r in results if r.case == case and r.common is common]))
    return rows


def _row(case: str, common: bool, group: list[ZoneRunResult]) -> dict[str, object]:
    delays_ms = sorted(ms for result in group for ms in result.decided)
    percentiles = {
        f"out_p{p}_ms": round(delays_ms[min(len(delays_ms) - 1, len(delays_ms) * p // 100)]) if delays_ms else None
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
    """Plot the load and the available capacity of the target zone for the first seed of each case."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    cases = list(dict.fromkeys(result.case for result in results))
    figure, axes = pyplot.subplots(len(cases), 1, figsize=(8, 2.2 * len(cases)), sharex=True, squeeze=False)
    for axis, case in zip(axes[:, 0], cases, strict=True):
        first_seed = min(result.seed for result in results if result.case == case)
        for result in results:
            if (result.case, result.seed) == (case, first_seed):
                seconds, load, capacity = zip(*result.series, strict=True)
                axis.plot(seconds, load, label="common" if result.common else "alone", linewidth=1.2)
                if result.common:
                    axis.plot(seconds, capacity, label="capacity", color="grey", linestyle=":")
        axis.set_ylabel(f"{case}\nload / capacity")
        axis.set_ylim(0, 2)
    axes[0, 0].legend(loc="upper right", fontsize="small")
    axes[-1, 0].set_xlabel("time (s)")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
