"""Consensus on the states of zones, as run by one member: votes by term, counted against a quorum.

A member votes at most once in a term, and a state is decided once more than half of all known members have voted for
it in that term. Two states can therefore never be decided in the same term. A member votes for a state that its own
observation has supported for the stabilization time. A member without a recent observation of the zone follows the
majority of the members that have one, and a member that has only health checks of the zone follows the members whose
requests failed there or were slow. A single member with a bad link or with false reports cannot change a state.

Owns, for each zone, the decided state, this member's observation and vote, and the votes of the other members. Called
by `coordinator.py`. Does no I/O. Times are ms on this member's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from decklb.locality.settings import LocalitySettings
from decklb.locality.zone_state import (
    NEVER,
    DecidedState,
    Decision,
    Vote,
    ZoneObservation,
    ZoneState,
    classify,
)


class CastVote(NamedTuple):
    """The vote that this member has cast."""

    term: int
    state: ZoneState
    cast_at: float


class ReceivedVote(NamedTuple):
    """The newest vote of a member, with the time of its receipt."""

    vote: Vote
    received_at: float


@dataclass(slots=True)
class ZoneRecord:
    """One member's data on one zone."""

    state: ZoneState = ZoneState.HEALTHY
    term: int = 0  # term in which the state was decided; 0: no state has been decided
    decided_at: float = NEVER
    observation: ZoneObservation | None = None
    observed_at: float = NEVER
    desired_state: ZoneState | None = None  # change of state that this member's observation supports; None: no change
    desired_since: float = 0.0
    cast_vote: CastVote | None = None
    votes: dict[str, ReceivedVote] = field(default_factory=dict)  # by member, including this one


