"""A simulated cluster: hosts with real cluster nodes that share the health checks of engines.

`Cluster` contains the simulated network, its hosts, a record of the duties run, of deaths and of health check results,
and the checks of the cluster's invariants. The cluster's tests and the experiment on shared duties run it. Times are
simulated milliseconds.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from decklb.cluster.duties import DutyScheduler
from decklb.cluster.duty import DutyRun, phase_of
from decklb.cluster.messages import MemberRecord, MemberState
from decklb.cluster.node import Node
from decklb.cluster.rendezvous import Ranking
from decklb.cluster.sealing import KEY_BYTES, SALT_BYTES, Sealer
from decklb.cluster.settings import DutySettings, MembershipSettings
from decklb.lab.emulation.simulated_network import EPOCH, Address, Faults, Host, SimulatedNetwork

MAX_SEED_MEMBERS = 3  # maximum number of hosts that others contact to join
CLUSTER_PORT = 7946


class SharedRanking(Ranking):
    """One ranking of owners shared by all nodes of a simulation, to save memory; a ranking depends on names only."""

    def remove(self, member: str) -> None:
        """Do nothing, as other nodes may still rank the member."""

    def set_duties(self, duties: Iterable[str]) -> None:
        """Set the duties on the first call only, as they are the same at all nodes."""
        if not self.duties():
            super().set_duties(duties)


@dataclass(slots=True)
class RecordedRun:
    """A health check that a host ran for the cluster: start time, host, engine and term."""

    at: float
    host: str
    subject: str
    term: int


@dataclass(slots=True)
class Cluster:
    """Hosts with cluster nodes on one simulated network, and a record of what they did.

    Attributes:
        network: The simulated network.
        membership, duty: Settings of all nodes.
        engines: Subjects of the health checks.
        hosts: The latest host of each address, including killed ones.
        runs: Health checks that hosts ran.
        deaths: Members declared dead: time, reporting host, name of the member.
        health_results: Health check results passed on by nodes: time, host, engine, whether it is up.
        down: Engines that answer no health check.
        unreachable: Pairs of host and engine between which the connection is cut.
        ranking: Ranking shared by all nodes; None if each node has its own.
        warm_at: Time at which each engine has warmed up; 0 if it already has.
        seeds: Addresses that hosts contact to join.
        drift, skew_ms: Maximum drift and skew of the hosts' clocks, in both directions.
        restarted: Used by tests: hosts that restarted since the test's last check.
        check_ms: Duration of a health check of a running engine in ms.
    """

    network: SimulatedNetwork
    membership: MembershipSettings
    duty: DutySettings
    engines: list[str]
    hosts: list[Host] = field(default_factory=list)
    runs: list[RecordedRun] = field(default_factory=list)
    deaths: list[tuple[float, str, str]] = field(default_factory=list)
    health_results: list[tuple[float, str, str, bool]] = field(default_factory=list)
    down: set[str] = field(default_factory=set)
    unreachable: set[tuple[str, str]] = field(default_factory=set)
    ranking: Ranking | None = None
    warm_at: dict[str, float] = field(default_factory=dict)
    seeds: list[Address] = field(default_factory=list)
    drift: float = 0.0
    skew_ms: float = 0.0
    restarted: set[str] = field(default_factory=set)
    check_ms: float = 5.0

    @classmethod
    def make(
        cls,
        seed: int,
        instances: int,
        engines: int,
        membership: MembershipSettings,
        duty: DutySettings,
        faults: Faults | None = None,
        shared_ranking: bool = True,
        converged: bool = False,
        drift: float = 0.0,
        skew_ms: float = 0.0,
    ) -> Cluster:
        """Start a cluster.

        Args:
            seed: Seed of all random draws.
            instances: Number of hosts.
            engines: Number of engines to check.
            membership: Membership settings of all nodes.
            duty: Settings of the health checks at all nodes.
            faults: Faults of the network.
            shared_ranking: Whether all nodes use the same ranking object.
            converged: Whether all member tables already hold all hosts, as after a long time without changes.
            drift: Maximum drift of the hosts' clocks, in both directions.
            skew_ms: Maximum skew of the hosts' wall clocks in ms, in both directions.
        """
        network = SimulatedNetwork(seed, faults)
        cluster = cls(
            network,
            membership,
            duty,
            [f"motor-{i}" for i in range(engines)],
            ranking=SharedRanking(duty.kind) if shared_ranking else None,
            drift=drift,
            skew_ms=skew_ms,
        )
        cluster.warm_at = dict.fromkeys(cluster.engines, 0.0)
        if cluster.ranking is not None:
            for i in range(instances):
                cluster.ranking.add_member(f"m{i}", membership.weight)
        network.run_duty, network.on_notice = cluster._run_duty, cluster._on_notice
        network.on_health_check = cluster._on_health_check
        cluster.seeds = [cluster.address(i) for i in range(min(MAX_SEED_MEMBERS, instances))]
        for i in range(instances):
            cluster.start(i)
        if converged:
            cluster._introduce_all()
        return cluster

    @staticmethod
    def address(number: int) -> Address:
        """Return the address of the host with that number."""
        return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", CLUSTER_PORT

    def start(self, number: int, name: str = "", address: Address | None = None, wall_back: float = 0.0) -> Host:
        """Start or restart a host by its number.

        Args:
            number: Number of the host.
            name: Name of the host; empty: derived from the number.
            address: Address of the host; None: derived from the number.
            wall_back: Time in ms by which its wall clock is set back.
        """
        rng = random.Random(f"{self.network.rng.random()}/{number}")
        sealer = Sealer(self.membership.cluster_name, [bytes(KEY_BYTES)], rng.randbytes(SALT_BYTES))
        rankings = {self.duty.kind: self.ranking} if self.ranking is not None else None
        host = Host(
            self.network,
            name or f"m{number}",
            address or self.address(number),
            lambda h: Node(self.membership, [self.duty], h.name, h.address, sealer, rng, h.now(), h.wall(), rankings),
            (2 * rng.random() - 1) * self.drift,
            (2 * rng.random() - 1) * self.skew_ms - wall_back,
        )
        host.node.set_subjects(host.now(), self.duty.kind, self.warm_at, self.engines)
        self.hosts = [other for other in self.hosts if other.address != host.address] + [host]
        return self.network.add(host, self.seeds)

    def _introduce_all(self) -> None:
        """Add all hosts to the member table of every host, as if the cluster had already converged."""
        records = [
            MemberRecord(
                local.name,
                *local.address,
                local.incarnation,
                local.run_id,
                True,
                local.weight,
                state=MemberState.ALIVE,
                state_age_ms=0,
            )
            for local in (host.node.membership.local for host in self.hosts)
        ]
        for host in self.hosts:
            view = host.node.membership
            view.local.ready = view.local.is_synced = True
            view.table.update_checksum(view.local)
            view.gossip.queue.drop(view.local.name)
            view.anti_entropy.on_records(host.now(), host.address, records)
            for record in records:
                view.gossip.queue.drop(record.name)
            host.node.schedule_reassignment(host.now())
            self.network.pump(host)

    def host(self, name: str) -> Host:
        """Return the host with that name."""
        return next(h for h in self.hosts if h.name == name)

    def live(self) -> list[Host]:
        """Return the running hosts."""
        return [h for h in self.hosts if h.up]

    def partition(self, side_names: Iterable[str], one_way: bool = False) -> None:
        """Partition these hosts from the others; with `one_way`, only the datagrams that they send are lost."""
        side = {self.host(n).address for n in side_names}
        if one_way:
            self.network.cut = lambda source, target: source in side and target not in side
        else:
            self.network.cut = lambda source, target: (source in side) != (target in side)

    def heal(self) -> None:
        """End the partition."""
        self.network.cut = lambda source, target: False

    def scheduler(self, host: Host) -> DutyScheduler:
        """Return the duty scheduler of a host."""
        return host.node.schedulers[self.duty.kind]

    def _run_duty(self, host: Host, duty_run: DutyRun) -> tuple[float, bool]:
        self.runs.append(RecordedRun(self.network.now, host.name, duty_run.subject, duty_run.term))
        if duty_run.subject in self.down or (host.name, duty_run.subject) in self.unreachable:
            return self.duty.timeout_ms, False
        return self.check_ms, True

    def _on_notice(self, host: Host, event: str, fields: dict[str, object]) -> None:
        if event == "member-state-changed" and fields["state"] == "dead":
            self.deaths.append((self.network.now, host.name, str(fields["member"])))

    def _on_health_check(self, host: Host, subject: str, up: bool) -> None:
        self.health_results.append((self.network.now, host.name, subject, up))

    # Invariants and measurements.

    def owners(self) -> dict[str, list[str]]:
        """Return, for each duty, the running hosts that consider themselves its owner."""
        found: dict[str, list[str]] = {e: [] for e in self.engines}
        for host in self.live():
            for duty in self.scheduler(host).duties.values():
                if duty.is_owned:
                    found[duty.subject].append(host.name)
        return found

    def duties_without_single_owner(self) -> list[str]:
        """Return the duties that do not have exactly one owner among the running hosts."""
        return [s for s, names in self.owners().items() if len(names) != 1]

    def views_agree(self) -> bool:
        """Return whether every running host considers exactly the running hosts alive."""
        names = {h.name for h in self.live()}
        return all({n for n in [*h.node.membership.live_names(), h.name]} == names for h in self.live())

    def wrongly_dead(self) -> list[tuple[str, str]]:
        """Return pairs of running hosts of which the first considers the second dead."""
        up = {h.name for h in self.live()}
        return [
            (h.name, m.name)
            for h in self.live()
            for m in h.node.membership.members.values()
            if m.state == MemberState.DEAD and m.name in up
        ]

    def terms(self) -> dict[tuple[str, str], int]:
        """Return the highest term that each host has received for each subject; these must never decrease."""
        found = {}
        for host in self.live():
            for subject, verdict in self.scheduler(host).verdicts.by_subject.items():
                found[host.name, subject] = verdict.term
        return found

    def phase(self, subject: str) -> float:
        """Return when within its period a duty is due, as an offset in ms of simulated time."""
        return (phase_of(self.duty.kind, subject) * self.duty.period_ms - EPOCH) % self.duty.period_ms

    def runs_per_period(self, start: float, end: float) -> dict[str, list[int]]:
        """Return how often each duty ran in each complete period between two simulated times in ms.

        Periods begin half a period away from the time at which the duty is due, so that small differences between
        clocks do not move a run into the neighbouring period.
        """
        period = self.duty.period_ms
        runs_per_period: dict[str, list[int]] = {}
        first_start: dict[str, float] = {}
        for subject in self.engines:
            offset = (self.phase(subject) + period / 2) % period
            first_start[subject] = start + (offset - start) % period
            runs_per_period[subject] = [0] * max(0, int((end - first_start[subject]) // period))
        for run in self.runs:
            index = int((run.at - first_start[run.subject]) // period)
            if 0 <= index < len(runs_per_period[run.subject]):
                runs_per_period[run.subject][index] += 1
        return runs_per_period
