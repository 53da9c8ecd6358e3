"""Settings of the cluster: membership, kinds of duty, and this instance's addresses. All times are milliseconds.

`config.sections.cluster` reads them from the `<cluster>` and `<probing>` elements and maps the attributes to these
fields; the error messages here use the names of the attributes. Instances are immutable.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of failure detection and dissemination. Except for `weight` all members should have the same values.

    Attributes:
        cluster_name: authenticated with each datagram, so that clusters with the same key stay separate.
        weight: this member's share of duties, relative to other members.
        probe_interval_ms: time between two probes.
        probe_timeout_ms: time to wait for a direct answer before other members are asked to ping the target.
        gossip_interval_ms: time between two gossip rounds while there are broadcasts to send.
        gossip_fanout: number of receivers in one gossip round.
        indirect_probes: number of members asked to ping a target that has not answered directly.
        suspicion_multiplier: shortest suspicion timeout, which applies when several members suspect a member
            independently, in probe intervals times log10 of the number of members.
        suspicion_max_multiplier: longest suspicion timeout, which applies when only one member suspects a member, as a
            multiple of the shortest.
        retransmit_base: how many times a member sends a broadcast, in addition to 1.5 times the natural logarithm of
            the number of members.
        push_pull_interval_ms: time between two anti-entropy exchanges.
        settle_time_ms: time after the start during which this member owns no duty, unless its table is in sync earlier.
        dead_retention_ms: how long a dead member stays in the table and counts as a known member.
        max_clock_skew_ms: difference between the clocks of sender and receiver above which a datagram is dropped, since
            it may be a replay.
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
    """Settings of one kind of periodic duty.

    Attributes:
        kind: name of the kind; part of the wire format and of the hash that assigns owners.
        period_ms: time between two runs of one duty.
        timeout_ms: time after which a run counts as failed.
        max_concurrent: maximum number of simultaneous runs on one instance.
        failures_to_decline: consecutive failures after which the owner declines the duty, so that another member tries.
        max_declines: number of members that may decline a duty; a failure at the next owner is then trusted.
        decline_hold_ms: how long a member that declined does not own the duty; doubles with each repetition.
        warming_up_factor: factor on the period for a subject that is warming up.
        minority_factor: factor on the period while this instance sees fewer than half of the known members as live.
        repeat_interval_ms: time between repeated reports of failures and declines, for members that joined later.
        mass_failure_hold_ms: how long a mass failure (most subjects newly reported down) has no effect.
        mass_failure_ratio: fraction of the subjects that must be down for a mass failure.
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
        """How long a result is valid unless it is repeated."""
        return 3 * self.repeat_interval_ms


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """Cluster settings of one instance.

    Attributes:
        member: unique name of this instance.
        bind_address: UDP address to listen on.
        key_file: path of the key file.
        seeds: addresses of members to contact at the start.
        membership: settings of failure detection and dissemination.
        health_checks: settings of the shared health checks of engines; None if they are off.
        advertise_address: address given to other members if it differs from `bind_address`, as behind a NAT or proxy.
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
        """Address to which other members send datagrams for this one."""
        return self.advertise_address or self.bind_address
