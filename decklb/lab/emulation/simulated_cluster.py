"""A simulated cluster: hosts with real cluster nodes that share health checks of engines, and checks of its invariants.

`Cluster` owns the simulated network, its hosts and a record of duties run, deaths and health checks' results. Tests of
the cluster and the experiment on shared duties play it. Times are simulated milliseconds.
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

MAX_SEED_MEMBERS = 3  # that hosts join through
CLUSTER_PORT = 7946


class SharedRanking(Ranking):
    """One ranking of owners for all nodes of a simulation, as it depends on names alone; saves memory at scale."""

    def remove(self, member: str) -> None:
        """Keep the member: other nodes may not have removed it."""

    def set_duties(self, duties: Iterable[str]) -> None:
        """Set the duties once: all nodes have the same ones."""
        if not self.duties():
            super().set_duties(duties)


@dataclass(slots=True)
class RecordedRun:
    """One health check that a host ran for the cluster: when it began, on which engine, under which term."""

    at: float
    host: str
    subject: str
    term: int


@dataclass(slots=True)
class Cluster:
    """Hosts with cluster nodes on one simulated network, and what they did.

    Attributes:
        world: The simulated network.
        membership, duty: Settings of all nodes.
        engines: Subjects of the health checks.
        hosts: All that were started, by address the latest.
        runs: Health checks that hosts ran.
        deaths: When, which host declared dead, whom.
        probed: Results that nodes handed on: when, host, engine, whether it is up.
        down: Engines that answer nobody.
        unreachable: Pairs of host and engine whose route is cut.
        ranking: Shared by all nodes, where it is.
        warm_at: Moment at which each engine is warm; 0 for engines that are.
        seeds: Addresses that hosts join through.
        drift, skew_ms: Of the hosts' clocks at most, either way.
        returned: For tests: hosts that started anew since they last looked.
        check_ms: That a health check of a live engine takes.
    """

    world: SimulatedNetwork
    membership: MembershipSettings
    duty: DutySettings
    engines: list[str]
    hosts: list[Host] = field(default_factory=list)
    runs: list[RecordedRun] = field(default_factory=list)
    deaths: list[tuple[float, str, str]] = field(default_factory=list)
    probed: list[tuple[float, str, str, bool]] = field(default_factory=list)
    down: set[str] = field(default_factory=set)
    unreachable: set[tuple[str, str]] = field(default_factory=set)
    ranking: Ranking | None = None
    warm_at: dict[str, float] = field(default_factory=dict)
    seeds: list[Address] = field(default_factory=list)
    drift: float = 0.0
    skew_ms: float = 0.0
    returned: set[str] = field(default_factory=set)
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
        shared: bool = True,
        warm: bool = False,
        drift: float = 0.0,
        skew_ms: float = 0.0,
    ) -> Cluster:
        """Start a cluster.

        Args:
            seed: Of all draws.
            instances: Hosts.
            engines: Subjects of the health checks.
            membership: Its settings, of all nodes.
            duty: Settings of the health checks, of all nodes.
            faults: What the network does to datagrams.
            shared: Whether all nodes use one ranking.
            warm: Whether all know all already, as after a long time without change.
            drift: Of the hosts' clocks at most, either way.
            skew_ms: Of the hosts' clocks at most, either way.
        """
        world = SimulatedNetwork(seed, faults)
        made = cls(
            world,
            membership,
            duty,
            [f"motor-{i}" for i in range(engines)],
            ranking=SharedRanking(duty.kind) if shared else None,
            drift=drift,
            skew_ms=skew_ms,
        )
        made.warm_at = dict.fromkeys(made.engines, 0.0)
        if made.ranking is not None:
            for i in range(instances):
                made.ranking.add_member(f"m{i}", membership.weight)
        world.run_duty, world.on_notice = made._run_duty, made._on_notice
        world.on_health_check = made._on_health_check
        made.seeds = [made.address(i) for i in range(min(MAX_SEED_MEMBERS, instances))]
        for i in range(instances):
            made.start(i)
        if warm:
            made._introduce()
        return made

    @staticmethod
    def address(number: int) -> Address:
        """Return the address of a host by its number."""
        return f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}", CLUSTER_PORT

    def start(self, number: int, name: str = "", address: Address | None = None, wall_back: float = 0.0) -> Host:
        """Start a host by its number, for the first time or again; `wall_back` sets its wall clock back, in ms."""
        rng = random.Random(f"{self.world.rng.random()}/{number}")
        sealer = Sealer(self.membership.cluster_name, [bytes(KEY_BYTES)], rng.randbytes(SALT_BYTES))
        rankings = {self.duty.kind: self.ranking} if self.ranking is not None else None
        host = Host(
            self.world,
            name or f"m{number}",
            address or self.address(number),
            lambda h: Node(self.membership, [self.duty], h.name, h.address, sealer, rng, h.now(), h.wall(), rankings),
            (2 * rng.random() - 1) * self.drift,
            (2 * rng.random() - 1) * self.skew_ms - wall_back,
        )
        host.node.set_subjects(host.now(), self.duty.kind, self.warm_at, self.engines)
        self.hosts = [other for other in self.hosts if other.address != host.address] + [host]
        return self.world.add(host, self.seeds)

    def _introduce(self) -> None:
        rows = [
            MemberRecord(
                v.name, *v.address, v.incarnation, v.run_id, True, v.weight, state=MemberState.ALIVE, state_age_ms=0
            )
            for v in (h.node.membership.local for h in self.hosts)
        ]
        for host in self.hosts:
            view = host.node.membership
            view.local.ready = view.local.is_synced = True
            view.table.update_checksum(view.local)
            view.gossip.queue.drop(view.local.name)
            view.anti_entropy.on_records(host.now(), host.address, rows)
            for row in rows:
                view.gossip.queue.drop(row.name)
            host.node.schedule_reassignment(host.now())
            self.world.pump(host)

    def host(self, name: str) -> Host:
        """Return a host by name."""
        return next(h for h in self.hosts if h.name == name)

    def live(self) -> list[Host]:
        """Return the hosts that are up."""
        return [h for h in self.hosts if h.up]

    def part(self, first: Iterable[str], one_way: bool = False) -> None:
        """Cut these from the rest; `one_way`: only what they send is lost."""
        side = {self.host(n).address for n in first}
        if one_way:
            self.world.cut = lambda source, target: source in side and target not in side
        else:
            self.world.cut = lambda source, target: (source in side) != (target in side)

    def heal(self) -> None:
        """Let datagrams pass between all hosts again."""
        self.world.cut = lambda source, target: False

    def book(self, host: Host) -> DutyScheduler:
        """Return the duties of one host."""
        return host.node.schedulers[self.duty.kind]

    def _run_duty(self, host: Host, start: DutyRun) -> tuple[float, bool]:
        self.runs.append(RecordedRun(self.world.now, host.name, start.subject, start.term))
        if start.subject in self.down or (host.name, start.subject) in self.unreachable:
            return self.duty.timeout_ms, False
        return self.check_ms, True

    def _on_notice(self, host: Host, event: str, fields: dict[str, object]) -> None:
        if event == "member-state-changed" and fields["state"] == "dead":
            self.deaths.append((self.world.now, host.name, str(fields["member"])))

    def _on_health_check(self, host: Host, subject: str, up: bool) -> None:
        self.probed.append((self.world.now, host.name, subject, up))

    # What must hold.

    def owners(self) -> dict[str, list[str]]:
        """Return, for each duty, the live hosts that believe to own it."""
        found: dict[str, list[str]] = {e: [] for e in self.engines}
        for host in self.live():
            for duty in self.book(host).duties.values():
                if duty.is_owned:
                    found[duty.subject].append(host.name)
        return found

    def one_owner(self) -> list[str]:
        """Return duties without exactly one live owner."""
        return [s for s, names in self.owners().items() if len(names) != 1]

    def views_agree(self) -> bool:
        """Whether all live hosts hold exactly each other alive."""
        names = {h.name for h in self.live()}
        return all({n for n in [*h.node.membership.live_names(), h.name]} == names for h in self.live())

    def wrongly_dead(self) -> list[tuple[str, str]]:
        """Return pairs of live hosts of which the first holds the second dead."""
        up = {h.name for h in self.live()}
        return [
            (h.name, m.name)
            for h in self.live()
            for m in h.node.membership.members.values()
            if m.state == MemberState.DEAD and m.name in up
        ]

    def terms(self) -> dict[tuple[str, str], int]:
        """Return the highest term that each host has received of each subject: these may only rise."""
        found = {}
        for host in self.live():
            for subject, verdict in self.book(host).verdicts.by_subject.items():
                found[host.name, subject] = verdict.term
        return found

    def phase(self, subject: str) -> float:
        """Return the offset within its period, in ms of simulated time, at which a duty is due."""
        return (phase_of(self.duty.kind, subject) * self.duty.period_ms - EPOCH) % self.duty.period_ms

    def counts(self, start: float, end: float) -> dict[str, list[int]]:
        """Return how often each duty ran in each complete period between two moments.

        Periods are cut half a period from the duty's due moment, so that with clocks that differ a little no run is
        counted in the neighbouring period.
        """
        period = self.duty.period_ms
        runs_by_period: dict[str, list[int]] = {}
        first_cut: dict[str, float] = {}
        for subject in self.engines:
            cut = (self.phase(subject) + period / 2) % period
            first_cut[subject] = start + (cut - start) % period
            runs_by_period[subject] = [0] * max(0, int((end - first_cut[subject]) // period))
        for run in self.runs:
            index = int((run.at - first_cut[run.subject]) // period)
            if 0 <= index < len(runs_by_period[run.subject]):
                runs_by_period[run.subject][index] += 1
        return runs_by_period
