"""Settings of the cluster: membership, one kind of duty, and this instance's place in it. All times are milliseconds.

Read from the `<cluster>` and `<probing>` elements by `config.sections.cluster`, which maps their attributes to these
fields; the errors raised here name the attributes. Immutable; they hold no state.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How members watch one another. All members of a cluster should have the same values.

    Attributes:
        cluster_name: bound into the seal of each datagram, so that clusters under one key don't mix.
        weight: this member's share of duties, relative to the others'.
        probe_interval_ms: between probes of members.
        probe_timeout_ms: wait for a direct answer, before others are asked to ping the member.
        gossip_interval_ms: between rounds of gossip, while there are broadcasts to send.
        gossip_fanout: members sent to in one round.
        indirect_probes: members asked to ping one that did not answer directly.
        suspicion_multiplier: probe intervals, times log10 of the members, that a suspect has to refute where many
            members suspect it independently.
        suspicion_max_multiplier: times that timeout, where no other member suspects it.
        retransmit_base: times that a member sends a broadcast, beside 1.5 times the logarithm of the members.
        push_pull_interval_ms: between anti-entropy exchanges.
        settle_time_ms: after the start, during which this member owns no duty, unless it has synchronised before.
        dead_retention_ms: for which a dead member is kept in the table and counts as a known one.
        max_clock_skew_ms: by which a sender's clock may differ before its datagram is dropped as a possible replay.
    """

    cluster_name: str = "decklb"
    weight: float = 1.0
    probe_interval_ms: float = 500.0
    probe_timeout_ms: float = 150.0
    gossip_interval_ms: float = 100.0
    gossip_fanout: int = 3
    indirect_probes: int = 3
    suspicion_multiplier: float = 3.0
    suspicion_max_multiplier: float = 3.0
    retransmit_base: int = 6
    push_pull_interval_ms: float = 5000.0
    settle_time_ms: float = 3000.0
    dead_retention_ms: float = 600_000.0
    max_clock_skew_ms: float = 30_000.0

    def __post_init__(self) -> None:
        if not 0 < self.probe_timeout_ms < self.probe_interval_ms:
            raise ValueError("timeout must be above 0 and below interval")
        positive = (
            self.gossip_interval_ms,
            self.push_pull_interval_ms,
            self.suspicion_multiplier,
            self.settle_time_ms,
            self.dead_retention_ms,
            self.max_clock_skew_ms,
        )
        if min(positive) <= 0:
            raise ValueError("gossip, exchange, suspicion, settle, lately and skew must be above 0")
        if self.suspicion_max_multiplier < 1:
            raise ValueError("suspicion-most must be at least 1")
        if not 0 < self.weight <= 1000:
            raise ValueError("weight must be above 0, at most 1000")


@dataclass(frozen=True, slots=True)
class DutySettings:
    """One kind of periodic duty.

    Attributes:
        kind: name of the kind; part of the wire form and of the hash that assigns owners.
        period_ms: between two runs of one duty.
        timeout_ms: after which a run has failed.
        max_concurrent: runs at a time on one instance.
        failures_to_decline: consecutive failures after which the owner declines the duty, so that another tries.
        max_declines: members that may decline a duty before the next one's failure is believed.
        decline_hold_ms: for which a member that declined does not own the duty; doubles with each repetition.
        warming_up_factor: times the period, for a subject that has just started.
        minority_factor: times the period, on a side that sees under half of the known members.
        repeat_interval_ms: between repetitions of failures and declines, for members that came later.
        mass_failure_hold_ms: for which a sudden verdict that most subjects are down has no effect.
        mass_failure_ratio: share of all subjects from which on such a verdict counts as sudden.
    """

    kind: str = "probe"
    period_ms: float = 10_000.0
    timeout_ms: float = 1000.0
    max_concurrent: int = 64
    failures_to_decline: int = 3
    max_declines: int = 2
    decline_hold_ms: float = 300_000.0
    warming_up_factor: float = 2.0
    minority_factor: float = 3.0
    repeat_interval_ms: float = 20_000.0
    mass_failure_hold_ms: float = 30_000.0
    mass_failure_ratio: float = 0.6

    def __post_init__(self) -> None:
        if not self.timeout_ms > 0 or self.period_ms <= 0 or self.repeat_interval_ms <= 0:
            raise ValueError("period, timeout and refresh must be above 0")
        if self.warming_up_factor < 1 or self.minority_factor < 1:
            raise ValueError("cold-factor and minority-factor must be at least 1")
        if not 0 < self.mass_failure_ratio <= 1:
            raise ValueError("doubt-share must be above 0%, at most 100%")

    @property
    def result_ttl_ms(self) -> float:
        """How long a result counts without being repeated."""
        return 3 * self.repeat_interval_ms


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """One instance's place in the cluster.

    Attributes:
        member: unique name of this instance.
        bind_address: UDP address to listen on.
        key_file: path of the key file.
        seeds: addresses of members to contact at the start.
        membership: how members watch one another.
        health_checks: the shared health checks of engines; None where they are off.
        advertise_address: address given to other members, where a NAT or a proxy stands between.
    """

    member: str
    bind_address: tuple[str, int]
    key_file: str
    seeds: tuple[tuple[str, int], ...] = ()
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    health_checks: DutySettings | None = None
    advertise_address: tuple[str, int] | None = None

    @property
    def advertised_address(self) -> tuple[str, int]:
        """Where other members send datagrams for this one."""
        return self.advertise_address or self.bind_address
