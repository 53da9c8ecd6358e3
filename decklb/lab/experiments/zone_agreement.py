"""Zones judged in common against each manager judging alone, on a simulated network and a fluid of requests.

Managers stand in zones, two zones a region; each sends the requests of its own callers by `locality.spillover`, by the
states that it holds. A case breaks something for a while. Seeded: the same seed, the same run, with the same faults for
both ways of judging.
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

STEP = 250.0  # ms between ticks of a member
CASES = ("lost", "parted", "slow", "region", "halves", "liar", "flicker")
STRUCK, MENDED, END = 10_000.0, 25_000.0, 60_000.0
LOSS = 0.05  # share of words lost


@dataclass(slots=True)
class Told:
    """What one run showed."""

    case: str
    common: bool
    seed: int
    decided: list[float] = field(default_factory=list)  # ms from the loss until each member held the zone out
    wrong: int = 0  # states that a member took for a zone that was well
    changes: int = 0  # of states, over all members and zones
    left: float = 0.0  # share of requests that left a zone that was never struck, and could have borne them
    errors: float = 0.0  # share of requests sent to where nothing answers, or beyond what is borne
    flood: float = 0.0  # highest load on a returning zone over its budget
    series: list[tuple[float, float, float]] = field(default_factory=list)  # s, load on the zone struck, what it bears


def play(
    case: str, seed: int, common: bool, managers: int = 12, zones: int = 4, settings: LocalitySettings | None = None
) -> Told:
    """One run."""
    if case not in CASES:
        raise ValueError(f"no case {case!r}; one of {', '.join(CASES)}")
    rng, told = random.Random(f"{case}/{seed}"), Told(case, common, seed)
    names = [f"z{i}" for i in range(zones)]
    region = {z: f"r{i // 2}" for i, z in enumerate(names)}
    regions = tuple((r, tuple(z for z in names if region[z] == r)) for r in sorted(set(region.values())))
    s = replace(
        settings or LocalitySettings(),
        regions=regions,
        home_zone=names[0],
        member_count=managers,
        decision_mode=DecisionMode.COMMON if common else DecisionMode.ALONE,
    )
    home = {f"m{i}": names[i % zones] for i in range(managers)}
    members = {m: ZoneCoordinator(replace(s, home_zone=home[m]), m, 0.0) for m in home}
    capacity, load = 1000.0, 600.0
    mine = load * zones / managers  # requests a second of one manager's callers
    for council in members.values():
        council.update_members(home)
        council.own_load_cores = mine
    sick = rng.choice(names)
    struck = {z for z in names if region[z] == region[sick]} if case == "region" else {sick}
    parted = set(rng.sample(sorted(m for m in home if home[m] != sick), managers // 4))
    half = set(rng.sample(sorted(home), managers // 2))
    liar = rng.choice(sorted(home))
    waiting: dict[int, list[tuple[str, str, bytes]]] = {}  # by the step at which they arrive
    every = max(1, round(managers / LARGE_FLEET))  # steps between two ticks of a member, as in the program
    held: dict[tuple[str, str], ZoneState] = {}
    out_at: dict[str, float] = {}
    sent = strayed = failed = now = 0.0
    while now < END:
        broken = STRUCK <= now < MENDED
        flick = case == "flicker" and broken and int(now / 1500.0) % 2 == 0
        truth = {
            z: 0.0 if (case in ("lost", "region", "halves") and broken or flick) and z in struck else 1.0 for z in names
        }
        step = round(now / STEP)
        ticking = {m: z_of for i, (m, z_of) in enumerate(members.items()) if (step + i) % every == 0}
        for m, z_of in ticking.items():
            for z in names:
                up = truth[z]
                if case == "parted" and broken and m in parted and z == sick:
                    up = 0.0
                if case == "liar" and m == liar and z == sick:
                    up = 0.0
                slowness = 6.0 if case == "slow" and broken and z == sick else 1.0
                z_of.observe(
                    now,
                    z,
                    ZoneObservation(
                        up, rng.random() * 0.05, slowness * rng.uniform(0.9, 1.2), up >= 1.0 and z != home[m]
                    ),
                )
        for sender, receiver, word in waiting.pop(step, ()):
            members[receiver].receive(now, sender, word)
        for m, z_of in ticking.items():
            z_of.tick(now)
            words, z_of.outgoing = z_of.outgoing, []
            for other in members if common else ():
                split = case == "halves" and broken and (m in half) != (other in half)
                if other != m and not split:
                    # A member takes words at its next look, whatever within a step their delay was.
                    waiting.setdefault(step + 1, []).extend((m, other, w) for w in words if rng.random() >= LOSS)
        # The fluid: each manager's callers' requests, where its own states send them.
        arriving = dict.fromkeys(names, 0.0)
        for m, z_of in members.items():
            demand = z_of.load_cores(now)
            places = {
                z: ZoneStatus(region[z], capacity, demand[z], *z_of.state(z), z_of.reachable_fraction(z, now))
                for z in names
            }
            routed = routing_shares(home[m], places, now, s)
            for z, share in routed.items():
                arriving[z] += mine * share
            sent += mine
            if home[m] not in struck or case in ("parted", "liar"):
                strayed += mine * (1.0 - routed.get(home[m], 0.0))
        for z in names:
            bears = capacity * truth[z]
            if case in ("lost", "region", "halves") and z in struck and now >= MENDED:
                # It returns cold: what it bears grows over the ramp.
                place = ZoneStatus(region[z], capacity, load, ZoneState.RETURNING, MENDED)
                bears = min(bears, usable_capacity(place, now, s) / s.max_utilization)
                if arriving[z] > 0:
                    told.flood = max(told.flood, arriving[z] / bears)
            failed += max(0.0, arriving[z] - bears)
            if z == sick:
                told.series.append((now / 1000.0, arriving[z] / capacity, bears / capacity))
        for m, z_of in members.items():
            for z in names:
                state = z_of.state(z)[0]
                if state is not held.get((m, z), ZoneState.HEALTHY):
                    held[m, z] = state
                    told.changes += 1
                    told.wrong += truth[z] > 0 and state is ZoneState.OUT and case in ("parted", "liar")
                if state is ZoneState.OUT and z in struck and case in ("lost", "region", "halves") and m not in out_at:
                    out_at[m] = now - STRUCK
        now += STEP
    told.decided = sorted(out_at.values())
    told.left, told.errors = strayed / sent, failed / sent
    return told


def campaign(cases: list[str], seeds: list[int], managers: int, zones: int, workers: int) -> list[Told]:
    """All cases and seeds, judged both ways, in processes side by side."""
    jobs = [(case, seed, common, managers, zones) for case in cases for seed in seeds for common in (False, True)]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_play, jobs))


def _play(job: tuple[str, int, bool, int, int]) -> Told:
    return play(*job)


def table(runs: list[Told]) -> list[dict[str, object]]:
    """A row for each case and way of judging."""
    rows: list[dict[str, object]] = []
    for case in dict.fromkeys(r.case for r in runs):
        for common in (False, True):
            those = [r for r in runs if r.case == case and r.common is common]
            decided = sorted(x for r in those for x in r.decided)
            at = {
                f"out_p{p}_ms": round(decided[min(len(decided) - 1, len(decided) * p // 100)]) if decided else None
                for p in (50, 99)
            }
            rows.append(
                {
                    "case": case,
                    "judged": "common" if common else "alone",
                    "runs": len(those),
                    **at,
                    "wrong": sum(r.wrong for r in those),
                    "changes": sum(r.changes for r in those) / len(those),
                    "left": round(sum(r.left for r in those) / len(those), 4),
                    "errors": round(sum(r.errors for r in those) / len(those), 4),
                    "flood": round(max(r.flood for r in those), 2),
                }
            )
    return rows


def plot(runs: list[Told], path: str) -> None:
    """The load on the zone that is struck, beside what it bears, for the first seed of each case."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    cases = list(dict.fromkeys(r.case for r in runs))
    figure, axes = pyplot.subplots(len(cases), 1, figsize=(8, 2.2 * len(cases)), sharex=True, squeeze=False)
    for axis, case in zip(axes[:, 0], cases, strict=True):
        first = min(r.seed for r in runs if r.case == case)
        for r in runs:
            if (r.case, r.seed) == (case, first):
                t, load, bears = zip(*r.series, strict=True)
                axis.plot(t, load, label="common" if r.common else "alone", linewidth=1.2)
                if r.common:
                    axis.plot(t, bears, label="what the zone bears", color="grey", linestyle=":")
        axis.set_ylabel(f"{case}\nload of capacity")
        axis.set_ylim(0, 2)
    axes[0, 0].legend(loc="upper right", fontsize="small")
    axes[-1, 0].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=100)
