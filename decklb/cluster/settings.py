"""The cluster's settings. Times are milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How members watch one another. `fronts` of other installations may differ; both ends should agree."""

    cluster: str = "decklb"
    weight: float = 1.0  # share of duties against others'
    interval: float = 500.0  # between probes of members
    timeout: float = 150.0  # for the answer to a direct probe, before others are asked to try
    gossip: float = 100.0  # between rounds of news, while there is news
    fanout: int = 3  # members told in a round
    indirect: int = 3  # members asked to try
    suspicion: float = 3.0  # intervals, times log10 of the members, that a suspect has to refute, where many agree
    suspicion_most: float = 3.0  # times that, where nobody else agrees
    retransmit: int = 6  # times that a member sends a piece of news, beside 1.5 times the logarithm of the members
    exchange: float = 5000.0  # between full exchanges
    settle: float = 3000.0  # after a start in which duties are left to others, unless the members were heard before
    lately: float = 600_000.0  # for which a dead member counts as known
    skew: float = 30_000.0  # by which clocks may differ before a datagram is taken for a replay

    def __post_init__(self) -> None:
        if not 0 < self.timeout < self.interval:
            raise ValueError("timeout must be above 0 and below interval")
        if min(self.gossip, self.exchange, self.suspicion, self.settle, self.lately, self.skew) <= 0:
            raise ValueError("gossip, exchange, suspicion, settle, lately and skew must be above 0")
        if self.suspicion_most < 1:
            raise ValueError("suspicion-most must be at least 1")
        if not 0 < self.weight <= 1000:
            raise ValueError("weight must be above 0, at most 1000")


@dataclass(frozen=True, slots=True)
class DutySettings:
    """One kind of duty."""

    kind: str = "probe"
    period: float = 10_000.0
    timeout: float = 1000.0  # after which one run has failed
    most: int = 64  # runs at a time on one instance
    hand_on: int = 3  # failures in a row after which another instance is to try
    hands: int = 2  # times that a duty is handed on before its failures are believed
    rest: float = 300_000.0  # for which whoever handed a duty on is passed over; doubles each time
    cold_factor: float = 2.0  # times the period for what has just started
    minority_factor: float = 3.0  # times the period on a side that sees under half of the members
    refresh: float = 20_000.0  # between repeats of what is not as usual
    doubt: float = 30_000.0  # for which a sudden verdict that nearly all are down has no effect
    doubt_share: float = 0.6  # of all subjects from which on it is sudden

    def __post_init__(self) -> None:
        if not self.timeout > 0 or self.period <= 0 or self.refresh <= 0:
            raise ValueError("period, timeout and refresh must be above 0")
        if self.cold_factor < 1 or self.minority_factor < 1:
            raise ValueError("cold-factor and minority-factor must be at least 1")
        if not 0 < self.doubt_share <= 1:
            raise ValueError("doubt-share must be above 0%, at most 100%")

    @property
    def age(self) -> float:
        """How long a result counts without word."""
        return 3 * self.refresh


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """What one instance is told."""

    member: str
    bind: tuple[str, int]
    keys: str  # path of the key file
    seeds: tuple[tuple[str, int], ...] = ()
    membership: MembershipSettings = field(default_factory=MembershipSettings)
    probing: DutySettings | None = None
    advertise: tuple[str, int] | None = None  # the address others are told, where something stands between

    @property
    def told(self) -> tuple[str, int]:
        """Where others send to this member."""
        return self.advertise or self.bind