class ZoneConsensus:
    """The consensus on all zones, from the view of one member.

    Attributes:
        zones: The data on each zone, by zone name.
        known: Names of all members that are counted for the quorum.
        outgoing: Votes and decisions to send to all other members.
        isolated: No quorum has been heard from for longer than the isolation grace, so this member decides alone.
        voting_from: Time before which this member casts no vote. An earlier process of this member may have voted; by
            this time its votes have expired at all members.
    """

    def __init__(self, settings: LocalitySettings, member: str, zones: Collection[str], now: float) -> None:
        self.zones = {name: ZoneRecord() for name in sorted(zones)}
        self.known: frozenset[str] = frozenset((member,))
        self.outgoing: list[Vote | Decision] = []
        self.isolated = False
        self.voting_from = now + settings.observation_ttl_ms + settings.vote_timeout_ms
        self._settings, self._member = settings, member
        self._last_heard: dict[str, float] = {}  # by name of the other member
        self._quorum_heard_at = now

    @property
    def quorum(self) -> int:
        """Number of votes that decide: more than half of the known members, and of the settings' member count."""
        return max(len(self.known), self._settings.member_count) // 2 + 1

    def update_members(self, known: Collection[str]) -> None:
        """Replace the set of known members, dead or alive; this member is always one of them."""
        self.known = frozenset(known) | {self._member}

    def observe(self, now: float, zone: str, observation: ZoneObservation) -> None:
        """Record this member's own observation of a zone."""
        record = self.zones.get(zone)
        if record is not None:
            record.observation, record.observed_at = observation, now

    def receive(self, now: float, message: Vote | Decision, sender: str) -> None:
        """Process another member's vote or decision.

        A vote is counted only if it comes from the member that it names, and if that member is known.
        """
        self._last_heard[sender] = now
        record = self.zones.get(message.zone)
        if record is None:
            return
        if isinstance(message, Decision):
            if message.term > record.term:
                self._decide(record, now - message.age_ms, message.term, message.state)
        elif message.member == sender and sender in self.known:
            previous = record.votes.get(sender)
            if previous is None or message.term >= previous.vote.term:
                record.votes[sender] = ReceivedVote(message, now)

    def state(self, zone: str) -> DecidedState:
        """Return the decided state of a zone and the time of the decision."""
        record = self.zones[zone]
        return DecidedState(record.state, record.decided_at)

    def reachable_fraction(self, zone: str, now: float) -> float:
        """Return the fraction of a zone's capacity that is up: the median over the members' votes."""
        since = now - self._settings.observation_ttl_ms
        votes = self.zones[zone].votes.values()
        fractions = sorted([received.vote.reachable_fraction for received in votes if received.received_at >= since])
        return fractions[len(fractions) // 2] if fractions else 1.0

    def tick(self, now: float) -> None:
        """Cast votes and count them; must be called a few times a second."""
        self._check_isolation(now)
        for name, record in self.zones.items():
            self._update_desired_state(now, record)
            self._vote(now, name, record)
            self._count_votes(now, name, record)

    def _check_isolation(self, now: float) -> None:
        heard = [at for name, at in self._last_heard.items() if name in self.known]
        reached = 1 + sum(now - at <= self._settings.observation_ttl_ms for at in heard)
        if reached >= self.quorum:
            self._quorum_heard_at, self.isolated = now, False
        elif now - self._quorum_heard_at > self._settings.isolation_grace_ms:
            self.isolated = True

    def _update_desired_state(self, now: float, record: ZoneRecord) -> None:
        """Update which change of state this member's observation supports, and since when."""
        desired = self._desired_state(now, record)
        if desired is not record.desired_state:
            record.desired_state, record.desired_since = desired, now

    def _desired_state(self, now: float, record: ZoneRecord) -> ZoneState | None:
        observation = self._fresh_observation(now, record)
        if observation is None:
            return None
        observed = classify(observation, record.state, self._settings)
        if record.state is ZoneState.OUT and observed is not ZoneState.OUT:
            return ZoneState.RETURNING
        if record.state is ZoneState.RETURNING and observed is ZoneState.HEALTHY:
            ramp_over = now - record.decided_at >= self._settings.recovery_ramp_ms
            return ZoneState.HEALTHY if ramp_over else None
        if record.state is ZoneState.RETURNING and observed is ZoneState.DEGRADED:
            return None
        return observed if observed is not record.state else None

    def _vote(self, now: float, name: str, record: ZoneRecord) -> None:
        """Cast a vote if a change is due, and queue this member's vote and decision for all other members."""
        observation = self._fresh_observation(now, record)
        choice = self._choice(now, record, observation)
        votable_from = max(record.decided_at + self._settings.min_state_duration_ms, self.voting_from)
        if choice is not None and now >= votable_from:
            self._cast(now, record, choice)
        vote = self._own_vote(name, record, observation)
        record.votes[self._member] = ReceivedVote(vote, now)
        self.outgoing.append(vote)
        if record.term:
            self.outgoing.append(Decision(name, record.term, record.state, max(0.0, now - record.decided_at)))

    def _choice(self, now: float, record: ZoneRecord, observation: ZoneObservation | None) -> ZoneState | None:
        """Return the state to vote for, or None.

        This is the state that this member has observed for the stabilization time, or, if other members have better
        observations, the state that the majority of them votes for.
        """
        stable = now - record.desired_since >= self._settings.stabilization_ms
        choice = record.desired_state if stable else None
        if observation is None or observation.health_checks_only:
            # A member whose health checks succeed does not follow members that only fail to reach the zone: the cause
            # may be their own network.
            observers = [
                vote
                for vote in self._fresh_votes(now, record)
                if vote.observed and not (observation is not None and vote.unreachable)
            ]
            if observers or observation is None:
                choice = _majority_choice(observers, record.term)
        return choice

    def _cast(self, now: float, record: ZoneRecord, choice: ZoneState) -> None:
        """Cast at most one vote per term; a different choice has to wait until the term has timed out."""
        highest = max([record.term, *(vote.term for vote in self._fresh_votes(now, record))])
        term = max(record.term + 1, highest)
        cast = record.cast_vote
        if cast is not None and cast.term >= term:
            term = cast.term
            if cast.state is not choice and now - cast.cast_at >= self._settings.vote_timeout_ms:
                term += 1
        if cast is None or cast.term < term:
            record.cast_vote = CastVote(term, choice, now)

    def _own_vote(self, name: str, record: ZoneRecord, observation: ZoneObservation | None) -> Vote:
        """Return the vote to send to all other members; its state is None if no vote is cast in an open term."""
        cast = record.cast_vote if record.cast_vote is not None and record.cast_vote.term > record.term else None
        term, state = (cast.term, cast.state) if cast is not None else (record.term, None)
        if observation is None:
            return Vote(name, self._member, term, state, observed=False)
        return Vote(
            name,
            self._member,
            term,
            state,
            observed=not observation.health_checks_only,
            unreachable=observation.unreachable,
            reachable_fraction=observation.reachable_fraction,
        )

    def _count_votes(self, now: float, name: str, record: ZoneRecord) -> None:
        """Decide each state that a quorum has voted for in one term."""
        tally: dict[tuple[int, ZoneState], int] = {}
        for member, received in record.votes.items():
            vote = received.vote
            fresh = now - received.received_at <= self._settings.observation_ttl_ms
            if member in self.known and vote.state is not None and vote.term > record.term and fresh:
                tally[vote.term, vote.state] = tally.get((vote.term, vote.state), 0) + 1
        for (term, state), count in sorted(tally.items()):
            if count >= self.quorum:
                self._decide(record, now, term, state)
                self.outgoing.append(Decision(name, term, state))

    def _decide(self, record: ZoneRecord, decided_at: float, term: int, state: ZoneState) -> None:
        record.term, record.state, record.decided_at = term, state, decided_at
        record.desired_state = None

    def _fresh_observation(self, now: float, record: ZoneRecord) -> ZoneObservation | None:
        return record.observation if now - record.observed_at <= self._settings.observation_ttl_ms else None

    def _fresh_votes(self, now: float, record: ZoneRecord) -> Iterator[Vote]:
        for received in record.votes.values():
            if now - received.received_at <= self._settings.observation_ttl_ms:
                yield received.vote


def _majority_choice(votes: list[Vote], decided_term: int) -> ZoneState | None:
    """Return the state that more than half of these votes support in an undecided term; None without a majority."""
    for state in ZoneState:
        supporters = sum(vote.state is state and vote.term > decided_term for vote in votes)
        if 2 * supporters > len(votes):
            return state
    return None
