"""A simulated cluster: hosts with the real nodes, engines that count their probes, and the invariants as checkers."""

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
from decklb.lab.emulation.simulated_network import EPOCH, Address, Faults, Host, World


class SharedRanking(Ranking):
    """One ranking for all nodes of a process: it depends on names alone. What one node forgets, others may not have."""

    def remove_member(self, member: str) -> None:
        """Keep it."""

    def set_duties(self, duties: Iterable[str]) -> None:
        """All nodes have the same duties here."""
        if not self.duties():
            super().set_duties(duties)


@dataclass(slots=True)
class Run:
    """One run of a duty: when it began, by whom, of which, with what term."""

    at: float
    host: str
    subject: str
    term: int


@dataclass(slots=True)
class Cluster:
    """`instances` nodes and `engines` subjects on one world."""

    world: World
    membership: MembershipSettings
    duty: DutySettings
    engines: list[str]
    hosts: list[Host] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    deaths: list[tuple[float, str, str]] = field(default_factory=list)  # when, who says it, of whom
    probed: list[tuple[float, str, str, bool]] = field(default_factory=list)
    down: set[str] = field(default_factory=set)  # engines that answer nobody
    unreachable: set[tuple[str, str]] = field(default_factory=set)  # (host, engine): a cut route
    ranking: Ranking | None = None
    cold: dict[str, float] = field(default_factory=dict)
    seeds: list[Address] = field(default_factory=list)
    drift: float = 0.0
    skew: float = 0.0
    returned: set[str] = field(default_factory=set)  # for checkers: hosts that started anew since they last looked
    took: float = 5.0  # ms that a probe of a live engine takes

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
        skew: float = 0.0,
    ) -> Cluster:
        """A cluster at its start; `warm`: all know all already, as after a long time without change."""
        world = World(seed, faults)
        made = cls(
            world,
            membership,
            duty,
            [f"motor-{i}" for i in range(engines)],
            ranking=SharedRanking(duty.kind) if shared else None,
            drift=drift,
            skew=skew,
        )
        made.cold = dict.fromkeys(made.engines, 0.0)
        if made.ranking is not None:
            for i in range(instances):
                made.ranking.add_member(f"m{i}", membership.weight)
        world.run_duty, world.on_notice, world.on_probed = made._run, made._notice, made._probed
        made.seeds = [made.address(i) for i in range(min(3, instances))]
        for i in range(instances):
            made.start(i)
        if warm:
            made._introduce()
        return made

    @staticmethod
    def address(i: int) -> Address:
        """Of instance i."""
        return f"10.{i >> 16 & 255}.{i >> 8 & 255}.{i & 255}", 7946

    def start(self, i: int, name: str = "", address: Address | None = None, wall_back: float = 0.0) -> Host:
        """Start instance i, or start it again; `wall_back` sets its wall clock back by so many ms."""
        rng = random.Random(f"{self.world.rng.random()}/{i}")
        sealer = Sealer(self.membership.cluster_name, [bytes(KEY_BYTES)], rng.randbytes(SALT_BYTES))
        rankings = {self.duty.kind: self.ranking} if self.ranking is not None else None
        host = Host(
            self.world,
            name or f"m{i}",
            address or self.address(i),
            lambda h: Node(self.membership, [self.duty], h.name, h.address, sealer, rng, h.now(), h.wall(), rankings),
            (2 * rng.random() - 1) * self.drift,
            (2 * rng.random() - 1) * self.skew - wall_back,
        )
        host.node.set_subjects(host.now(), self.duty.kind, self.cold, self.engines)
        self.hosts = [h for h in self.hosts if h.address != host.address] + [host]
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
        """By name."""
        return next(h for h in self.hosts if h.name == name)

    def live(self) -> list[Host]:
        """Those that are up."""
        return [h for h in self.hosts if h.up]

    def part(self, first: Iterable[str], one_way: bool = False) -> None:
        """Cut these from the rest; `one_way`: only what they send is lost."""
        side = {self.host(n).address for n in first}
        if one_way:
            self.world.cut = lambda source, target: source in side and target not in side
        else:
            self.world.cut = lambda source, target: (source in side) != (target in side)

    def heal(self) -> None:
        """All may talk again."""
        self.world.cut = lambda source, target: False

    def book(self, host: Host) -> DutyScheduler:
        """The duties of one instance."""
        return host.node.schedulers[self.duty.kind]

    def _run(self, host: Host, start: DutyRun) -> tuple[float, bool]:
        self.runs.append(Run(self.world.now, host.name, start.subject, start.term))
        if start.subject in self.down or (host.name, start.subject) in self.unreachable:
            return self.duty.timeout_ms, False
        return self.took, True

    def _notice(self, host: Host, event: str, fields: dict[str, object]) -> None:
        if event == "member-state-changed" and fields["state"] == "dead":
            self.deaths.append((self.world.now, host.name, str(fields["member"])))

    def _probed(self, host: Host, subject: str, up: bool) -> None:
        self.probed.append((self.world.now, host.name, subject, up))

    # Checkers of what must hold.

    def owners(self) -> dict[str, list[str]]:
        """Who believes to own each duty, among those that are up."""
        found: dict[str, list[str]] = {e: [] for e in self.engines}
        for host in self.live():
            for duty in self.book(host).duties.values():
                if duty.is_owned:
                    found[duty.subject].append(host.name)
        return found

    def one_owner(self) -> list[str]:
        """Duties without exactly one live owner."""
        return [s for s, names in self.owners().items() if len(names) != 1]

    def views_agree(self) -> bool:
        """Whether all that are up hold exactly each other alive."""
        names = {h.name for h in self.live()}
        return all({n for n in [*h.node.membership.live_names(), h.name]} == names for h in self.live())

    def wrongly_dead(self) -> list[tuple[str, str]]:
        """(who, whom): live members held dead by live members."""
        up = {h.name for h in self.live()}
        return [
            (h.name, m.name)
            for h in self.live()
            for m in h.node.membership.members.values()
            if m.state == MemberState.DEAD and m.name in up
        ]

    def terms(self) -> dict[tuple[str, str], int]:
        """The highest term that each host has heard of each subject: these may only rise."""
        found = {}
        for host in self.live():
            for subject, verdict in self.book(host).verdicts.by_subject.items():
                found[host.name, subject] = verdict.term
        return found

    def phase(self, subject: str) -> float:
        """Of its period, in ms, at which a duty is due on the world's clock."""
        return (phase_of(self.duty.kind, subject) * self.duty.period_ms - EPOCH) % self.duty.period_ms

    def counts(self, start: float, end: float) -> dict[str, list[int]]:
        """Runs of each duty in each whole period between two moments, periods being cut half a period from its
        due moment, so that clocks that differ a little don't count a run in its neighbour."""
        period = self.duty.period_ms
        found: dict[str, list[int]] = {}
        first: dict[str, float] = {}
        for subject in self.engines:
            cut = (self.phase(subject) + period / 2) % period
            begin = start + (cut - start) % period
            first[subject] = begin
            found[subject] = [0] * max(0, int((end - begin) // period))
        for run in self.runs:
            k = int((run.at - first[run.subject]) // period) if run.at >= first[run.subject] else -1
            if 0 <= k < len(found[run.subject]):
                found[run.subject][k] += 1
        return found
