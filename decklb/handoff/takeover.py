"""Takes over the records of lost holders: schedules claims, collects grants, and holds the records that were won.

A review checks all replicas for holders that are not alive, and schedules this member's claims of their records. The
delay of a claim grows with this member's rank among the record's voters, so that they don't all claim it at once. A
claim that does not win is repeated after a random delay. A claim that wins takes effect once any earlier holder's lease
has ended (`claims.py`). The state is the scheduled claims and the active claims.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from decklb.handoff.ballots import Ballot, quorum_of
from decklb.handoff.claims import Claim
from decklb.handoff.fencing import FencingNotices
from decklb.handoff.held_request import HeldRequest
from decklb.handoff.leases import LeaseSupervisor
from decklb.handoff.member_state import REJECT_COUNTERS, MemberState
from decklb.handoff.messages import ClaimGrant, ClaimReject, ClaimRequest, RejectReason
from decklb.handoff.records import Record
from decklb.handoff.replication import Replicator
from decklb.handoff.takeover_policy import claim_rank

MAX_CLAIMS_PER_TICK = 500  # limits how long the loss of a member with many records blocks the event loop
REVIEW_INTERVAL_MS = 1000.0  # between reviews while the set of live members does not change
CLAIM_RETRY_MIN_MS = 200.0  # shortest delay before a claim that did not win is repeated
CLAIM_RETRY_MAX_MS = 600.0  # longest; the delay is random so that claimers don't collide again
CLAIM_QUORUM_TIMEOUTS = 2  # a claim that has not won after this many quorum timeouts is given up
RECLAIM_INTERVAL_LEASES = 2  # leases between claims of a request that this member holds itself but lost votes for


@dataclass(slots=True)
class _ActiveClaim:
    claim: Claim
    started_at_ms: float
    body: bytes | None  # the request itself, from the first voter that has it

    def add_body(self, body: bytes | None) -> None:
        if self.body is None:
            self.body = body


class Takeover:
    """Claims the records of lost holders."""

    def __init__(
        self,
        state: MemberState,
        replicator: Replicator,
        leases: LeaseSupervisor,
        fencing: FencingNotices,
        now: float,
    ) -> None:
        """`now` starts the interval until the first review."""
        self._state, self._replicator, self._leases, self._fencing = state, replicator, leases, fencing
        self._active: dict[str, _ActiveClaim] = {}  # by key
        self._scheduled: dict[str, float] = {}  # time of the claim, by key
        self._min_terms: dict[str, int] = {}  # from rejections, by key
        self._reviewed_at_ms = now

    @property
    def active_count(self) -> int:
        """Number of active claims."""
        return len(self._active)

    @property
    def scheduled_count(self) -> int:
        """Number of scheduled claims."""
        return len(self._scheduled)

    def cancel(self, key: str) -> None:
        """Drop claims of a key that was admitted again; their record is gone, or admission would have found it."""
        self._active.pop(key, None)
        self._scheduled.pop(key, None)

    def unschedule(self, key: str) -> None:
        """Drop the scheduled claim of a key, whose holder has sent a replica."""
        self._scheduled.pop(key, None)

    def forget(self, key: str) -> None:
        """Drop all state of a key whose record has expired."""
        self.cancel(key)
        self._min_terms.pop(key, None)

    def yield_to(self, now: float, key: str, ballot: Ballot) -> None:
        """Give up this member's claim if a higher one was granted, and schedule a retry in case that one fails."""
        active = self._active.get(key)
        if active is not None and active.claim.ballot < ballot:
            del self._active[key]
            self._schedule_retry(now + self._state.settings.lease_ms, key)

    def reclaim(self, now: float, held: HeldRequest) -> None:
        """Claim a suspended request again if its votes were lost to claims that failed."""
        if held.reclaim_at_ms <= now and held.key not in self._active:
            if held.reclaim_at_ms:
                self._scheduled.setdefault(held.key, now)
            held.reclaim_at_ms = now + RECLAIM_INTERVAL_LEASES * self._state.settings.lease_ms

    def review(self, now: float) -> None:
        """Schedule claims of lost holders' records, if the live members changed or the review interval has passed."""
        fleet = self._state.fleet
        if not fleet.changed and now - self._reviewed_at_ms < REVIEW_INTERVAL_MS:
            return
        self._reviewed_at_ms, fleet.changed = now, False
        for record in self._state.table:
            key = record.key
            if key in self._state.held or key in self._active:
                continue
            rank = claim_rank(record, self._state.member, fleet.alive)
            if rank is None:
                self._scheduled.pop(key, None)
            elif key not in self._scheduled:
                self._scheduled[key] = now + rank * self._state.settings.claim_stagger_ms

    def advance(self, now: float) -> None:
        """Make due claims, take over won records, and give up claims that were not won in time."""
        due = [key for key, at in self._scheduled.items() if at <= now][:MAX_CLAIMS_PER_TICK]
        for key in due:
            del self._scheduled[key]
            self._claim(now, key)
        timeout_ms = self._state.settings.quorum_timeout_ms * CLAIM_QUORUM_TIMEOUTS
        for key, active in list(self._active.items()):
            effective_from = active.claim.effective_from()
            if effective_from is not None and effective_from <= now:
                self._take_over(now, key, active)
            elif effective_from is None and (active.claim.is_lost() or now - active.started_at_ms > timeout_ms):
                del self._active[key]
                self._schedule_retry(now, key)

    def _schedule_retry(self, after: float, key: str) -> None:
        self._scheduled[key] = after + self._state.rng.uniform(CLAIM_RETRY_MIN_MS, CLAIM_RETRY_MAX_MS)

    def _is_claimable(self, key: str) -> bool:
        """Whether the holder of a key is lost, or the request is held here but suspended."""
        held = self._state.held.get(key)
        if held is not None:
            return held.suspended
        record = self._state.table.get(key)
        return record is not None and not self._state.fleet.holder_alive(record)

    def _claim(self, now: float, key: str) -> None:
        state, record = self._state, self._state.table.get(key)
        if record is None or not self._is_claimable(key):
            return
        others = [voter for voter in record.voters if voter != state.member and voter in state.fleet.connected]
        if len(others) + 1 < quorum_of(record, state.settings):
            # A claim that can't win would only withdraw this member's vote from a holder that may be alive.
            self._schedule_retry(now, key)
            return
        claim = state.table.start_claim(key, state.member, self._min_terms.get(key, 0))
        if claim is None:
            return
        state.counters["claims"] += 1
        self._active[key] = active = _ActiveClaim(claim, now, None)
        self._grant_own(now, key, active)
        term, _ = claim.ballot
        for voter in others:
            state.send(voter, ClaimRequest(key, term))

    def _grant_own(self, now: float, key: str, active: _ActiveClaim) -> None:
        """Add this member's own grant to a claim once no other grant is missing."""
        claim, record = active.claim, self._state.table.get(key)
        if claim.needs_own_grant() and record is not None and self._state.table.ballots.grant(key, claim.ballot):
            if record.holder != self._state.member:
                self._fencing.fence(record, claim.ballot)
            claim.add_grant(self._state.member, record, now)
            active.add_body(self._state.table.body(key))

    def _active_claim_of(self, answer: ClaimGrant | ClaimReject) -> _ActiveClaim | None:
        active = self._active.get(answer.key)
        if active is None or active.claim.ballot != (answer.term, self._state.member):
            return None
        return active

    def on_grant(self, now: float, peer: str, message: ClaimGrant) -> None:
        """A voter granted a claim."""
        active = self._active_claim_of(message)
        if active is None:
            return
        newest = None if message.record is None else replace(message.record, deadline_ms=now + message.remaining_ms)
        active.claim.add_grant(peer, newest, now)
        active.add_body(message.body)
        self._grant_own(now, message.key, active)

    def on_reject(self, now: float, peer: str, message: ClaimReject) -> None:
        """A voter rejected a claim."""
        active = self._active_claim_of(message)
        if active is None:
            return
        self._state.counters[f"claim-{REJECT_COUNTERS[message.reason]}"] += 1
        claim = active.claim
        claim.add_rejection(peer)
        if message.reason == RejectReason.TERM_TOO_LOW and claim.is_lost() and claim.won_at_ms is None:
            del self._active[message.key]
            self._min_terms[message.key] = message.highest_term  # the next claim's term must be above this
            self._schedule_retry(now, message.key)

    def _take_over(self, now: float, key: str, active: _ActiveClaim) -> None:
        """Hold the record of a won claim, after the lease of its earlier holder has ended."""
        del self._active[key]
        state, claimed = self._state, active.claim.record
        existing = state.table.get(key)
        if existing is None or _tenure(existing) != _tenure(claimed):
            return  # the holder released it, and the key may have been admitted again
        record = active.claim.claimed_record(state.incarnation)
        if not state.table.ballots.admits(record):  # a higher claim was granted in the meantime
            return
        state.counters["taken-over"] += 1
        state.log("handoff-taken-over", key, owner=claimed.holder, term=record.term, stage=record.stage.name.lower())
        if (earlier := state.held.get(key)) is not None:
            self._leases.give_up(earlier)
        state.table.write(record, active.body)
        held = state.held[key] = HeldRequest(record, now, suspended=True)
        state.supervised_keys[key] = None
        self._fencing.forget(key)
        self._replicator.replicate(now, held)


def _tenure(record: Record) -> tuple[str, int, int]:
    """Return the holder, incarnation and term of a record, which identify one period of holding it."""
    return record.holder, record.holder_incarnation, record.term
