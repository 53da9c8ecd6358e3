"""The experiment on shared duties, on a simulated cluster: takeover after kills, and behaviour under a partition.

It has four phases: steady, some instances killed, the network partitioned, and the partition healed. The result is one
flat dictionary of figures; its keys are those of the JSON output of `decklb lab duties`.
"""

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
    """Parameters of the experiment.

    Attributes:
        instances: Number of instances of the cluster.
        engines: Number of engines, each with one health-check duty.
        periods: Length of the experiment in duty periods, at least 8: two for each phase.
        loss: Fraction of datagrams lost; a tenth of it is duplicated.
        kill: Number of instances killed in the second phase.
        partition: Fraction of the instances on one side of the partition; 0 for no partition.
        seed: Seed of all random draws.
        period: Duty period in ms.
        drift: Maximum drift of clocks, as a fraction, in either direction.
        skew_ms: Maximum difference between wall clocks in ms, in either direction.
        join: Whether the cluster has to form first, rather than start with members that know one another.
    """

    instances: int = 3
    engines: int = 100
    periods: int = 20
    loss: float = 0.0
    kill: int = 1
    partition: float = 0.0
    seed: int = 1
    period: float = 10_000.0
    drift: float = 2e-5
    skew_ms: float = 5.0
    join: bool = False


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile by the nearest-rank method; 0 if there are no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def run(experiment: Experiment) -> dict[str, Any]:
    """Run the experiment. Each phase takes a quarter of the periods; the last one also takes the remainder.

    Raises:
        ValueError: `kill` is negative or leaves no instance, or there are too few periods.
    """
    if not 0 <= experiment.kill < experiment.instances:
        raise ValueError("kill must be at least 0 and below the number of instances, so that one instance remains")
    if experiment.periods < 8:
        raise ValueError("periods must be at least 8, two for each of the four phases")
    started_s = time.monotonic()
    membership, duty = MembershipSettings(), DutySettings(period_ms=experiment.period)
    cluster = Cluster.make(
        experiment.seed,
        experiment.instances,
        experiment.engines,
        membership,
        duty,
        Faults(loss=experiment.loss, duplicate=experiment.loss / 10),
        converged=not experiment.join,
        drift=experiment.drift,
        skew_ms=experiment.skew_ms,
    )
    network, period, quarter = cluster.network, experiment.period, experiment.periods // 4
    warm_up_ms = 2 * period if not experiment.join else 2 * period + 2 * membership.settle_time_ms
    network.run(warm_up_ms)
    figures: dict[str, Any] = {
        "instances": experiment.instances,
        "engines": experiment.engines,
        "periods": experiment.periods,
        "loss": experiment.loss,
        "kill": experiment.kill,
        "partition": experiment.partition,
        "seed": experiment.seed,
        "period_ms": period,
    }
    _run_steady_phase(cluster, warm_up_ms, warm_up_ms + quarter * period, figures)
    _run_kill_phase(cluster, experiment.kill, quarter * period, figures)
    _run_partition_phases(
        cluster, experiment.partition, quarter * period, (experiment.periods - 3 * quarter) * period, figures
    )
    figures["not_one_owner_at_end"] = len(cluster.duties_without_single_owner())
    figures["wrongly_dead_at_end"] = len(cluster.wrongly_dead())
    figures["datagrams"] = network.delivered
    figures["simulated_s"] = round(network.now / 1000, 1)
    figures["took_s"] = round(time.monotonic() - started_s, 1)
    return figures


def _run_steady_phase(cluster: Cluster, start: float, end: float, figures: dict[str, Any]) -> None:
    """Measure the traffic and the distribution of duties without faults."""
    sent = sum(h.node.sent_bytes for h in cluster.live())
    cluster.network.run(end)
    sent = sum(h.node.sent_bytes for h in cluster.live()) - sent
    run_counts = [n for row in cluster.runs_per_period(start, end).values() for n in row]
    figures["per_period_mean"] = round(sum(run_counts) / max(1, len(run_counts)), 4)
    figures["per_period_max"] = max(run_counts, default=0)
    figures["bytes_per_member_per_s"] = round(sent / len(cluster.live()) / ((end - start) / 1000))
    owned = [sum(d.is_owned for d in cluster.scheduler(h).duties.values()) for h in cluster.live()]
    figures["owned_most_over_mean"] = round(max(owned) / (len(cluster.engines) / len(owned)), 3)
    figures["false_deaths"] = len(cluster.deaths)


