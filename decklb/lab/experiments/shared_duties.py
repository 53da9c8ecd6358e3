"""The experiment on shared duties: steady, some killed, parted, healed; one JSON object of figures."""

from __future__ import annotations

import time
from collections import defaultdict
from dataclasses import dataclass
from typing import Any

from decklb.cluster.local_health import MAX_HEALTH_SCORE
from decklb.cluster.settings import DutySettings, MembershipSettings
from decklb.cluster.suspicion import min_suspicion_timeout_ms
from decklb.lab.emulation.simulated_cluster import Cluster
from decklb.lab.emulation.simulated_network import Faults


@dataclass(frozen=True, slots=True)
class Experiment:
    """What is tried. `partition` is the share of instances on one side, 0 for none."""

    instances: int = 3
    engines: int = 100
    periods: int = 20
    loss: float = 0.0
    kill: int = 1
    partition: float = 0.0
    seed: int = 1
    period: float = 10_000.0
    drift: float = 2e-5  # of clocks, either way
    skew_ms: float = 5.0  # ms by which wall clocks differ, either way
    join: bool = False  # start from nothing, in place of a cluster whose members know one another


def percentile(values: list[float], share: float) -> float:
    """The nearest rank; 0 of nothing."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def run(x: Experiment) -> dict[str, Any]:
    """Play it. Quarters of the periods: steady, after the kill, parted, healed."""
    if not 0 <= x.kill < x.instances:
        raise ValueError("kill: at least one instance must stay")
    if x.periods < 8:
        raise ValueError("periods: at least 8, for four phases of two")
    began = time.monotonic()
    membership, duty = MembershipSettings(), DutySettings(period_ms=x.period)
    c = Cluster.make(
        x.seed,
        x.instances,
        x.engines,
        membership,
        duty,
        Faults(loss=x.loss, duplicate=x.loss / 10),
        converged=not x.join,
        drift=x.drift,
        skew_ms=x.skew_ms,
    )
    world, period, quarter = c.world, x.period, x.periods // 4
    warm = 2 * period if not x.join else 2 * period + 2 * membership.settle_time_ms
    world.run(warm)
    out: dict[str, Any] = {
        "instances": x.instances,
        "engines": x.engines,
        "periods": x.periods,
        "loss": x.loss,
        "kill": x.kill,
        "partition": x.partition,
        "seed": x.seed,
        "period_ms": period,
    }
    _steady(c, warm, warm + quarter * period, out)
    _killed(c, x.kill, quarter * period, out)
    _parted(c, x.partition, quarter * period, (x.periods - 3 * quarter) * period, out)
    out["not_one_owner_at_end"] = len(c.duties_without_single_owner())
    out["wrongly_dead_at_end"] = len(c.wrongly_dead())
    out["datagrams"] = world.delivered
    out["simulated_s"] = round(world.now / 1000, 1)
    out["took_s"] = round(time.monotonic() - began, 1)
    return out


def _steady(c: Cluster, start: float, end: float, out: dict[str, Any]) -> None:
    sent = sum(h.node.sent_bytes for h in c.live())
    c.world.run(end)
    sent = sum(h.node.sent_bytes for h in c.live()) - sent
    counts = [n for row in c.runs_per_period(start, end).values() for n in row]
    out["per_period_mean"] = round(sum(counts) / max(1, len(counts)), 4)
    out["per_period_max"] = max(counts, default=0)
    out["bytes_per_member_per_s"] = round(sent / len(c.live()) / ((end - start) / 1000))
    owned = [sum(d.is_owned for d in c.scheduler(h).duties.values()) for h in c.live()]
    out["owned_most_over_mean"] = round(max(owned) / (len(c.engines) / len(owned)), 3)
    out["false_deaths"] = len(c.deaths)


def _killed(c: Cluster, kill: int, span: float, out: dict[str, Any]) -> None:
    world, period = c.world, c.duty.period_ms
    rng, start = world.rng, world.now
    owners = {s: names[0] for s, names in c.owners().items() if names}
    victims = {h.name for h in rng.sample(c.live(), kill)}
    for name in victims:
        world.kill(c.host(name))
    before, deaths = len(c.runs), len(c.deaths)
    world.run(start + span)
    first: dict[str, float] = {}
    by: dict[str, list[str]] = defaultdict(list)
    for run in c.runs[before:]:
        if run.host not in victims:
            first.setdefault(run.subject, run.at)
            if not by[run.subject] or by[run.subject][-1] != run.host:
                by[run.subject].append(run.host)
    taken = [s for s, name in owners.items() if name in victims]
    waits = [(first.get(s, start + span) - start) / period for s in taken]
    moves = sum(len(names) - (names[0] == owners.get(s)) for s, names in by.items())
    out["takeover_periods_p50"] = round(percentile(waits, 0.5), 3)
    out["takeover_periods_p99"] = round(percentile(waits, 0.99), 3)
    out["takeover_periods_max"] = round(max(waits, default=0.0), 3)
    out["moved_per_change"] = round(moves / len(taken), 4) if taken else 0.0
    out["false_deaths"] += sum(name not in victims for _, _, name in c.deaths[deaths:])


def _parted(c: Cluster, share: float, span: float, after: float, out: dict[str, Any]) -> None:
    world, period = c.world, c.duty.period_ms
    live = c.live()
    side = {h.name for h in live[: round(share * len(live))]}
    out["doubled_after_heal_periods"] = 0.0
    out["parted_max_per_side"] = 0
    out["one_owner_after_heal_periods"] = 0.0
    if not side or len(side) == len(live):
        return world.run(world.now + span + after)
    c.partition(side)
    start = world.now
    world.run(start + span)
    # In the second half of the parting each side has settled for itself: who has done each duty there?
    owners: dict[tuple[str, bool], set[str]] = defaultdict(set)
    for r in c.runs:
        if r.at >= start + span / 2:
            owners[r.subject, r.host in side].add(r.host)
    out["parted_max_per_side"] = max((len(names) for names in owners.values()), default=0)
    out["minority_slowed"] = sum(c.scheduler(h).in_minority for h in live)
    c.heal()
    healed, until = world.now, world.now + after
    single = 0.0
    while world.now < until:  # when is there one owner, for good?
        world.run(min(until, world.now + period / 10))
        if c.duties_without_single_owner():
            single = (world.now - healed) / period
    out["one_owner_after_heal_periods"] = round(single, 2)
    out["doubled_after_heal_periods"] = round(_doubled(c, healed), 2)
    # What was suspected while it could not be heard may still be declared dead just after, and rightly.
    s = c.membership
    heard = (
        healed
        + min_suspicion_timeout_ms(s, len(live)) * s.suspicion_max_multiplier
        + (MAX_HEALTH_SCORE + 1) * s.probe_interval_ms
    )
    out["false_deaths"] += sum(at > heard for at, _, _ in c.deaths)


def _doubled(c: Cluster, healed: float) -> float:
    """Periods after the healing until the last time that two did one duty within half a period."""
    last = 0.0
    latest: dict[str, tuple[float, str]] = {}
    for r in c.runs:
        if r.at < healed:
            continue
        at, host = latest.get(r.subject, (-1e12, ""))
        if host != r.host and r.at - at < c.duty.period_ms / 2:
            last = r.at
        latest[r.subject] = (r.at, r.host)
    return (last - healed) / c.duty.period_ms if last else 0.0
