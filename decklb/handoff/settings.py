"""Settings of the handoff, read from the operators' `<handoff>` element by `config.sections.handoff`."""

from __future__ import annotations

from dataclasses import dataclass

MAX_VOTERS = 8  # per key; each additional voter costs another copy of every request
MIN_HEARTBEATS_PER_LEASE = 3  # so that one lost heartbeat does not end a lease


@dataclass(frozen=True, slots=True)
class HandoffSettings:
    """How records of in-flight requests are replicated and taken over.

    A takeover needs a quorum of a record's voters, so `voter_count - quorum` voters may be lost at the same time, and
    the holder as well if it is not a voter.
    """

    voter_count: int = 3  # members that store a record and vote on its holder; may include the holder
    fleet_size: int = 3  # with fewer known members nothing is protected, as two partitions could both form a quorum
    quorum_timeout_ms: float = 250.0  # maximum wait for a quorum's acknowledgements before a request is rejected
    heartbeat_interval_ms: float = 250.0  # between heartbeats to each member, whose answers renew the leases
    resend_interval_ms: float = 150.0  # after which an unacknowledged replica is sent again
    claim_stagger_ms: float = 400.0  # delay between successive voters' claims of a lost member's record
    max_budget_ms: float = 30_000.0  # upper limit for the budgets of protected requests
    max_bytes: int = 64 << 20  # size limit of all bodies and answers, of own records and replicas together
    bucket_count: int = 4096  # voters are ranked per bucket of keys; a change of members reranks buckets, not records
    max_records: int = 200_000  # own records and replicas together
    max_answer_bytes: int = 65_536  # for a larger answer only the outcome is replicated
    lease_ms: float = 2_000.0  # a holder cut off from its voters stops acting this long after it last heard from them
    max_clock_drift: float = 0.01  # fraction by which one member's clock may run faster than another's
    answer_retention_ms: float = 5_000.0  # how long past the deadline a final answer is retained for its client
    deadline_grace_ms: float = 500.0  # time past a deadline within which an answer still counts
    store_folder: str = ""  # folder of the store in which records outlive the process; "" for no store

    def __post_init__(self) -> None:
        """Raise ValueError for invalid values; the messages use the names of the XML attributes."""
        if not 1 <= self.voter_count <= MAX_VOTERS:
            raise ValueError(f"copies must be from 1 to {MAX_VOTERS}")
        if self.bucket_count < 1 or self.max_records < 1 or self.max_answer_bytes < 0:
            raise ValueError("buckets and capacity must be above 0, answer-bytes at least 0")
        durations_valid = min(self.lease_ms, self.answer_retention_ms) > 0 and self.deadline_grace_ms >= 0
        if not durations_valid or not 0 <= self.max_clock_drift < 0.5:
            raise ValueError("lease and linger must be above 0, drift from 0 to 0.5, slack at least 0")
        positive = (
            self.quorum_timeout_ms,
            self.heartbeat_interval_ms,
            self.resend_interval_ms,
            self.claim_stagger_ms,
            self.max_budget_ms,
            self.max_bytes,
            self.fleet_size,
        )
        if min(positive) <= 0:
            raise ValueError("members, patience, beat, resend, stagger, longest and room must be above 0")
        if self.store_folder and self.voter_count < 2:
            raise ValueError("data needs at least 2 copies: what is written here is no vote by itself")
        if self.lease_ms < MIN_HEARTBEATS_PER_LEASE * self.heartbeat_interval_ms:
            raise ValueError("lease must be at least three beats, or one lost beat would end it")

    @property
    def quorum(self) -> int:
        """Number of voters that must grant a claim: a majority, so that two claims can't both win."""
        return self.voter_count // 2 + 1

    @property
    def record_lifetime_ms(self) -> float:
        """Maximum lifetime of a record; a member whose memory reaches back this far has forgotten no live record."""
        return (self.max_budget_ms + self.deadline_grace_ms + self.answer_retention_ms) * (1 + self.max_clock_drift)