def _run_kill_phase(cluster: Cluster, kill: int, duration_ms: float, figures: dict[str, Any]) -> None:
    """Kill instances, and measure how soon their duties are taken over and how many duties move."""
    network, period = cluster.network, cluster.duty.period_ms
    rng, start = network.rng, network.now
    owners = {subject: names[0] for subject, names in cluster.owners().items() if names}
    victims = {h.name for h in rng.sample(cluster.live(), kill)}
    for name in victims:
        network.kill(cluster.host(name))
    runs_before, deaths_before = len(cluster.runs), len(cluster.deaths)
    network.run(start + duration_ms)
    first_run_at: dict[str, float] = {}  # by duty, time of its first run on a surviving instance
    runners: dict[str, list[str]] = defaultdict(list)  # by duty, the successive hosts that ran it
    for run in cluster.runs[runs_before:]:
        if run.host not in victims:
            first_run_at.setdefault(run.subject, run.at)
            if not runners[run.subject] or runners[run.subject][-1] != run.host:
                runners[run.subject].append(run.host)
    orphaned = [subject for subject, name in owners.items() if name in victims]
    takeover_periods = [(first_run_at.get(s, start + duration_ms) - start) / period for s in orphaned]
    moves = sum(len(names) - (names[0] == owners.get(subject)) for subject, names in runners.items())
    figures["takeover_periods_p50"] = round(percentile(takeover_periods, 0.5), 3)
    figures["takeover_periods_p99"] = round(percentile(takeover_periods, 0.99), 3)
    figures["takeover_periods_max"] = round(max(takeover_periods, default=0.0), 3)
    figures["moved_per_change"] = round(moves / len(orphaned), 4) if orphaned else 0.0
    figures["false_deaths"] += sum(name not in victims for _, _, name in cluster.deaths[deaths_before:])


def _run_partition_phases(
    cluster: Cluster, fraction: float, duration_ms: float, healed_ms: float, figures: dict[str, Any]
) -> None:
    """Partition the network for `duration_ms`, heal it, and watch the cluster converge for `healed_ms`."""
    network, period = cluster.network, cluster.duty.period_ms
    live = cluster.live()
    side = {h.name for h in live[: round(fraction * len(live))]}
    figures["doubled_after_heal_periods"] = 0.0
    figures["parted_max_per_side"] = 0
    figures["one_owner_after_heal_periods"] = 0.0
    if not side or len(side) == len(live):
        return network.run(network.now + duration_ms + healed_ms)
    cluster.partition(side)
    start = network.now
    network.run(start + duration_ms)
    # In the second half of the partition each side has converged by itself, so each duty should have one runner there.
    runners: dict[tuple[str, bool], set[str]] = defaultdict(set)
    for r in cluster.runs:
        if r.at >= start + duration_ms / 2:
            runners[r.subject, r.host in side].add(r.host)
    figures["parted_max_per_side"] = max((len(names) for names in runners.values()), default=0)
    figures["minority_slowed"] = sum(cluster.scheduler(h).in_minority for h in live)
    cluster.heal()
    healed_at, until = network.now, network.now + healed_ms
    unsettled_periods = 0.0  # from the healing until the last moment at which a duty did not have exactly one owner
    while network.now < until:
        network.run(min(until, network.now + period / 10))
        if cluster.duties_without_single_owner():
            unsettled_periods = (network.now - healed_at) / period
    figures["one_owner_after_heal_periods"] = round(unsettled_periods, 2)
    figures["doubled_after_heal_periods"] = round(_doubled_until_periods(cluster, healed_at), 2)
    # A member that was suspected during the partition may still be declared dead shortly after the healing. That is
    # not a false death, so deaths count only from the moment at which the longest such suspicion has expired.
    s = cluster.membership
    suspicions_expired_at = (
        healed_at
        + min_suspicion_timeout_ms(s, len(live)) * s.suspicion_max_multiplier
        + (MAX_HEALTH_SCORE + 1) * s.probe_interval_ms
    )
    figures["false_deaths"] += sum(at > suspicions_expired_at for at, _, _ in cluster.deaths)


def _doubled_until_periods(cluster: Cluster, healed_at: float) -> float:
    """Return the periods from the healing until the last time that two hosts ran a duty within half a period."""
    last_doubled_at = 0.0
    latest: dict[str, tuple[float, str]] = {}  # time and host of each duty's latest run
    for r in cluster.runs:
        if r.at < healed_at:
            continue
        at, host = latest.get(r.subject, (-1e12, ""))
        if host != r.host and r.at - at < cluster.duty.period_ms / 2:
            last_doubled_at = r.at
        latest[r.subject] = (r.at, r.host)
    return (last_doubled_at - healed_at) / cluster.duty.period_ms if last_doubled_at else 0.0
