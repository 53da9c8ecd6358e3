"""Settings of the handoff, made from the operators' `<handoff>` element by `config.sections.handoff`."""

from __future__ import annotations

from dataclasses import dataclass

MAX_VOTERS = 8  # of one key: each more costs another copy of every request
HEARTBEATS_PER_LEASE = 3  # at least, so that one lost heartbeat does not end a lease


@dataclass(frozen=True, slots=True)
class HandoffSettings:
    """How records of in-flight requests are replicated and taken over.

    A takeover needs a quorum of a record's voters, so `voter_count - quorum` of them may be lost at once, with the
    holder where it is none of them.
    """

    voter_count: int = 3  # members that keep a replica of a record and vote on who acts on it; the holder may be one
    fleet_size: int = 3  # with fewer members known nothing is protected, as two sides could each form a quorum
    quorum_timeout_ms: float = 250.0  # waited for a quorum's acknowledgements before a request is refused
    heartbeat_interval_ms: float = 250.0  # between heartbeats to each member; their answers renew the leases
    resend_interval_ms: float = 150.0  # after which a replica that is not acknowledged is sent again
    claim_stagger_ms: float = 400.0  # between the turns in which voters claim the records of a lost member
    max_budget_ms: float = 30_000.0  # budgets of protected requests are cut to this
    max_bytes: int = 64 << 20  # of requests and answers retained, own records and replicas together
    bucket_count: int = 4096  # keys are placed by bucket, so that a change of members reranks buckets, not records
    max_records: int = 200_000  # own records and replicas together
    max_answer_bytes: int = 65_536  # of a larger answer only the outcome is replicated
    lease_ms: float = (
        2_000.0  # a holder that is cut off from its voters stops acting this long after it last heard them
    )
    max_clock_drift: float = 0.01  # share by which one member's clock may run faster than another's
    answer_retention_ms: float = 5_000.0  # a final answer is retained this long past its deadline, for its client
    deadline_grace_ms: float = 500.0  # past a deadline in which the protocol still counts an answer
    store_folder: str = ""  # of the store by which records outlive the process; "" for none

    def __post_init__(self) -> None:
        """Raises ValueError, worded by the attributes of the XML."""
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
        if self.lease_ms < HEARTBEATS_PER_LEASE * self.heartbeat_interval_ms:
            raise ValueError("lease must be at least three beats, or one lost beat would end it")

    @property
    def quorum(self) -> int:
        """Voters that must grant a claim: a majority, so that two claims can't both win."""
        return self.voter_count // 2 + 1

    @property
    def record_lifetime_ms(self) -> float:
        """How long a record lives at most: a member that remembers for so long has forgotten none."""
        return (self.max_budget_ms + self.deadline_grace_ms + self.answer_retention_ms) * (1 + self.max_clock_drift)
